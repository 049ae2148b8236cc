"""Tests that no caller, server or peer holds the event loop."""

import asyncio
import contextlib
import time

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import (
    completion_stream,
    http_client,
    http_server,
    peer_link,
    peer_socket,
)
from standins import loop_turns

HOST = "127.0.0.1"
MEASURED_S = 1.0
CONNECTION_COUNT = 20
SENT_PER_TURN = 8
TINY_CHUNKS = b"1\r\nx\r\n" * 40_000
BODY_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
PIPELINED = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 9_000
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def respond(request, responder):
    await responder.send(http_server.HttpResponse(200))


async def caller_turn_ms(head: bytes, block: bytes) -> float:
    """Return the longest turn of a server while callers send this."""
    server = http_server.HttpServer(respond)
    port = await server.start(HOST, 0)
    connections = [
        await asyncio.open_connection(HOST, port) for _ in range(CONNECTION_COUNT)
    ]
    async with loop_turns.measured() as longest:
        for _, writer in connections:
            writer.write(head + block)
        await asyncio.sleep(MEASURED_S)
    for _, writer in connections:
        writer.transport.abort()
    await server.close()
    return longest.worked_ms


async def test_callers_bodies_in_tiny_chunks_do_not_hold_the_loop():
    worked_ms = await caller_turn_ms(BODY_HEAD, TINY_CHUNKS)
    assert worked_ms <= loop_turns.TURN_MAX_MS, worked_ms


async def test_endless_body_of_a_caller_in_tiny_chunks_is_refused_in_time():
    limits = http_server.ServerLimits(body_timeout_s=0.3)
    server = http_server.HttpServer(respond, limits)
    port = await server.start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(BODY_HEAD)

    async def send():
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(TINY_CHUNKS)
                await writer.drain()

    sending = asyncio.ensure_future(send())
    status = await asyncio.wait_for(reader.readline(), 3.0)
    sending.cancel()
    writer.transport.abort()
    await server.close()
    assert status.split()[1] == b"408", status


async def test_pipelined_requests_do_not_hold_the_loop():
    worked_ms = await caller_turn_ms(b"", PIPELINED)
    assert worked_ms <= loop_turns.TURN_MAX_MS, worked_ms


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


async def test_empty_lines_of_completions_do_not_hold_the_loop():
    client = http_client.HttpClient()
    chunk = b"4000\r\n" + b"\n" * 16_384 + b"\r\n"

    async def complete(address):
        reader = (await client.open(address, "GET", "/")).unwrap()
        stream = completion_stream.CompletionStream(reader)
        await stream.next(MEASURED_S)
        await stream.close()

    async with raw_server(chunk * 100) as address:
        async with loop_turns.measured() as longest:
            calls = [
                asyncio.ensure_future(complete(address))
                for _ in range(CONNECTION_COUNT)
            ]
            await asyncio.wait(calls, timeout=MEASURED_S)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
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


@contextlib.asynccontextmanager
async def flooded_socket(body, sender_count: int = 4):
    """Yield a socket that peers send messages to without a pause."""
    receiver = peer_socket.PeerSocket(ids.VmId("vm-0"))
    port = await receiver.start(HOST, 0)
    senders = []
    for number in range(sender_count):
        sender = peer_socket.PeerSocket(ids.VmId(f"vm-{number + 1}"))
        await sender.start(HOST, 0)
        sender.connect(receiver.vm_id, fleet.Address(HOST, port))
        senders.append(sender)

    data = peer_messages.encode(ids.VmId("vm-1"), body)

    async def send():
        while True:
            for sender in SENT_PER_TURN * senders:
                sender._links[receiver.vm_id].send(data)
            await asyncio.sleep(0)

    sending = asyncio.ensure_future(send())
    try:
        yield receiver
    finally:
        sending.cancel()
        for one in (*senders, receiver):
            await one.close()


async def messages_turn_ms(body, handle) -> float:
    """Return the longest turn while such messages are handled."""

    async def receive(receiver):
        while True:
            handle(await receiver.receive())

    async with flooded_socket(body) as receiver, loop_turns.measured() as longest:
        receiving = asyncio.ensure_future(receive(receiver))
        await asyncio.sleep(MEASURED_S)
        receiving.cancel()
    return longest.worked_ms


async def test_messages_of_peers_do_not_hold_the_loop():
    def handle(message):
        end_s = time.thread_time() + 0.001
        while time.thread_time() < end_s:
            pass

    worked_ms = await messages_turn_ms(
        peer_messages.ReservationRelease("a", "b"), handle
    )
    assert worked_ms <= loop_turns.TURN_MAX_MS, worked_ms


async def test_long_messages_of_peers_do_not_hold_the_loop():
    names = tuple(f"10.0.0.1:{number}" for number in range(20_000))
    heartbeat = peer_messages.Heartbeat(1, "north", False, (), peers=names)
    worked_ms = await messages_turn_ms(heartbeat, lambda message: None)
    assert worked_ms <= loop_turns.TURN_MAX_MS, worked_ms


def test_acknowledgements_without_end_are_not_read_at_once():
    class EndlessSocket:
        read_count = 0

        def recv_multipart(self, flags):
            self.read_count += 1
            assert self.read_count <= peer_link.RECEIVE_QUEUE_MESSAGES

    assert peer_link._drain_acknowledgements(EndlessSocket())
