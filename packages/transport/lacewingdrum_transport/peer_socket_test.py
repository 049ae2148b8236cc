"""Tests of messages between daemons over loopback sockets."""

import asyncio
import contextlib

import zmq

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import peer_socket

HOST = "127.0.0.1"
A = ids.VmId("vm-a")
B = ids.VmId("vm-b")
HEARTBEAT = peer_messages.Heartbeat(1, "almaty-north", False, ())
RELEASE = peer_messages.ReservationRelease("res-1", "runner-1")
TEST_TIMEOUT_S = 10.0


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def curve_pair():
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


@contextlib.asynccontextmanager
async def pair(keys_a=None, keys_b=None, clock=None):
    """Yield two sockets, of which the first is connected to the second."""
    a = peer_socket.PeerSocket(A, keys_a, clock or Clock())
    b = peer_socket.PeerSocket(B, keys_b, Clock())
    try:
        await a.start(HOST, 0)
        port = await b.start(HOST, 0)
        a.connect(B, fleet.Address(HOST, port))
        yield a, b
    finally:
        await a.close()
        await b.close()


async def send_until_accepted(sender, vm_id, body):
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not sender.send(vm_id, body):
            await asyncio.sleep(0.01)


async def receive(receiver):
    async with asyncio.timeout(TEST_TIMEOUT_S):
        return await receiver.receive()


async def rebuild_until_received(clock, sender, receiver):
    """Advance the clock and send until the receiver gets a message."""
    receiving = asyncio.create_task(receiver.receive())
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not receiving.done():
            sender.send(B, HEARTBEAT)
            await asyncio.sleep(0.02)
            clock.now_s += 0.1
            sender.rebuild_silent_links()
    return receiving.result()


async def test_message_arrives_with_its_sender():
    async with pair() as (a, b):
        await send_until_accepted(a, B, RELEASE)
        assert await receive(b) == peer_messages.PeerMessage(A, RELEASE)


async def test_messages_keep_their_order():
    async with pair() as (a, b):
        await send_until_accepted(a, B, HEARTBEAT)
        for number in range(200):
            a.send(B, peer_messages.ReservationRelease(str(number), ""))
        assert (await receive(b)).body == HEARTBEAT
        for number in range(200):
            assert (await receive(b)).body.reservation_id == str(number)


async def test_message_to_an_unreachable_peer_is_dropped_immediately():
    async with pair() as (a, _):
        a.connect(ids.VmId("dead"), fleet.Address(HOST, 1))
        assert not a.send(ids.VmId("dead"), HEARTBEAT)
        assert not a.send(ids.VmId("unknown"), HEARTBEAT)
        assert a.dropped_count == 2


async def test_queue_to_a_slow_peer_is_bounded():
    async with pair() as (a, _):
        await send_until_accepted(a, B, HEARTBEAT)
        dropped_before = a.dropped_count
        text = "x" * 100_000
        push = peer_messages.DocumentPush("s", 1, "sub", "d", text)
        accepted_count = sum(a.send(B, push) for _ in range(10_000))
        queue_bound = (
            peer_socket.SEND_QUEUE_MESSAGES + peer_socket.RECEIVE_QUEUE_MESSAGES
        )
        # The kernel's buffers and libzmq's batches hold further messages.
        assert accepted_count < 2 * queue_bound
        assert a.dropped_count - dropped_before == 10_000 - accepted_count


async def test_malformed_messages_are_counted_and_dropped():
    async with pair() as (a, b):
        await send_until_accepted(a, B, HEARTBEAT)
        a._links[B]._dealer.send_multipart([b"\xc1"], zmq.NOBLOCK)
        a._links[B]._dealer.send_multipart([b"1", b"2"], zmq.NOBLOCK)
        a.send(B, RELEASE)
        assert (await receive(b)).body == HEARTBEAT
        assert (await receive(b)).body == RELEASE
        assert b.malformed_count == 2


class Proxy:
    """Forwards bytes, except on silenced connections."""

    def __init__(self, to_port):
        self._to_port = to_port
        self._silenced = set()
        self._writers = []
        self._tasks = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def silence_open_connections(self):
        self._silenced.update(self._writers)

    async def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        target_reader, target_writer = await asyncio.open_connection(
            HOST, self._to_port
        )
        self._writers += (writer, target_writer)
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if writer not in self._silenced:
                    writer.write(data)


async def test_silent_connection_is_rebuilt():
    clock = Clock()
    async with pair(clock=clock) as (a, b):
        proxy = Proxy(a._links[B].address.port)
        try:
            a.connect(B, fleet.Address(HOST, await proxy.start()))
            await send_until_accepted(a, B, RELEASE)
            assert (await receive(b)).body == RELEASE
            proxy.silence_open_connections()
            assert a.send(B, RELEASE), "the connection must still look open"
            message = await rebuild_until_received(clock, a, b)
        finally:
            await proxy.close()
        assert message.body == HEARTBEAT
        assert a.rebuilt_count >= 1


async def test_acknowledged_connection_is_kept():
    clock = Clock()
    async with pair(clock=clock) as (a, b):
        await send_until_accepted(a, B, HEARTBEAT)
        await receive(b)
        for _ in range(10):
            a.send(B, HEARTBEAT)
            await receive(b)
            events = 0
            while not events & zmq.POLLIN:
                await asyncio.sleep(0.005)
                events = a._links[B]._dealer.getsockopt(zmq.EVENTS)
            clock.now_s += 1.9  # just below the silence limit
            a.rebuild_silent_links()
        assert a.rebuilt_count == 0


async def test_restarted_peer_receives_messages_again():
    clock = Clock()
    async with pair(clock=clock) as (a, b):
        await send_until_accepted(a, B, HEARTBEAT)
        address = a._links[B].address
        await receive(b)
        await b.close()
        restarted = peer_socket.PeerSocket(B, None, Clock())
        await restarted.start(HOST, address.port)
        try:
            message = await rebuild_until_received(clock, a, restarted)
        finally:
            await restarted.close()
    assert message.sender == A


async def test_curve_with_one_shared_key_pair():
    keys = peer_socket.CurveKeys(*curve_pair())
    async with pair(keys, keys) as (a, b):
        await send_until_accepted(a, B, RELEASE)
        assert (await receive(b)).body == RELEASE


async def test_curve_with_separate_key_pairs_finds_the_key_of_the_peer():
    first, second, third = curve_pair(), curve_pair(), curve_pair()
    allowed = (first[0], third[0], second[0])
    clock = Clock()
    keys_a = peer_socket.CurveKeys(*first, allowed)
    keys_b = peer_socket.CurveKeys(*second, allowed)
    async with pair(keys_a, keys_b, clock) as (a, b):
        assert (await rebuild_until_received(clock, a, b)).sender == A


async def test_curve_rejects_unknown_keys():
    known_pair, unknown_pair = curve_pair(), curve_pair()
    keys_b = peer_socket.CurveKeys(*known_pair)
    # The unknown daemon knows the public key that the others share.
    keys_a = peer_socket.CurveKeys(*unknown_pair, (known_pair[0],))
    async with pair(keys_a, keys_b) as (a, b):
        for _ in range(50):
            assert not a.send(B, HEARTBEAT)
            await asyncio.sleep(0.01)
        plain_socket = peer_socket.PeerSocket(ids.VmId("plain"), None, Clock())
        await plain_socket.start(HOST, 0)
        plain_socket.connect(B, a._links[B].address)
        try:
            for _ in range(50):
                plain_socket.send(B, HEARTBEAT)
                await asyncio.sleep(0.01)
        finally:
            await plain_socket.close()
        assert not b._received and b.malformed_count == 0
        await check_known_key_is_accepted(b, known_pair)


async def check_known_key_is_accepted(b, pair_keys):
    """Check that the socket still accepts a daemon with a known key."""
    endpoint = b._router.getsockopt_string(zmq.LAST_ENDPOINT)
    known_socket = peer_socket.PeerSocket(A, peer_socket.CurveKeys(*pair_keys), Clock())
    await known_socket.start(HOST, 0)
    try:
        known_socket.connect(B, fleet.Address(HOST, int(endpoint.rpartition(":")[2])))
        await send_until_accepted(known_socket, B, RELEASE)
        assert (await receive(b)).body == RELEASE
    finally:
        await known_socket.close()
