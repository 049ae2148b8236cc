"""Tests of long bodies that are read slowly."""

import asyncio
import contextlib
import socket

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client, http_messages, http_server

HOST = "127.0.0.1"
BODY = bytes(range(256)) * 32 * 1024
READ_BYTES = 64 * 1024
READ_INTERVAL_S = 0.002
# What the transport keeps of a long body: a part, and one that came too early.
COPIED_MAX_BYTES = 2 * 64 * 1024
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 8.0


@contextlib.asynccontextmanager
async def slow_server(received: list[bytes]):
    """Yield the address of a server that reads bodies slowly."""
    writers = []

    async def on_connection(reader, writer):
        writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                body = b""
                while len(body) < length:
                    body += await reader.read(READ_BYTES)
                    await asyncio.sleep(READ_INTERVAL_S)
                received.append(body)
                writer.write(ANSWER)

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    listener.bind((HOST, 0))
    server = await asyncio.start_server(on_connection, sock=listener, limit=READ_BYTES)
    try:
        yield fleet.Address(HOST, listener.getsockname()[1])
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)


def copied_bytes(channel) -> int:
    return channel._transport.get_write_buffer_size()


async def test_long_request_is_not_copied_while_its_server_reads_slowly():
    # Each attempt copied what the kernel had not taken: 16 requests of 4 MB
    # took a gateway of 200 MB over its memory.
    received = []
    client = http_client.HttpClient()
    async with slow_server(received) as address:
        call = asyncio.ensure_future(
            client.request(address, "POST", "/", body=BODY, timeout_s=TIMEOUT_S)
        )
        copied = []
        while not call.done():
            copied += [copied_bytes(item.channel) for item in client._in_use]
            await asyncio.sleep(READ_INTERVAL_S)
        assert (await call).unwrap().body == b"ok"
        assert received == [BODY]
        assert 0 < max(copied) <= COPIED_MAX_BYTES, max(copied)
        assert client.idle_count(address) == 1
        await client.close()


async def test_parts_that_a_server_takes_are_told():
    taken = []
    client = http_client.HttpClient()
    async with slow_server([]) as address:
        opened = await client.open(
            address,
            "POST",
            "/",
            body=BODY,
            timeout_s=TIMEOUT_S,
            on_part_taken=lambda: taken.append(len(taken)),
        )
        await opened.unwrap().close()
        assert len(taken) > 1
        short = await client.request(address, "POST", "/", body=b"x")
        assert short.unwrap().body == b"ok"
        count = len(taken)
        await client.request(address, "POST", "/", body=BODY, timeout_s=TIMEOUT_S)
        assert len(taken) == count
        await client.close()


async def test_long_answer_is_not_copied_while_its_caller_reads_slowly():
    channels = []

    async def respond(request, responder):
        channels.append(responder._channel)
        await responder.send(http_messages.HttpResponse(200, body=BODY))

    server = http_server.HttpServer(respond)
    port = await server.start(HOST, 0)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, (HOST, port))
    reader, writer = await asyncio.open_connection(sock=caller, limit=READ_BYTES)
    for _ in range(2):
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"content-length: %d" % len(BODY) in head.lower()
        body, copied = b"", [0]
        while len(body) < len(BODY):
            body += await reader.read(READ_BYTES)
            copied.append(copied_bytes(channels[-1]))
            await asyncio.sleep(READ_INTERVAL_S)
        assert body == BODY
        assert 0 < max(copied) <= COPIED_MAX_BYTES, max(copied)
    writer.transport.abort()
    await server.close()
