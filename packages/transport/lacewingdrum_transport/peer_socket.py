"""Exchanges messages with other daemons over ZeroMQ.

A daemon binds one ROUTER socket to receive messages, and connects one DEALER
socket to each peer to send messages. The peer's ROUTER acknowledges
heartbeats on the same connection.
"""

import asyncio
import collections
import contextlib
import time
from collections.abc import Callable, Iterable

import zmq
import zmq.auth.asyncio

from lacewingdrum_protocol import peer_messages, received_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import peer_link, turn_budget

SILENCE_LIMIT_S = 2.0
RECEIVE_BATCH_MESSAGES = 64
# While messages keep arriving, they are received in batches at this interval,
# since a wake-up of the event loop for each message would cost more than its
# handling.
RECEIVE_INTERVAL_S = 0.005
# A message costs as much as so many events of an answer, and a long one as
# much as one more for each so many bytes.
MESSAGE_EVENTS = 4
EVENT_BYTES = 4_096
CURVE_DOMAIN = "peers"
ACKNOWLEDGEMENT = b""

CurveKeys = peer_link.CurveKeys
SEND_QUEUE_MESSAGES = peer_link.SEND_QUEUE_MESSAGES
RECEIVE_QUEUE_MESSAGES = peer_link.RECEIVE_QUEUE_MESSAGES


class PeerSocket:
    """Sends to peers without blocking, and receives from all of them.

    ``on_unread`` is called for each message that is not read, or not whole.
    """

    def __init__(
        self,
        vm_id: ids.VmId,
        keys: CurveKeys | None = None,
        clock: Callable[[], float] = time.monotonic,
        silence_limit_s: float = SILENCE_LIMIT_S,
        with_pings: bool = True,
    ) -> None:
        self.vm_id = vm_id
        self.dropped_count = 0
        self.malformed_count = 0
        self.on_unread: Callable[[received_messages.Unread], None] = lambda reason: None
        self.rebuilt_count = 0
        self.receive_interval_s = RECEIVE_INTERVAL_S
        self._keys = keys
        self._clock = clock
        self._silence_limit_s = silence_limit_s
        self._with_pings = with_pings
        self._links: dict[ids.VmId, peer_link.PeerLink] = {}
        self._received: collections.deque[peer_messages.PeerMessage] = (
            collections.deque()
        )
        self._message_received: asyncio.Event = asyncio.Event()
        self._handled = turn_budget.ReadTurns()
        self._batch = turn_budget.ReadTurns()
        self._context: peer_link.Context | None = None
        self._router: peer_link.Socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._descriptor = -1
        self._next_receive: asyncio.Handle | None = None
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self._check_task: asyncio.Task[None] | None = None

    @property
    def peers(self) -> tuple[ids.VmId, ...]:
        """The VMs for which ``connect`` was called, reachable or not."""
        return tuple(self._links)

    async def start(self, host: str, port: int) -> int:
        """Bind the ROUTER and start receiving.

        Args:
            host: the IP address to bind.
            port: the port; with 0 the system chooses one.

        Returns:
            The bound port.

        Raises:
            OSError: the address cannot be bound.
        """
        self._context = zmq.Context()
        self._start_authenticator()
        router = self._context.socket(zmq.ROUTER)
        self._router = router
        peer_link.set_common_options(router, self._with_pings)
        router.setsockopt(zmq.ROUTER_MANDATORY, 0)
        if self._keys is not None:
            router.curve_server = True
            self._keys.set_own_keys(router)
            router.setsockopt_string(zmq.ZAP_DOMAIN, CURVE_DOMAIN)
        try:
            router.bind(f"tcp://{host}:{port or '*'}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, str(error)) from error
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._loop = asyncio.get_running_loop()
        self._descriptor = int(router.getsockopt(zmq.FD))
        self._receive_or_wait()
        self._check_task = self._loop.create_task(self._check_links())
        return int(endpoint.rpartition(":")[2])

    def connect(self, vm_id: ids.VmId, address: fleet.Address) -> None:
        """Connect to a peer, unless already connected to this address.

        Args:
            vm_id: the peer.
            address: the address of its ROUTER.
        """
        link = self._links.get(vm_id)
        if link is not None and link.address == address:
            return
        self.disconnect(vm_id)
        assert self._context is not None
        self._links[vm_id] = peer_link.PeerLink(
            self._context,
            address,
            self._keys,
            self._silence_limit_s,
            self._clock(),
            self._with_pings,
        )

    def set_silence_limit(self, vm_id: ids.VmId, silence_limit_s: float) -> None:
        """Set how long a peer may be silent before its DEALER is replaced.

        Args:
            vm_id: the peer.
            silence_limit_s: the limit, longer than the interval of the
                heartbeats sent to the peer.
        """
        link = self._links.get(vm_id)
        if link is not None:
            link.silence_limit_s = silence_limit_s

    def disconnect(self, vm_id: ids.VmId) -> None:
        """Close the DEALER to a peer, if there is one."""
        link = self._links.pop(vm_id, None)
        if link is not None:
            link.close()

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send a message to one peer without blocking.

        Args:
            vm_id: the peer.
            body: the message.

        Returns:
            False if it was dropped: the peer is unknown or not connected, or
            its queue is full.
        """
        return self.send_many((vm_id,), body) == 1

    def send_many(self, vm_ids: Iterable[ids.VmId], body: peer_messages.Body) -> int:
        """Send the same message to several peers without blocking.

        Args:
            vm_ids: the peers.
            body: the message.

        Returns:
            The number of peers whose queues accepted it.
        """
        data = peer_messages.encode(self.vm_id, body)
        message_count = 0
        for vm_id in vm_ids:
            link = self._links.get(vm_id)
            if link is not None and link.send(data):
                message_count += 1
            else:
                self.dropped_count += 1
        return message_count

    async def receive(self) -> peer_messages.PeerMessage:
        """Wait for the next message.

        Malformed messages are counted and dropped. Where many wait, the event
        loop serves others in between.
        """
        if self._handled.is_over:
            await self._handled.give_back()
        while not self._received:
            self._handled.reset()
            self._message_received.clear()
            await self._message_received.wait()
        self._handled.count(MESSAGE_EVENTS)
        return self._received.popleft()

    async def close(self) -> None:
        """Close all sockets immediately and drop queued messages."""
        if self._check_task is not None:
            self._check_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._check_task
        for vm_id in self.peers:
            self.disconnect(vm_id)
        if self._next_receive is not None:
            self._next_receive.cancel()
        if self._loop is not None and self._descriptor >= 0:
            self._loop.remove_reader(self._descriptor)
            self._descriptor = -1
        if self._router is not None:
            self._router.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._context is not None:
            self._context.destroy(linger=0)

    def rebuild_silent_links(self) -> None:
        """Replace each DEALER whose peer has been silent for too long."""
        now_s = self._clock()
        for link in self._links.values():
            if link.rebuild_if_silent(now_s):
                self.rebuilt_count += 1

    async def _check_links(self) -> None:
        while True:
            await asyncio.sleep(
                self._silence_limit_s / peer_link.CHECKS_PER_SILENCE_LIMIT
            )
            self.rebuild_silent_links()

    def _start_authenticator(self) -> None:
        if self._keys is None:
            return
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            CURVE_DOMAIN, credentials_provider=peer_link.AllowedKeys(self._keys)
        )

    def _on_readable(self) -> None:
        assert self._loop is not None
        self._loop.remove_reader(self._descriptor)
        self._receive_or_wait()

    def _receive_or_wait(self) -> None:
        """Receive batches at intervals until one is empty, then wait for data.

        While the queue of received messages is full, it retries at the same
        interval.
        """
        assert self._loop is not None
        message_count = self._receive_batch()
        if message_count == 0 and len(self._received) < RECEIVE_QUEUE_MESSAGES:
            self._next_receive = None
            self._loop.add_reader(self._descriptor, self._on_readable)
            return
        wait_s = (
            0.0 if message_count == RECEIVE_BATCH_MESSAGES else self.receive_interval_s
        )
        self._next_receive = self._loop.call_later(wait_s, self._receive_or_wait)

    def _receive_batch(self) -> int:
        """Receive waiting messages, limited so that other tasks can run."""
        assert self._router is not None
        free_slots = RECEIVE_QUEUE_MESSAGES - len(self._received)
        max_count = min(RECEIVE_BATCH_MESSAGES, free_slots)
        self._batch.reset()
        for message_count in range(max_count):
            if self._batch.is_over:
                return message_count
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return message_count
            self._batch.count(MESSAGE_EVENTS + sum(map(len, frames)) // EVENT_BYTES)
            self._on_frames(self._router, frames)
        return max_count

    def _on_frames(self, router: peer_link.Socket, frames: list[bytes]) -> None:
        received = received_messages.decode(frames)
        if received.unread is not None:
            self.on_unread(received.unread)
        message = received.message
        if message is None:
            self.malformed_count += 1
            return
        if isinstance(message.body, peer_messages.Heartbeat):
            peer_link.try_send(router, (frames[0], ACKNOWLEDGEMENT))
        self._received.append(message)
        self._message_received.set()
