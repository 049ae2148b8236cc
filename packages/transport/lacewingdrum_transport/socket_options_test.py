"""Tests of socket options on real connections."""

import asyncio
import socket

from result import Ok

from lacewingdrum_state import fleet
from lacewingdrum_transport import (
    byte_channel,
    http_client,
    http_messages,
    http_server,
    responder as responders,
)

LIMIT_MS = 300
ANSWER_S = 4 * LIMIT_MS / 1_000


async def test_limit_of_unacknowledged_data_does_not_end_a_runner_that_is_silent():
    async def answer_late(
        request: http_messages.HttpRequest, responder: responders.Responder
    ) -> None:
        await asyncio.sleep(ANSWER_S)
        await responder.send(http_messages.HttpResponse(200))

    server = http_server.HttpServer(answer_late)
    port = await server.start("127.0.0.1", 0)
    client = http_client.HttpClient(
        http_client.ClientLimits(unacknowledged_limit_ms=LIMIT_MS)
    )
    answer = await client.request(
        fleet.Address("127.0.0.1", port), "POST", "/", (), b"x" * 100_000
    )
    assert isinstance(answer, Ok) and answer.ok_value.status == 200
    await client.close()
    await server.close()


async def test_limit_is_set_where_it_is_asked_for_only():
    accepted: list[byte_channel.ByteChannel] = []
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: byte_channel.ByteChannel(accepted.append), "127.0.0.1", 0
    )
    address = server.sockets[0].getsockname()
    transport, channel = await loop.create_connection(
        lambda: byte_channel.ByteChannel(unacknowledged_limit_ms=LIMIT_MS), *address
    )
    await asyncio.sleep(0.05)
    assert _limit_ms(transport) == LIMIT_MS
    (caller,) = accepted
    assert _limit_ms(caller._transport) == 0
    channel.abort()
    caller.abort()
    server.close()


def _limit_ms(transport: asyncio.BaseTransport) -> int:
    sock = transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
