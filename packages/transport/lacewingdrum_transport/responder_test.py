"""Tests that a response is sent once, and that one broken off looks so."""

import asyncio

from lacewingdrum_transport import http_messages, responder as responders
from lacewingdrum_transport.http_server_test import (
    exchange,
    is_reset_without_chunks,
    serving,
)

ERROR = http_messages.HttpResponse(500, (), b"failed")
GET = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class UnusualExit(BaseException):
    """Ends a task, but is no error that handlers are expected to raise."""


async def count_refused(*calls) -> int:
    """Await the calls and return how many of them are refused."""
    refused_count = 0
    for call in calls:
        try:
            await call
        except responders.ResponseOrderError:
            refused_count += 1
    return refused_count


async def test_second_response_leaves_a_begun_stream_as_it_is():
    async def handle(request, responder):
        assert await count_refused(responder.write(b"early"), responder.finish()) == 2
        await responder.start_stream(200, (), b"first ")
        second = (responder.send(ERROR), responder.start_stream(500, (), b"failed"))
        assert await count_refused(*second) == 2
        await responder.write(b"last")
        await responder.finish()
        late = (responder.write(b"x"), responder.finish(), responder.send(ERROR))
        assert await count_refused(*late) == 3

    async with serving(handle) as (_, port):
        received = await exchange(port, GET)
    assert received.startswith(b"HTTP/1.1 200") and b"failed" not in received
    assert received.endswith(b"6\r\nfirst \r\n4\r\nlast\r\n0\r\n\r\n")


async def test_second_response_that_a_handler_does_not_catch_aborts_the_stream():
    async def handle(request, responder):
        await responder.start_stream(200, (), b"part")
        await asyncio.sleep(0.02)
        await responder.send(ERROR)

    async with serving(handle) as (_, port):
        received = await exchange(port, GET)
    assert received.endswith(b"4\r\npart\r\n")
    assert await is_reset_without_chunks(handle, False)


async def test_stream_whose_task_ends_unusually_does_not_look_complete():
    async def handle(request, responder):
        await responder.start_stream(200, (), b"part")
        await asyncio.sleep(0.02)
        raise UnusualExit

    assert await is_reset_without_chunks(handle, False)


async def test_stream_whose_status_has_no_body_is_answered():
    async def handle(request, responder):
        await responder.start_stream(int(request.path[1:]), (), b"first")
        await responder.write(b"second")
        await responder.finish()

    for status in responders.STATUSES_WITHOUT_BODY:
        async with serving(handle) as (_, port):
            received = await exchange(port, GET.replace(b"/ ", b"/%d " % status))
        assert received.startswith(b"HTTP/1.1 %d " % status)
        assert received.endswith(b"\r\n\r\n")
