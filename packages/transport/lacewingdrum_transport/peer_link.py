"""Sends messages to one peer through a DEALER socket.

The DEALER is replaced if the peer acknowledges nothing for too long, since an
open connection can stop working forever while new connections work.
"""

import contextlib
import dataclasses

import zmq

from lacewingdrum_state import fleet

CHECKS_PER_SILENCE_LIMIT = 4
SEND_QUEUE_MESSAGES = 256
RECEIVE_QUEUE_MESSAGES = 256
MESSAGE_BYTES_MAX = 8 * 1024 * 1024
RECONNECT_MS = 100
RECONNECT_MAX_MS = 300
CONNECT_TIMEOUT_MS = 2000
HANDSHAKE_TIMEOUT_MS = 2000
PING_INTERVAL_MS = 500
PING_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3

Socket = zmq.Socket[bytes]
Context = zmq.Context[Socket]


@dataclasses.dataclass(frozen=True, slots=True)
class CurveKeys:
    """This daemon's key pair, and the public keys of the allowed daemons.

    If ``allowed_public_keys`` is empty, all daemons share this key pair.
    """

    public_key: str
    secret_key: str
    allowed_public_keys: tuple[str, ...] = ()

    @property
    def peer_keys(self) -> tuple[str, ...]:
        """The public keys accepted from peers."""
        return self.allowed_public_keys or (self.public_key,)

    def set_own_keys(self, socket: Socket) -> None:
        """Set this daemon's key pair on a socket."""
        socket.curve_publickey = self.public_key.encode("ascii")
        socket.curve_secretkey = self.secret_key.encode("ascii")


class AllowedKeys:
    """Tells the ZeroMQ authenticator which public keys are allowed."""

    def __init__(self, keys: CurveKeys) -> None:
        self._allowed = frozenset(key.encode("ascii") for key in keys.peer_keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the public key is allowed.

        The authenticator of pyzmq requires this name.
        """
        return key in self._allowed


class PeerLink:
    """Sends to one peer without blocking.

    A peer that acknowledges nothing for ``silence_limit_s`` counts as silent.
    """

    def __init__(
        self,
        context: Context,
        address: fleet.Address,
        keys: CurveKeys | None,
        silence_limit_s: float,
        now_s: float,
        with_pings: bool = True,
    ) -> None:
        self.address = address
        self._context = context
        self._keys = keys
        self.silence_limit_s = silence_limit_s
        self._with_pings = with_pings
        self._key_index = 0
        self._is_acknowledged = False
        self._last_acknowledged_s = now_s
        self._dealer = self._new_dealer()

    def send(self, data: bytes) -> bool:
        """Send a message.

        Returns:
            False if it was dropped: there is no connection, or the queue is
            full.
        """
        return try_send(self._dealer, (data,))

    def rebuild_if_silent(self, now_s: float) -> bool:
        """Read acknowledgements, and replace the DEALER of a silent peer.

        A peer is silent if it has acknowledged nothing for longer than the
        silence limit.

        Args:
            now_s: the current time.

        Returns:
            Whether the DEALER was replaced.
        """
        if _drain_acknowledgements(self._dealer):
            self._last_acknowledged_s = now_s
            self._is_acknowledged = True
            return False
        if now_s - self._last_acknowledged_s < self._current_silence_limit_s():
            return False
        self._dealer.close(linger=0)
        if not self._is_acknowledged:
            # The peer may use another one of the allowed keys.
            self._key_index += 1
        self._is_acknowledged = False
        self._last_acknowledged_s = now_s
        self._dealer = self._new_dealer()
        return True

    def close(self) -> None:
        """Close the DEALER immediately and drop queued messages."""
        self._dealer.close(linger=0)

    def _current_silence_limit_s(self) -> float:
        has_several_keys = self._keys is not None and len(self._keys.peer_keys) > 1
        if has_several_keys and not self._is_acknowledged and not self._is_connected():
            # The key may be the wrong one, so try the next key already after
            # one check interval.
            return self.silence_limit_s / CHECKS_PER_SILENCE_LIMIT
        return self.silence_limit_s

    def _is_connected(self) -> bool:
        """Return whether the handshake is done and messages can be sent."""
        return bool(int(self._dealer.getsockopt(zmq.EVENTS)) & zmq.POLLOUT)

    def _new_dealer(self) -> Socket:
        dealer = self._context.socket(zmq.DEALER)
        set_common_options(dealer, self._with_pings)
        # Queue messages only while connected, so that no outdated messages
        # are sent after a reconnect.
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        if self._keys is not None:
            peer_keys = self._keys.peer_keys
            peer_key = peer_keys[self._key_index % len(peer_keys)]
            self._keys.set_own_keys(dealer)
            dealer.curve_serverkey = peer_key.encode("ascii")
        dealer.connect(f"tcp://{self.address}")
        return dealer


def set_common_options(socket: Socket, with_pings: bool = True) -> None:
    """Set queue limits and the detection of broken connections on a socket.

    Args:
        socket: the socket.
        with_pings: whether ZeroMQ sends its own heartbeats on the connection,
            besides the daemons' ``Heartbeat`` messages. If not, TCP
            keep-alive probes are used, which are sent less often.
    """
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES_MAX)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
    if with_pings:
        socket.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        return
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)


def try_send(socket: Socket, frames: tuple[bytes, ...]) -> bool:
    """Send a message; drop it and return False if it cannot be queued."""
    try:
        socket.send_multipart(frames, zmq.NOBLOCK)
    except zmq.ZMQError:
        return False
    return True


def _drain_acknowledgements(socket: Socket) -> bool:
    """Read the acknowledgements of a queue; return whether there were any."""
    has_received = False
    with contextlib.suppress(zmq.ZMQError):
        for _ in range(RECEIVE_QUEUE_MESSAGES):
            socket.recv_multipart(zmq.NOBLOCK)
            has_received = True
    return has_received
