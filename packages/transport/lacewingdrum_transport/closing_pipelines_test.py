"""Tests of callers that have sent a request ahead when their server closes."""

import asyncio

from lacewingdrum_transport import http_server, http_server_test

HOST = http_server_test.HOST
GETS = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
SLOW_READ_S = 0.05
BODY_BYTES = 8 * 1024 * 1024


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
