"""Tests of requests whose caller or server ends before their answer."""

import asyncio
import types
import unittest.mock

from lacewingdrum_coordination import streams
from lacewingdrum_daemon import request_handler
from lacewingdrum_protocol import callers_api
from lacewingdrum_state import ids
from lacewingdrum_transport import caller_presence, http_server

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 5.0
REQUEST = (
    f"POST {callers_api.COMPLETIONS_PATH} HTTP/1.1\r\nHost: h\r\n"
    "Content-Length: 0\r\n\r\n"
).encode()


def make_handler(run) -> request_handler.RequestHandler:
    """Return a handler whose completions are answered by ``run``."""
    parts = {name: unittest.mock.Mock() for name in ("decisions", "daemon_metrics")}
    request = unittest.mock.Mock(prompt_tokens=1, received_s=0.0)
    body = types.SimpleNamespace(stream=False, model="m")
    call = types.SimpleNamespace(request=request, body=body)
    return request_handler.RequestHandler(
        own_readiness=unittest.mock.Mock(not_admitting_reason=lambda: ""),
        health=unittest.mock.Mock(answer=lambda _: None),
        parser=unittest.mock.Mock(completion=lambda *_: call),
        model_calls=types.SimpleNamespace(run=run),
        plain_service_calls=unittest.mock.Mock(),
        plain_service_orders=unittest.mock.Mock(),
        clock=lambda: 0.0,
        **parts,
    )


async def test_completion_of_a_caller_that_only_ended_its_stream_is_answered():
    async def run(_, answer):
        await asyncio.sleep(2 * caller_presence.UNKNOWN_MAX_S)
        await answer.finish(streams.begin(ids.AttemptId(1)))

    server = http_server.HttpServer(make_handler(run).handle)
    port = await server.start(HOST, 0)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        writer.write_eof()
        received = await reader.read(-1)
        writer.close()
    await server.close()
    interim, _, final = received.rpartition(b"HTTP/1.1 200 ")
    assert interim.startswith(b"HTTP/1.1 100 ") and b"completion_tokens" in final


async def test_completion_of_a_caller_that_left_is_cancelled():
    has_begun, is_cancelled = asyncio.Event(), asyncio.Event()

    async def run(*_):
        has_begun.set()
        try:
            await asyncio.Event().wait()
        finally:
            is_cancelled.set()

    server = http_server.HttpServer(make_handler(run).handle)
    port = await server.start(HOST, 0)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        await has_begun.wait()
        writer.close()
        await is_cancelled.wait()
    await server.close()


async def test_completion_of_an_old_caller_that_ended_its_stream_may_have_run():
    async def run(*_):
        await asyncio.Event().wait()

    server = http_server.HttpServer(make_handler(run).handle)
    port = await server.start(HOST, 0)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
        writer.write_eof()
        received = await reader.read(-1)
        writer.close()
    await server.close()
    assert received.startswith(b"HTTP/1.1 502 ")
    assert b"lacewingdrum-ran: maybe" in received.lower()
    assert b"caller_gone" in received


async def test_completion_that_a_stop_interrupts_may_have_run():
    has_begun = asyncio.Event()

    async def run(*_):
        has_begun.set()
        await asyncio.Event().wait()

    server = http_server.HttpServer(make_handler(run).handle)
    port = await server.start(HOST, 0)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        await has_begun.wait()
        assert await server.close() == 1
        received = await reader.read(-1)
        writer.close()
    assert received.startswith(b"HTTP/1.1 502 ")
    assert b"lacewingdrum-ran: maybe" in received.lower()
