"""Messages between daemons over real loopback sockets."""

import asyncio
import contextlib

import zmq

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import peer_socket

HOST = "127.0.0.1"
A = ids.VmId("vm-a")
B = ids.VmId("vm-b")
BEAT = peer_messages.Heartbeat(1, "almaty-north", False, ())
RELEASE = peer_messages.ReservationRelease("res-1", "runner-1")
LIMIT_S = 10.0


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
    """Two sockets; the first one sends to the second."""
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


async def send_until_taken(sender, to, body):
    async with asyncio.timeout(LIMIT_S):
        while not sender.send(to, body):
            await asyncio.sleep(0.01)


async def receive(receiver):
    async with asyncio.timeout(LIMIT_S):
        return await receiver.receive()


async def rebuild_until_received(clock, sender, receiver):
    """Let the clock run, and send, until a message comes through."""
    receiving = asyncio.create_task(receiver.receive())
    async with asyncio.timeout(LIMIT_S):
        while not receiving.done():
            sender.send(B, BEAT)
            await asyncio.sleep(0.02)
            clock.now_s += 0.1
            sender.rebuild_silent()
    return receiving.result()


async def test_message_arrives_with_its_sender():
    async with pair() as (a, b):
        await send_until_taken(a, B, RELEASE)
        assert await receive(b) == peer_messages.PeerMessage(A, RELEASE)


async def test_messages_keep_their_order():
    async with pair() as (a, b):
        await send_until_taken(a, B, BEAT)
        for number in range(200):
            a.send(B, peer_messages.ReservationRelease(str(number), ""))
        assert (await receive(b)).body == BEAT
        for number in range(200):
            assert (await receive(b)).body.reservation_id == str(number)


async def test_send_to_nobody_is_dropped_at_once():
    async with pair() as (a, _):
        a.connect(ids.VmId("dead"), fleet.Address(HOST, 1))
        assert not a.send(ids.VmId("dead"), BEAT)
        assert not a.send(ids.VmId("unknown"), BEAT)
        assert a.dropped_count == 2


async def test_slow_peer_bounds_what_is_queued():
    async with pair() as (a, _):
        await send_until_taken(a, B, BEAT)
        dropped_before = a.dropped_count
        text = "x" * 100_000
        push = peer_messages.DocumentPush("s", 1, "sub", "d", text)
        taken_count = sum(a.send(B, push) for _ in range(10_000))
        queue_bound = (
            peer_socket.SEND_QUEUE_MESSAGES + peer_socket.RECEIVE_QUEUE_MESSAGES
        )
        # The kernel's buffers and libzmq's batches hold some more.
        assert taken_count < 2 * queue_bound
        assert a.dropped_count - dropped_before == 10_000 - taken_count


async def test_bytes_that_are_no_message_are_counted():
    async with pair() as (a, b):
        await send_until_taken(a, B, BEAT)
        a._links[B]._dealer.send_multipart([b"\xc1"], zmq.NOBLOCK)
        a._links[B]._dealer.send_multipart([b"1", b"2"], zmq.NOBLOCK)
        a.send(B, RELEASE)
        assert (await receive(b)).body == BEAT
        assert (await receive(b)).body == RELEASE
        assert b.malformed_count == 2


class Proxy:
    """Passes bytes on, but none on connections that have been silenced."""

    def __init__(self, to_port):
        self._to_port = to_port
        self._silenced = set()
        self._writers = []
        self._tasks = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def silence_open_ones(self):
        self._silenced.update(self._writers)

    async def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        there_reader, there_writer = await asyncio.open_connection(HOST, self._to_port)
        self._writers += (writer, there_writer)
        await asyncio.gather(
            self._pass_on(reader, there_writer), self._pass_on(there_reader, writer)
        )

    async def _pass_on(self, reader, writer):
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
            await send_until_taken(a, B, RELEASE)
            assert (await receive(b)).body == RELEASE
            proxy.silence_open_ones()
            assert a.send(B, RELEASE), "it still looks open"
            message = await rebuild_until_received(clock, a, b)
        finally:
            await proxy.close()
        assert message.body == BEAT
        assert a.rebuilt_count >= 1


async def test_acknowledged_connection_is_kept():
    clock = Clock()
    async with pair(clock=clock) as (a, b):
        await send_until_taken(a, B, BEAT)
        await receive(b)
        for _ in range(10):
            a.send(B, BEAT)
            await receive(b)
            events = 0
            while not events & zmq.POLLIN:
                await asyncio.sleep(0.005)
                events = a._links[B]._dealer.getsockopt(zmq.EVENTS)
            clock.now_s += 1.9
            a.rebuild_silent()
        assert a.rebuilt_count == 0


async def test_restarted_peer_is_heard_again():
    clock = Clock()
    async with pair(clock=clock) as (a, b):
        await send_until_taken(a, B, BEAT)
        address = a._links[B].address
        await receive(b)
        await b.close()
        again = peer_socket.PeerSocket(B, None, Clock())
        await again.start(HOST, address.port)
        try:
            message = await rebuild_until_received(clock, a, again)
        finally:
            await again.close()
    assert message.sender == A


async def test_curve_with_one_pair_for_all():
    keys = peer_socket.CurveKeys(*curve_pair())
    async with pair(keys, keys) as (a, b):
        await send_until_taken(a, B, RELEASE)
        assert (await receive(b)).body == RELEASE


async def test_curve_with_a_pair_each_finds_the_peers_key():
    first, second, third = curve_pair(), curve_pair(), curve_pair()
    allowed = (first[0], third[0], second[0])
    clock = Clock()
    keys_a = peer_socket.CurveKeys(*first, allowed)
    keys_b = peer_socket.CurveKeys(*second, allowed)
    async with pair(keys_a, keys_b, clock) as (a, b):
        assert (await rebuild_until_received(clock, a, b)).sender == A


async def test_curve_lets_no_other_key_in():
    known, stranger = curve_pair(), curve_pair()
    keys_b = peer_socket.CurveKeys(*known)
    # The stranger knows the public key that the others share.
    keys_a = peer_socket.CurveKeys(*stranger, (known[0],))
    async with pair(keys_a, keys_b) as (a, b):
        for _ in range(50):
            assert not a.send(B, BEAT)
            await asyncio.sleep(0.01)
        plain = peer_socket.PeerSocket(ids.VmId("plain"), None, Clock())
        await plain.start(HOST, 0)
        plain.connect(B, a._links[B].address)
        try:
            for _ in range(50):
                plain.send(B, BEAT)
                await asyncio.sleep(0.01)
        finally:
            await plain.close()
        assert not b._received and b.malformed_count == 0
        await send_until_taken_by_itself(b, known)


async def send_until_taken_by_itself(b, pair_keys):
    """The socket still serves those who have the right key."""
    endpoint = b._router.getsockopt_string(zmq.LAST_ENDPOINT)
    good = peer_socket.PeerSocket(A, peer_socket.CurveKeys(*pair_keys), Clock())
    await good.start(HOST, 0)
    try:
        good.connect(B, fleet.Address(HOST, int(endpoint.rpartition(":")[2])))
        await send_until_taken(good, B, RELEASE)
        assert (await receive(b)).body == RELEASE
    finally:
        await good.close()
