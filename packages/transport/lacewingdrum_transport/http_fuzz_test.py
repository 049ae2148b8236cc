"""Fuzz tests: the HTTP client and server handle arbitrary bytes in time.

Every input must lead to a valid response or to a typed error.
"""

import asyncio
import contextlib
import os

import hypothesis
from hypothesis import strategies

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client, http_server

HOST = "127.0.0.1"
HANG_LIMIT_S = 10.0
EXAMPLES = int(os.environ.get("LACEWINGDRUM_FUZZ_EXAMPLES", "200"))
STATUSES = {b"200", b"400", b"405", b"408", b"413", b"431", b"503", b"100"}
LIMITS = http_server.ServerLimits(
    header_bytes=512,
    body_bytes=512,
    header_timeout_s=0.02,
    body_timeout_s=0.02,
    idle_timeout_s=0.02,
)
PIECES = (
    b"GET / HTTP/1.1\r\n",
    b"POST /a?b=%zz HTTP/1.1\r\n",
    b"HEAD /\xff HTTP/1.0\r\n",
    b"CONNECT h:1 HTTP/1.1\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 204 No Content\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"Host: h\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 99999999999999999999999\r\n",
    b"Content-Length: +3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Connection: close\r\n",
    b"Connection: upgrade\r\nUpgrade: x\r\n",
    b"Expect: 100-continue\r\n",
    b"A: " + b"x" * 600 + b"\r\n",
    b"A:\x00\r\n",
    b"\r\n",
    b"\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"ffffffffffffffffffffff\r\n",
    b"3;ext=1\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\nTrailer: x\r\n\r\n",
)
WIRE_BYTES = strategies.lists(
    strategies.sampled_from(PIECES) | strategies.binary(max_size=40), max_size=12
).map(b"".join)
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)


def test_server_handles_arbitrary_bytes():
    with asyncio.Runner() as runner:

        @SETTINGS
        @hypothesis.given(WIRE_BYTES)
        def check(sent):
            runner.run(asyncio.wait_for(send_to_server(sent), HANG_LIMIT_S))

        check()


async def send_to_server(sent):
    requests = []

    async def handler(request, responder):
        requests.append(request)
        await responder.send(http_server.HttpResponse(200, (), request.body))

    server = http_server.HttpServer(handler, LIMITS)
    port = await server.start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    received = b""
    with contextlib.suppress(ConnectionError):
        received = await reader.read(-1)
    writer.close()
    assert await server.close(HANG_LIMIT_S) == 0
    for part in received.split(b"HTTP/1.1 ")[1:]:
        assert part[:3] in STATUSES, part
    for request in requests:
        assert len(request.body) <= LIMITS.body_bytes
        assert request.path.startswith("/")
    if received and not requests:
        assert b"HTTP/1.1 200" not in received


def test_client_handles_arbitrary_bytes():
    with asyncio.Runner() as runner:

        @SETTINGS
        @hypothesis.given(WIRE_BYTES, strategies.booleans())
        def check(answer, with_status_line):
            status_line = b"HTTP/1.1 200 OK\r\n" if with_status_line else b""
            runner.run(
                asyncio.wait_for(answer_client(status_line + answer), HANG_LIMIT_S)
            )

        check()


async def answer_client(answer):
    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    address = fleet.Address(HOST, server.sockets[0].getsockname()[1])
    client = http_client.HttpClient()
    result = await client.request(address, "GET", "/", timeout_s=HANG_LIMIT_S / 2)
    server.close()
    await client.close()
    if result.is_ok():
        assert 200 <= result.unwrap().status <= 999
        return
    error = result.unwrap_err()
    assert error.reason is not http_client.ClientErrorReason.TIMEOUT
    assert error.may_have_been_sent
