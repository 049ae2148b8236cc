"""Messages between daemons over ZeroMQ.

A daemon binds one ROUTER and has one DEALER for each peer, on which it only
sends; the peer's ROUTER acknowledges heartbeats. A DEALER whose peer stays
silent is thrown away and built anew, since an open connection can go silent
for good while new ones work.
"""

import asyncio
import collections
import contextlib
import dataclasses
import time
from collections.abc import Callable, Iterable

import zmq
import zmq.asyncio
import zmq.auth.asyncio
from result import Err

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids

SILENCE_S = 2.0
CHECKS_PER_SILENCE = 4
SEND_QUEUE_MESSAGES = 256
RECEIVE_QUEUE_MESSAGES = 256
RECEIVE_BATCH = 64
MESSAGE_BYTES = 8 * 1024 * 1024
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
CONNECT_TIMEOUT_MS = 2000
HANDSHAKE_TIMEOUT_MS = 2000
PING_INTERVAL_MS = 500
PING_TIMEOUT_MS = 2000
CURVE_DOMAIN = "peers"
ACKNOWLEDGEMENT = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CurveKeys:
    """This daemon's key pair, and the keys of the daemons let in.

    Without ``allowed_public_keys`` all daemons share this key pair.
    """

    public_key: str
    secret_key: str
    allowed_public_keys: tuple[str, ...] = ()

    @property
    def peer_keys(self) -> tuple[str, ...]:
        """The public keys that a peer may have."""
        return self.allowed_public_keys or (self.public_key,)


@dataclasses.dataclass(slots=True)
class _Link:
    """The DEALER for one peer; ``key_index`` is the peer's key, if any."""

    address: fleet.Address
    dealer: zmq.Socket[bytes]
    heard_s: float
    key_index: int = 0
    is_known: bool = False

    @property
    def is_connected(self) -> bool:
        """Whether the handshake is done, since only then a send succeeds."""
        events = self.dealer.getsockopt(zmq.EVENTS)
        return bool(int(events) & zmq.POLLOUT)


class _AllowedKeys:
    """Tells the authenticator which daemons are let in."""

    def __init__(self, keys: CurveKeys) -> None:
        self._allowed = frozenset(key.encode("ascii") for key in keys.peer_keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns: whether the daemon with this public key is let in."""
        return key in self._allowed


class PeerSocket:
    """Sends to peers without ever waiting, and receives from all of them."""

    def __init__(
        self,
        vm_id: ids.VmId,
        keys: CurveKeys | None = None,
        clock: Callable[[], float] = time.monotonic,
        silence_s: float = SILENCE_S,
    ) -> None:
        self.vm_id = vm_id
        self.dropped_count = 0
        self.malformed_count = 0
        self.rebuilt_count = 0
        self._keys = keys
        self._clock = clock
        self._silence_s = silence_s
        self._links: dict[ids.VmId, _Link] = {}
        self._received: collections.deque[peer_messages.PeerMessage] = (
            collections.deque()
        )
        self._context: zmq.asyncio.Context | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._router_now: zmq.Socket[bytes] | None = None
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self._check_task: asyncio.Task[None] | None = None

    @property
    def peers(self) -> tuple[ids.VmId, ...]:
        """The VMs that messages can be sent to."""
        return tuple(self._links)

    async def start(self, host: str, port: int) -> int:
        """Bind the ROUTER.

        Args:
            host: the IP address to bind.
            port: the port; 0 lets the system pick one.

        Returns:
            The port that was bound.

        Raises:
            OSError: when the address cannot be bound.
        """
        self._context = zmq.asyncio.Context()
        self._start_authenticator()
        router = self._context.socket(zmq.ROUTER)
        self._router = router
        self._router_now = zmq.Socket.shadow(router.underlying)
        _set_common_options(router)
        router.setsockopt(zmq.ROUTER_MANDATORY, 0)
        if self._keys is not None:
            router.curve_server = True
            router.curve_publickey = self._keys.public_key.encode("ascii")
            router.curve_secretkey = self._keys.secret_key.encode("ascii")
            router.setsockopt_string(zmq.ZAP_DOMAIN, CURVE_DOMAIN)
        try:
            router.bind(f"tcp://{host}:{port or '*'}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, str(error)) from error
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._check_task = asyncio.get_running_loop().create_task(self._check())
        return int(endpoint.rpartition(":")[2])

    def connect(self, vm_id: ids.VmId, address: fleet.Address) -> None:
        """Begin to send to a peer; done already, nothing happens.

        Args:
            vm_id: the peer.
            address: where its ROUTER is bound.
        """
        link = self._links.get(vm_id)
        if link is not None and link.address == address:
            return
        self.disconnect(vm_id)
        dealer = self._dealer(address, 0)
        self._links[vm_id] = _Link(address, dealer, self._clock())

    def disconnect(self, vm_id: ids.VmId) -> None:
        """Args: vm_id: the peer that nothing is sent to any more."""
        link = self._links.pop(vm_id, None)
        if link is not None:
            link.dealer.close(linger=0)

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send to one peer, without waiting.

        Args:
            vm_id: the peer.
            body: the message.

        Returns:
            False if it was dropped: no such peer, no connection, queue full.
        """
        return self.send_many((vm_id,), body) == 1

    def send_many(self, vm_ids: Iterable[ids.VmId], body: peer_messages.Body) -> int:
        """Send the same to several peers, without waiting.

        Args:
            vm_ids: the peers.
            body: the message.

        Returns:
            How many peers' queues have taken it.
        """
        data = peer_messages.encode(self.vm_id, body)
        taken_count = 0
        for vm_id in vm_ids:
            link = self._links.get(vm_id)
            if link is not None and _send_now(link.dealer, (data,)):
                taken_count += 1
            else:
                self.dropped_count += 1
        return taken_count

    async def receive(self) -> peer_messages.PeerMessage:
        """Returns: the next message; bytes that are none are counted."""
        assert self._router is not None
        while not self._received:
            frames = await self._router.recv_multipart()
            self._take(frames)
            self._take_waiting()
            # A flood from peers must leave the loop's other work its turn.
            await asyncio.sleep(0)
        return self._received.popleft()

    async def close(self) -> None:
        """Close every socket at once; what is queued is dropped."""
        if self._check_task is not None:
            self._check_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._check_task
        for vm_id in self.peers:
            self.disconnect(vm_id)
        if self._router is not None:
            self._router.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._context is not None:
            self._context.destroy(linger=0)

    def rebuild_silent(self) -> None:
        """Build anew each DEALER whose peer has been silent for too long."""
        now_s = self._clock()
        for link in self._links.values():
            if _has_received(link.dealer):
                link.heard_s = now_s
                link.is_known = True
            elif now_s - link.heard_s >= self._patience_s(link):
                self._rebuild(link, now_s)

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(self._silence_s / CHECKS_PER_SILENCE)
            self.rebuild_silent()

    def _patience_s(self, link: _Link) -> float:
        many_keys = self._keys is not None and len(self._keys.peer_keys) > 1
        if many_keys and not link.is_known and not link.is_connected:
            # Another key may be the peer's, and there are some to try.
            return self._silence_s / CHECKS_PER_SILENCE
        return self._silence_s

    def _rebuild(self, link: _Link, now_s: float) -> None:
        link.dealer.close(linger=0)
        if not link.is_known:
            # The peer may have another of the allowed keys.
            link.key_index += 1
        link.dealer = self._dealer(link.address, link.key_index)
        link.heard_s = now_s
        link.is_known = False
        self.rebuilt_count += 1

    def _dealer(self, address: fleet.Address, key_index: int) -> zmq.Socket[bytes]:
        assert self._context is not None
        dealer: zmq.Socket[bytes] = zmq.Context.shadow(self._context.underlying).socket(
            zmq.DEALER
        )
        _set_common_options(dealer)
        # Without a connection nothing is queued, so that nothing goes stale.
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        if self._keys is not None:
            peer_keys = self._keys.peer_keys
            server_key = peer_keys[key_index % len(peer_keys)]
            dealer.curve_publickey = self._keys.public_key.encode("ascii")
            dealer.curve_secretkey = self._keys.secret_key.encode("ascii")
            dealer.curve_serverkey = server_key.encode("ascii")
        dealer.connect(f"tcp://{address}")
        return dealer

    def _start_authenticator(self) -> None:
        if self._keys is None:
            return
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            CURVE_DOMAIN, credentials_provider=_AllowedKeys(self._keys)
        )

    def _take_waiting(self) -> None:
        """Take what has come already, some at a time to be fair to others."""
        assert self._router_now is not None
        for _ in range(RECEIVE_BATCH):
            try:
                frames = self._router_now.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._take(frames)

    def _take(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self.malformed_count += 1
            return
        sender_route, data = frames
        decoded = peer_messages.decode(data)
        if isinstance(decoded, Err):
            self.malformed_count += 1
            return
        message = decoded.ok_value
        if isinstance(message.body, peer_messages.Heartbeat):
            assert self._router_now is not None
            _send_now(self._router_now, (sender_route, ACKNOWLEDGEMENT))
        self._received.append(message)


def _set_common_options(sock: zmq.Socket) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    sock.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
    sock.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES)
    sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
    sock.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)


def _send_now(sock: zmq.Socket[bytes], frames: tuple[bytes, ...]) -> bool:
    try:
        sock.send_multipart(frames, zmq.NOBLOCK)
    except zmq.ZMQError:
        return False
    return True


def _has_received(sock: zmq.Socket[bytes]) -> bool:
    """Read all acknowledgements. Returns: whether there was one."""
    found = False
    with contextlib.suppress(zmq.ZMQError):
        while True:
            sock.recv_multipart(zmq.NOBLOCK)
            found = True
    return found
