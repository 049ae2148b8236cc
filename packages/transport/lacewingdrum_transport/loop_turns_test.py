"""Tests that no server holds the event loop."""

import asyncio
import contextlib

from lacewingdrum_state import fleet
from lacewingdrum_transport import http_client
from standins import loop_turns

HOST = "127.0.0.1"
MEASURED_S = 1.0
CONNECTION_COUNT = 20
TINY_CHUNKS = b"1\r\nx\r\n" * 40_000
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@contextlib.asynccontextmanager
async def raw_server(block: bytes):
    """Yield the address of a server that sends this to each request."""
    writers = []

    async def on_connection(reader, writer):
        writers.append(writer)
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER_HEAD + block)
            await writer.drain()
            await reader.read()

    server = await asyncio.start_server(on_connection, HOST, 0)
    try:
        yield fleet.Address(HOST, server.sockets[0].getsockname()[1])
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)


async def test_feeds_of_the_store_in_tiny_chunks_do_not_hold_the_loop():
    client = http_client.HttpClient()
    async with raw_server(TINY_CHUNKS) as address:
        async with loop_turns.measured() as longest:
            calls = (
                client.request(address, "GET", "/", timeout_s=MEASURED_S)
                for _ in range(CONNECTION_COUNT)
            )
            await asyncio.gather(*calls)
        await client.close()
    assert longest.worked_ms <= loop_turns.TURN_MAX_MS, longest.worked_ms


async def test_answer_of_far_more_chunks_than_bytes_is_ended():
    client = http_client.HttpClient()
    async with raw_server(TINY_CHUNKS) as address:
        answer = await client.request(address, "GET", "/", timeout_s=5.0)
        await client.close()
    assert answer.unwrap_err().reason is http_client.ClientErrorReason.TOO_LARGE


async def test_stream_of_many_small_events_is_not_ended():
    event = b"data: a\n\n"
    chunks = (b"%x\r\n%b\r\n" % (len(event), event)) * 20_000
    client = http_client.HttpClient()
    async with raw_server(chunks + b"0\r\n\r\n") as address:
        answer = await client.request(address, "GET", "/", timeout_s=9.0)
        await client.close()
    assert answer.unwrap().body == event * 20_000
