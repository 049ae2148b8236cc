"""Tests of the HTTP server over loopback sockets, also with raw bytes."""

import asyncio
import contextlib
import json
import logging
import unittest
import unittest.mock

from lacewingdrum_transport import http_server, socket_options

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 10.0
OK = http_server.HttpResponse(200, (("Content-Type", "text/plain"),), b"done")
SMALL_LIMITS = http_server.ServerLimits(
    header_bytes=1024,
    body_bytes=2048,
    header_timeout_s=0.1,
    body_timeout_s=0.1,
    idle_timeout_s=5.0,
    write_timeout_s=5.0,
)


class Recorder:
    """A handler that stores the requests and gives each the same response."""

    def __init__(self):
        self.requests = []

    async def __call__(self, request, responder):
        self.requests.append(request)
        await responder.send(OK)


@contextlib.asynccontextmanager
async def serving(handler, limits=SMALL_LIMITS):
    server = http_server.HttpServer(handler, limits)
    port = await server.start(HOST, 0)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield server, port
    finally:
        await server.close()


async def exchange(port, sent):
    """Send bytes, and read until the server closes the connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    received = b""
    with contextlib.suppress(ConnectionError):
        received = await reader.read(-1)
    writer.close()
    return received


def status_of(received):
    return int(received.split(b" ", 2)[1])


async def refused_status(sent, limits=SMALL_LIMITS):
    """Send bytes that must not reach the handler; return the status."""
    recorder = Recorder()
    async with serving(recorder, limits) as (_, port):
        received = await exchange(port, sent)
    assert recorder.requests == []
    head, _, body = received.partition(b"\r\n\r\n")
    assert b"lacewingdrum-ran: no" in head.lower()
    assert b"lacewingdrum-request-id: req-" in head.lower()
    assert b"connection: close" in head.lower()
    assert json.loads(body)["error"]["code"]
    return status_of(received)


async def test_chunked_request_is_parsed_completely():
    recorder = Recorder()
    sent = (
        b"POST /v1/completions?a=1&b=%20x HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n"
        b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    async with serving(recorder) as (_, port):
        received = await exchange(port, sent)
    assert status_of(received) == 200
    assert received.endswith(b"done")
    (request,) = recorder.requests
    assert (request.method, request.path) == ("POST", "/v1/completions")
    assert request.query == {"a": "1", "b": " x"}
    assert request.target == "/v1/completions?a=1&b=%20x"
    assert request.headers["x-a"] == "1, 2"
    assert request.body == b"abcde"


async def test_malformed_requests_get_400():
    cases = (
        b"nonsense\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n",
        b"GET nowhere HTTP/1.1\r\nHost: h\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    )
    for sent in cases:
        assert await refused_status(sent) == 400, sent


async def test_connect_gets_405():
    assert await refused_status(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n") == 405


async def test_large_body_gets_413():
    head = b"POST / HTTP/1.1\r\nHost: h\r\n"
    assert await refused_status(head + b"Content-Length: 2049\r\n\r\n") == 413
    chunked = b"Transfer-Encoding: chunked\r\n\r\n" + b"400\r\n%b\r\n" % (b"x" * 1024)
    assert (
        await refused_status(head + chunked + b"400\r\n%b\r\n" % (b"x" * 1024) * 2)
        == 413
    )


async def test_413_arrives_although_the_upload_continues():
    body = b"x" * 8_000_000
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body)
    assert await refused_status(head + body) == 413


async def test_large_header_gets_431():
    large_request = b"GET / HTTP/1.1\r\nHost: h\r\nA: %b\r\n\r\n" % (b"x" * 1100)
    assert await refused_status(large_request) == 431
    assert await refused_status(large_request[:-4]) == 431
    assert (
        await refused_status(b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n" % (b"x" * 1100))
        == 431
    )


async def test_slow_sender_gets_408():
    assert await refused_status(b"GET / HTTP/1.1\r\nHost:") == 408
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
    assert await refused_status(head + b"ab") == 408


async def test_idle_connection_is_closed_without_a_response():
    limits = http_server.ServerLimits(idle_timeout_s=0.05)
    async with serving(Recorder(), limits) as (_, port):
        assert await exchange(port, b"") == b""


async def test_request_above_the_total_body_limit_gets_503():
    limits = http_server.ServerLimits(held_body_bytes=3000)
    release = asyncio.Event()
    entered = asyncio.Event()

    async def handler(request, responder):
        entered.set()
        await release.wait()
        await responder.send(OK)

    head = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    sent = head + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000
    async with serving(handler, limits) as (_, port):
        first = asyncio.create_task(exchange(port, sent))
        await entered.wait()
        received = await exchange(port, sent)
        assert status_of(received) == 503
        assert b"lacewingdrum-ran: no" in received.lower()
        assert b"retry-after: 1" in received.lower()
        release.set()
        assert status_of(await first) == 200
        assert status_of(await exchange(port, sent)) == 200, (
            "the bytes must be released"
        )


async def test_connection_above_the_limit_gets_503():
    limits = http_server.ServerLimits(connections=1)
    async with serving(Recorder(), limits) as (server, port):
        _, writer = await asyncio.open_connection(HOST, port)
        while server.connection_count < 1:
            await asyncio.sleep(0)
        assert status_of(await exchange(port, b"")) == 503
        writer.close()


async def test_pipelined_requests_are_answered_in_order():
    recorder = Recorder()
    get = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
    last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    async with serving(recorder) as (_, port):
        received = await exchange(port, get % 0 + get % 1 + last)
    assert received.count(b"HTTP/1.1 200") == 3
    assert [request.path for request in recorder.requests] == ["/0", "/1", "/2"]


async def test_head_response_has_no_body_and_expect_100_continue_is_answered():
    recorder = Recorder()
    async with serving(recorder) as (_, port):
        head = b"HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        received = await exchange(port, head)
        assert received.endswith(b"\r\n\r\n")
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n")
        writer.write(b"Expect: 100-continue\r\nConnection: close\r\n\r\n")
        assert b"100" in await reader.readline()
        writer.write(b"ab")
        assert b"200" in await reader.read(-1)
        writer.close()
    assert recorder.requests[1].body == b"ab"


async def test_slow_caller_applies_backpressure_to_the_handler():
    part = b"x" * 65_536
    written_bytes = 0

    async def handler(request, responder):
        nonlocal written_bytes
        await responder.start_stream(200, ())
        for _ in range(1000):
            if not await responder.write(part):
                return
            written_bytes += len(part)
        await responder.finish()

    async with serving(handler) as (_, port):
        reader, writer = await asyncio.open_connection(HOST, port, limit=1024)
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        previous_bytes = -1
        while written_bytes != previous_bytes or not written_bytes:
            previous_bytes = written_bytes
            await asyncio.sleep(0.2)
        # Most of the written bytes are in the kernel's buffers. The remaining
        # parts are not written yet, since the handler is blocked.
        assert previous_bytes < 32_000_000 < 1000 * len(part)
        writer.transport.resume_reading()
        assert len(await reader.read(-1)) > 1000 * len(part)
        writer.close()


async def test_caller_that_reads_nothing_is_disconnected():
    limits = http_server.ServerLimits(write_timeout_s=0.1)
    disconnect_seen = asyncio.Event()

    async def handler(request, responder):
        await responder.start_stream(200, ())
        while await responder.write(b"x" * 65_536):
            pass
        disconnect_seen.set()

    async with serving(handler, limits) as (_, port):
        _, writer = await asyncio.open_connection(HOST, port, limit=1024)
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await disconnect_seen.wait()
        writer.close()


async def leave(close) -> tuple[bool, bytes]:
    """Send a request whose handler waits until its caller can send no more.

    Args:
        close: closes the caller's writer in some way.

    Returns:
        Whether the handler's answer was sent, and what the caller received.
    """
    entered = asyncio.Event()
    sent = asyncio.get_running_loop().create_future()

    async def handler(request, responder):
        entered.set()
        await responder.input_ended.wait()
        sent.set_result(await responder.send(OK))

    async with serving(handler) as (server, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await entered.wait()
        assert server.busy_count == 1
        close(writer)
        is_sent = await sent
        received = b""
        with contextlib.suppress(ConnectionError):
            received = await reader.read(-1)
        while server.connection_count:
            await asyncio.sleep(0)
        assert server.busy_count == 0
        writer.close()
    return is_sent, received


def reset(writer):
    socket_options.reset_on_close(writer.transport)
    writer.transport.abort()


async def test_handler_is_notified_when_the_caller_disconnects():
    assert await leave(reset) == (False, b"")


async def test_handler_is_notified_when_the_caller_closes_its_connection():
    _, received = await leave(asyncio.StreamWriter.close)
    assert received == b""


async def test_caller_that_only_ended_its_stream_gets_its_answer():
    is_sent, received = await leave(asyncio.StreamWriter.write_eof)
    assert is_sent and status_of(received) == 200
    assert received.endswith(OK.body)


async def test_failing_handler_gives_500_or_aborts_its_stream():
    async def handler(request, responder):
        if request.path == "/stream":
            await responder.start_stream(200, ())
            await responder.write(b"part")
        if request.path != "/nothing":
            raise ValueError(request.path)

    get = b"GET %b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    logs = unittest.TestCase().assertLogs(http_server.__name__, logging.ERROR)
    async with serving(handler) as (_, port):
        with logs as logged:
            await check_failures(port, get)
    assert len(logged.records) == 2
    assert "/stream" in logged.records[1].getMessage()


async def check_failures(port, get):
    for path in (b"/fails", b"/nothing"):
        received = await exchange(port, get % path)
        assert status_of(received) == 500
        assert b"lacewingdrum-ran: maybe" in received.lower()
    assert not (await exchange(port, get % b"/stream")).endswith(b"0\r\n\r\n")


async def is_reset_without_chunks(handler, is_closed_meanwhile):
    """Return whether a caller without chunks sees its stream broken off."""
    async with serving(handler) as (server, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
        received = await reader.readuntil(b"part")
        assert b"chunked" not in received
        if is_closed_meanwhile:
            await server.close()
        try:
            await reader.read(-1)
        except ConnectionResetError:
            return True
        finally:
            writer.close()
        return False


async def test_stream_broken_off_does_not_look_complete_to_a_caller_without_chunks():
    async def abort_later(request, responder):
        await responder.start_stream(200, ())
        await responder.write(b"part")
        await asyncio.sleep(0.05)
        responder.abort()

    async def wait(request, responder):
        await responder.start_stream(200, ())
        await responder.write(b"part")
        await asyncio.Event().wait()

    assert await is_reset_without_chunks(abort_later, False)
    assert await is_reset_without_chunks(wait, True)
