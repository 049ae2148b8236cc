"""Tests of servers that leave or close while requests are in progress."""

import asyncio
import contextlib
import logging
import socket
import unittest.mock

from lacewingdrum_transport import http_server, request_reader
from lacewingdrum_transport.http_server_test import (
    exchange,
    HOST,
    OK,
    Recorder,
    serving,
    status_of,
    TEST_TIMEOUT_S,
)


async def test_leaving_server_closes_after_the_next_response():
    get = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    async with serving(Recorder()) as (server, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(get)
        first = await reader.readuntil(b"done")
        assert b"connection: close" not in first.lower()
        server.set_leaving()
        writer.write(get)
        last = await reader.read(-1)
        assert b"connection: close" in last.lower()
        assert last.endswith(b"done")
        writer.close()


async def test_close_waits_for_requests_in_progress():
    entered = asyncio.Event()
    release = asyncio.Event()

    async def handler(request, responder):
        entered.set()
        await release.wait()
        await responder.send(OK)

    async with serving(handler) as (server, port):
        get = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        call = asyncio.create_task(exchange(port, get))
        await entered.wait()
        closing = asyncio.create_task(server.close(TEST_TIMEOUT_S))
        await asyncio.sleep(0)
        release.set()
        assert (await call).endswith(b"done")
        assert await closing == 0


async def test_close_waits_until_a_slow_caller_has_read_its_response():
    body = b"x" * 30_000_000

    async def handler(request, responder):
        await responder.send(http_server.HttpResponse(200, (), body))

    async with serving(handler) as (server, port):
        reader, writer = await asyncio.open_connection(HOST, port, limit=1024)
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not server.busy_count:
            await asyncio.sleep(0)
        closing = asyncio.create_task(server.close(TEST_TIMEOUT_S))
        await asyncio.sleep(0.1)
        writer.transport.resume_reading()
        assert (await reader.read(-1)).endswith(body)
        assert await closing == 0
        writer.close()


async def test_close_without_grace_counts_aborted_requests():
    entered = asyncio.Event()

    async def handler(request, responder):
        entered.set()
        await asyncio.Event().wait()

    async with serving(handler) as (server, port):
        get = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        call = asyncio.create_task(exchange(port, get))
        await entered.wait()
        assert await server.close() == 1
        received = await call
        assert server.connection_count == 0
    assert status_of(received) == 502
    assert b"lacewingdrum-ran: maybe" in received.lower()


async def test_close_gives_a_request_in_progress_a_last_answer():
    async def never_ends(request, responder):
        await asyncio.Event().wait()

    async with serving(never_ends) as (server, port):
        call = asyncio.ensure_future(
            exchange(port, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        )
        while not server.busy_count:
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)
        assert await server.close() == 1
        received = await call
    assert status_of(received) == 502
    assert b"lacewingdrum-ran: maybe" in received.lower()


async def test_close_refuses_a_request_whose_body_has_not_arrived():
    recorder = Recorder()
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
    async with serving(recorder) as (server, port):
        call = asyncio.ensure_future(exchange(port, head + b"ab"))
        while not server.busy_count:
            await asyncio.sleep(0)
        assert await server.close() == 1
        received = await call
    assert status_of(received) == 503 and recorder.requests == []
    assert b"lacewingdrum-ran: no" in received.lower()


async def test_request_whose_connection_task_fails_is_told_that_it_has_not_run():
    recorder = Recorder()
    fail = unittest.mock.patch.object(
        request_reader.RequestReader, "read", side_effect=ValueError("unforeseen")
    )
    logs = unittest.TestCase().assertLogs(http_server.__name__, logging.ERROR)
    async with serving(recorder) as (_, port):
        with fail, logs:
            received = await exchange(port, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status_of(received) == 500 and recorder.requests == []
    assert b"lacewingdrum-ran: no" in received.lower()


async def close_beside_a_new_connection(turns: int) -> tuple[bool, bytes]:
    """Close a server some turns of the loop after a caller has connected.

    Returns:
        Whether the caller's request reached the handler, and what it received.
    """
    paths = []

    async def handler(request, responder):
        paths.append(request.path)
        try:
            await asyncio.sleep(TEST_TIMEOUT_S)
        finally:
            await asyncio.sleep(0.05)

    async with serving(handler) as (server, port):
        earlier = asyncio.ensure_future(
            exchange(port, b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        )
        while not paths:
            await asyncio.sleep(0)
        with socket.create_connection((HOST, port)) as late:
            late.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            for _ in range(turns):
                await asyncio.sleep(0)
            await server.close()
            assert status_of(await earlier) == 502
            late.settimeout(0.2)
            received = b""
            with contextlib.suppress(ConnectionError, TimeoutError):
                received = await asyncio.to_thread(late.recv, 65_536)
    return "/2" in paths, received


async def test_connection_accepted_while_the_server_closes_is_not_cut_silently():
    for turns in range(8):
        was_handled, received = await close_beside_a_new_connection(turns)
        assert received or not was_handled, turns
        # In the first two turns the server has not accepted the connection.
        assert received or turns < 2, turns


async def test_leaving_server_answers_the_requests_that_were_sent_ahead():
    recorder = Recorder()
    async with serving(recorder) as (server, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        while not server.connection_count:
            await asyncio.sleep(0)
        server.set_leaving()
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 3)
        received = await reader.read(-1)
        writer.close()
    answers = received.lower().split(b"http/1.1 200")[1:]
    assert len(answers) == len(recorder.requests) == 3
    assert [b"connection: close" in one for one in answers] == [False, False, True]


async def test_head_request_that_cannot_be_served_is_not_cut_silently():
    large = b"X-A: " + b"a" * 1_200 + b"\r\n"
    for target, headers, status in ((b"*", b"", 400), (b"/", large, 431)):
        head = b"HEAD %s HTTP/1.1\r\nHost: h\r\n%s\r\n" % (target, headers)
        async with serving(Recorder()) as (_, port):
            received = await exchange(port, head)
        assert status_of(received) == status and received.endswith(b"\r\n\r\n")
