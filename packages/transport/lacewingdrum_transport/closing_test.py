"""Tests of callers whose requests a server has not answered when it closes."""

import asyncio
import time

from lacewingdrum_transport import http_server, http_server_test

HOST = http_server_test.HOST
GETS = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
SLOW_READ_S = 0.05
BODY_BYTES = 8 * 1024 * 1024
# A gateway interrupts its requests so long before it is killed.
KILL_S = 0.5


async def close_with_request_ahead(is_interruption_caught: bool) -> bytes:
    """Close a server while it writes an answer and another request waits.

    Args:
        is_interruption_caught: whether the handler returns when interrupted.

    Returns:
        What the caller received.
    """
    large = http_server.HttpResponse(200, (), b"x" * BODY_BYTES)

    async def handler(request, responder):
        try:
            await responder.send(large)
        except asyncio.CancelledError:
            if not is_interruption_caught:
                raise
            await responder.flush()

    async with http_server_test.serving(handler) as (server, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(GETS)
        await reader.readuntil(b"\r\n\r\n")
        closing = asyncio.ensure_future(server.close())
        await asyncio.sleep(SLOW_READ_S)
        received = await reader.read(-1)
        await closing
        writer.close()
    assert received[:BODY_BYTES] == large.body
    return received[BODY_BYTES:]


async def test_request_sent_ahead_is_refused_when_its_server_closes():
    for is_interruption_caught in (True, False):
        second = await close_with_request_ahead(is_interruption_caught)
        assert second.startswith(b"HTTP/1.1 503"), second[:100]
        assert b"lacewingdrum-ran: no" in second.lower()
        assert b"connection: close" in second.lower()


async def test_callers_that_do_not_read_do_not_hold_up_a_close():
    async def handler(request, responder):
        await responder.send(http_server.HttpResponse(200, (), b"x" * 8_000_000))

    async with http_server_test.serving(handler) as (server, port):
        callers = [await asyncio.open_connection(HOST, port) for _ in range(40)]
        for reader, writer in callers:
            reader._transport.pause_reading()
            writer.write(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
        while server.busy_count < 40:
            await asyncio.sleep(0.01)
        begin_s = time.monotonic()
        await server.close()
        took_s = time.monotonic() - begin_s
        for _, writer in callers:
            writer.transport.abort()
    assert took_s < KILL_S, took_s


async def test_many_open_requests_are_all_answered_at_a_close():
    async def handler(request, responder):
        await asyncio.Event().wait()

    get = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
    async with http_server_test.serving(handler) as (server, port):
        calls = [
            asyncio.ensure_future(http_server_test.exchange(port, get))
            for _ in range(800)
        ]
        while server.busy_count < 800:
            await asyncio.sleep(0.01)
        begin_s = time.monotonic()
        await server.close()
        took_s = time.monotonic() - begin_s
        answers = await asyncio.gather(*calls)
    assert all(one.startswith(b"HTTP/1.1 502") for one in answers)
    assert took_s < KILL_S, took_s


async def test_head_request_whose_body_has_not_arrived_is_refused_at_a_close():
    recorder = http_server_test.Recorder()
    head = b"HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
    async with http_server_test.serving(recorder) as (server, port):
        call = asyncio.ensure_future(http_server_test.exchange(port, head + b"ab"))
        while not server.busy_count:
            await asyncio.sleep(0)
        await server.close()
        received = await call
    assert received.startswith(b"HTTP/1.1 503"), received
