"""Tests of the HTTP client over loopback sockets, also with raw bytes."""

import asyncio
import contextlib

from lacewingdrum_state import fleet
from lacewingdrum_transport import byte_channel, http_client, http_server

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.05
Reason = http_client.ClientErrorReason
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class RawServer:
    """Answers each request with the next of the given byte strings.

    For ``None`` it sends nothing. For an answer that starts with ``!``, it
    sends the rest and closes the connection.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connection_count = 0
        self.request_count = 0
        self.writers = []
        self._tasks = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = fleet.Address(HOST, port)
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        self.connection_count += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.request_count += 1
                answer = self.answers.pop(0)
                if answer is None:
                    continue
                writer.write(answer.removeprefix(b"!"))
                if answer.startswith(b"!"):
                    writer.close()
                    return


@contextlib.asynccontextmanager
async def raw_server(*answers, clock=None, limits=None):
    client = http_client.HttpClient(limits, clock or Clock())
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S), RawServer(*answers) as server:
            yield client, server
    finally:
        await client.close()


async def get(client, server, timeout_s=TEST_TIMEOUT_S):
    return await client.request(server.address, "GET", "/", timeout_s=timeout_s)


async def error_of(*answers, timeout_s=TEST_TIMEOUT_S):
    """Return the error of a request that gets these answers."""
    async with raw_server(*answers) as (client, server):
        error = (await get(client, server, timeout_s)).unwrap_err()
        assert client.idle_count(server.address) == 0, (
            "the connection must not be reused"
        )
        return error.reason, error.may_have_been_sent


async def test_connection_is_reused_after_a_complete_response():
    async with raw_server(COMPLETE_RESPONSE, COMPLETE_RESPONSE) as (client, server):
        for _ in range(2):
            response = (await get(client, server)).unwrap()
            assert (response.status, response.body) == (200, b"done")
            assert response.header("content-LENGTH") == "4"
        assert server.connection_count == 1


async def test_connection_is_kept_for_the_next_request_if_this_one_may_not_be_sent():
    async with raw_server(COMPLETE_RESPONSE) as (client, server):
        withdrawn = await client.open(
            server.address, "GET", "/", may_send=lambda: False
        )
        assert withdrawn.unwrap_err().reason is Reason.WITHDRAWN
        assert client.idle_count(server.address) == 1
        assert (await get(client, server)).unwrap().status == 200
        assert (server.connection_count, server.request_count) == (1, 1)


async def test_connection_is_not_counted_any_more_after_a_failed_check():
    limits = http_client.ClientLimits(connections_per_address=1)
    async with raw_server(COMPLETE_RESPONSE, limits=limits) as (client, server):
        with contextlib.suppress(ZeroDivisionError):
            await client.open(server.address, "GET", "/", may_send=lambda: 1 / 0)
        assert (await get(client, server)).unwrap().status == 200


async def test_interrupted_responses_are_errors():
    assert await error_of(b"!") == (Reason.LOST, True)
    assert await error_of(b"!HTTP/1.1 200 OK\r\nContent-Le") == (Reason.LOST, True)
    assert await error_of(b"!" + COMPLETE_RESPONSE[:-1]) == (Reason.LOST, True)
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"
    assert await error_of(b"!" + chunked) == (Reason.LOST, True)
    assert await error_of(b"!" + chunked + b"0\r\n") == (Reason.LOST, True)


async def test_close_delimited_response_is_an_error():
    close_delimited = b"!HTTP/1.1 200 OK\r\n\r\ndone"
    assert await error_of(close_delimited) == (Reason.MALFORMED, True)
    old = b"!HTTP/1.0 200 OK\r\n\r\ndone"
    assert await error_of(old) == (Reason.MALFORMED, True)


async def test_close_delimited_response_cut_off_on_this_side_is_not_complete():
    async with raw_server(b"HTTP/1.1 200 OK\r\n\r\npart") as (client, server):
        opened = await client.open(
            server.address, "GET", "/", allow_close_delimited=True
        )
        reader = opened.unwrap()
        assert (await reader.read(TEST_TIMEOUT_S)).unwrap() == b"part"
        await client.close()
        assert (await reader.read(TEST_TIMEOUT_S)).is_err()


async def test_malformed_responses_are_errors():
    assert await error_of(b"nonsense\r\n\r\n") == (Reason.MALFORMED, True)
    large_header = b"HTTP/1.1 200 OK\r\nA: %b" % (b"x" * 100_000)
    assert await error_of(large_header) == (Reason.TOO_LARGE, True)
    bad_chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
    assert await error_of(bad_chunk) == (Reason.MALFORMED, True)


async def test_response_above_the_body_limit_is_an_error():
    limits = http_client.ClientLimits(body_bytes=3)
    async with raw_server(COMPLETE_RESPONSE, limits=limits) as (client, server):
        error = (await get(client, server)).unwrap_err()
        assert error.reason is Reason.TOO_LARGE


async def test_connection_with_bytes_after_the_response_is_not_reused():
    async with raw_server(
        COMPLETE_RESPONSE + b"HTTP/1.1 200 OK\r\n", COMPLETE_RESPONSE
    ) as (client, server):
        assert (await get(client, server)).unwrap().body == b"done"
        assert (await get(client, server)).unwrap().body == b"done"
        assert server.connection_count == 2


async def test_connection_with_an_unsolicited_response_is_not_reused():
    async with raw_server(COMPLETE_RESPONSE, COMPLETE_RESPONSE) as (client, server):
        await get(client, server)
        server.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
        while client.idle_count(server.address):
            await asyncio.sleep(0)
        assert (await get(client, server)).unwrap().body == b"done"
        assert server.connection_count == 2


async def test_pooled_connection_that_gets_bytes_without_end_is_closed():
    async with raw_server(COMPLETE_RESPONSE) as (client, server):
        await get(client, server)
        (writer,) = server.writers
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b"x" * 65_536)
                await writer.drain()
        assert client.idle_count(server.address) == 0


async def test_pooled_connection_closed_by_the_server_is_not_reused():
    async with raw_server(COMPLETE_RESPONSE, COMPLETE_RESPONSE) as (client, server):
        await get(client, server)
        server.writers[0].close()
        while client.idle_count(server.address):
            await asyncio.sleep(0)
        assert (await get(client, server)).is_ok()
        assert server.connection_count == 2


async def test_request_on_a_failing_reused_connection_is_not_retried():
    async with raw_server(COMPLETE_RESPONSE, b"!", COMPLETE_RESPONSE) as (
        client,
        server,
    ):
        await get(client, server)
        error = (await get(client, server)).unwrap_err()
        assert (error.reason, error.may_have_been_sent) == (Reason.LOST, True)
        assert server.request_count == 2


async def test_pooled_connection_expires_after_its_idle_time():
    clock = Clock()
    async with raw_server(COMPLETE_RESPONSE, COMPLETE_RESPONSE, clock=clock) as (
        client,
        server,
    ):
        await get(client, server)
        clock.now_s += http_client.ClientLimits().idle_s + 1
        await get(client, server)
        assert server.connection_count == 2
        assert client.idle_count(server.address) == 1


async def test_timeout_closes_all_pooled_connections_to_the_address():
    async with raw_server(
        COMPLETE_RESPONSE, COMPLETE_RESPONSE, None, COMPLETE_RESPONSE
    ) as (client, server):
        first, second = await asyncio.gather(get(client, server), get(client, server))
        assert first.is_ok() and second.is_ok()
        assert client.idle_count(server.address) == 2
        error = (await get(client, server, SHORT_TIMEOUT_S)).unwrap_err()
        assert (error.reason, error.may_have_been_sent) == (Reason.TIMEOUT, True)
        # The cause may affect the other pooled connection as well.
        assert client.idle_count(server.address) == 0
        assert (await get(client, server)).is_ok()
        assert server.connection_count == 3


async def test_response_that_stalls_times_out():
    reason, _ = await error_of(COMPLETE_RESPONSE[:-2], timeout_s=SHORT_TIMEOUT_S)
    assert reason is Reason.TIMEOUT


async def test_errors_of_requests_that_were_certainly_not_sent():
    limits = http_client.ClientLimits(connections_per_address=1)
    async with raw_server(None, limits=limits) as (client, server):
        nobody = fleet.Address(HOST, 1)
        error = (await client.request(nobody, "GET", "/")).unwrap_err()
        assert (error.reason, error.may_have_been_sent) == (
            Reason.CONNECT_FAILED,
            False,
        )
        bad = ((("A", "x\r\nB: y"),), (("A b", "x"),), (("A", "\u20ac"),))
        for headers in bad:
            result = await client.request(server.address, "GET", "/", headers)
            error = result.unwrap_err()
            assert error == http_client.HttpClientError(
                Reason.INVALID_REQUEST, False, error.detail
            )
        result = await client.request(server.address, "GET", "/ä b")
        assert result.unwrap_err().reason is Reason.INVALID_REQUEST
        held = asyncio.create_task(get(client, server))
        while not server.request_count:
            await asyncio.sleep(0)
        error = (await get(client, server)).unwrap_err()
        assert (error.reason, error.may_have_been_sent) == (
            Reason.POOL_EXHAUSTED,
            False,
        )
        held.cancel()
        await asyncio.gather(held, return_exceptions=True)
        assert not client._open_counts, "a cancelled request must not stay counted"
        await client.close()
        error = (await get(client, server)).unwrap_err()
        assert (error.reason, error.may_have_been_sent) == (Reason.CLOSED, False)


async def test_interim_responses_are_skipped():
    early = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
    async with raw_server(early + early + COMPLETE_RESPONSE) as (client, server):
        assert (await get(client, server)).unwrap().status == 200


async def test_stream_is_read_part_by_part_as_it_arrives():
    go_on = asyncio.Event()

    async def handler(request, responder):
        await responder.start_stream(200, (("Content-Type", "text/event-stream"),))
        await responder.write(b"one")
        await go_on.wait()
        await responder.write(b"two")
        await responder.finish()

    async with client_with_server(handler) as (client, address, _):
        reader = (await client.open(address, "GET", "/")).unwrap()
        assert reader.status == 200
        assert (await reader.read(TEST_TIMEOUT_S)).unwrap() == b"one"
        go_on.set()
        assert (await reader.read(TEST_TIMEOUT_S)).unwrap() == b"two"
        assert (await reader.read(TEST_TIMEOUT_S)).unwrap() == b""
        assert (await reader.read(TEST_TIMEOUT_S)).unwrap() == b"", (
            "reads after the end must return no data"
        )
        await reader.close()
        assert client.idle_count(address) == 1


async def test_slow_reader_applies_backpressure_to_the_server():
    part = b"x" * 65_536
    written_bytes = 0

    async def handler(request, responder):
        nonlocal written_bytes
        await responder.start_stream(200, ())
        while await responder.write(part):
            written_bytes += len(part)

    async with client_with_server(handler) as (client, address, _):
        reader = (await client.open(address, "GET", "/")).unwrap()
        previous_bytes = -1
        while written_bytes != previous_bytes or not written_bytes:
            previous_bytes = written_bytes
            await asyncio.sleep(0.2)
        (connection,) = client._in_use
        held_bytes = len(connection.channel._received)
        assert held_bytes < 3 * byte_channel.READ_BUFFER_BYTES
        await reader.read(TEST_TIMEOUT_S)
        while written_bytes == previous_bytes:
            await reader.read(TEST_TIMEOUT_S)
        await reader.close()


async def test_server_sees_that_the_client_closed_a_stream_early():
    disconnect_seen = asyncio.Event()

    async def handler(request, responder):
        await responder.start_stream(200, ())
        await responder.write(b"one")
        await responder.input_ended.wait()
        disconnect_seen.set()

    async with client_with_server(handler) as (client, address, _):
        reader = (await client.open(address, "GET", "/")).unwrap()
        await reader.read(TEST_TIMEOUT_S)
        await reader.close()
        await disconnect_seen.wait()
        assert (await reader.read(TEST_TIMEOUT_S)).unwrap_err().reason is Reason.CLOSED
        assert client.idle_count(address) == 0


async def test_aborted_stream_is_reported_as_lost():
    async def handler(request, responder):
        await responder.start_stream(200, ())
        await responder.write(b"one")
        responder.abort()

    async with client_with_server(handler) as (client, address, _):
        result = await client.request(address, "GET", "/")
        assert result.unwrap_err().reason is Reason.LOST


async def test_large_bodies_are_transferred_in_both_directions():
    async def handler(request, responder):
        await responder.send(http_server.HttpResponse(200, (), request.body))

    body = bytes(range(256)) * 16_000
    async with client_with_server(handler) as (client, address, _):
        for _ in range(2):
            response = (await client.request(address, "POST", "/", (), body)).unwrap()
            assert response.body == body


@contextlib.asynccontextmanager
async def client_with_server(handler):
    server = http_server.HttpServer(handler)
    client = http_client.HttpClient()
    address = fleet.Address(HOST, await server.start(HOST, 0))
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield client, address, server
    finally:
        await client.close()
        await server.close()
