"""A TCP connection with timeouts and bounded buffers in both directions.

It replaces asyncio's streams: each read takes a timeout, the end of the
remote side's stream is noticed even while no task reads, and the read and
write buffers are bounded.
"""

import asyncio
import contextlib
import enum
from collections.abc import Callable

from lacewingdrum_transport import socket_options, unwritten_parts

READ_BUFFER_BYTES = 256 * 1024
READ_PART_BYTES = 16 * 1024
WRITE_BUFFER_BYTES = 64 * 1024
UNSENT_MAX_BYTES = 128 * 1024
UNACKNOWLEDGED_LIMIT_MS = 5_000
ACKNOWLEDGED_POLL_S = 0.01


class ChannelEnd(enum.Enum):
    """How the stream of bytes from the remote side ended.

    ``REMOTE_CLOSED`` means that the remote side itself ended its stream, and
    ``RESET`` that the connection was reset or its path broke.
    """

    OPEN = "open"
    REMOTE_CLOSED = "remote_closed"
    RESET = "reset"
    CLOSED_HERE = "closed_here"


class ByteChannel(asyncio.Protocol):
    """Reads and writes the bytes of one TCP connection.

    ``input_ended`` is set when the remote side has ended its stream or the
    connection is lost. The remote side may still read in the first case.
    ``end`` says how the remote side's stream ended. ``on_part_taken`` is
    called when the remote side has taken a part of a long write and more is
    left.

    Args:
        on_connected: called with the channel once it is connected.
        unacknowledged_limit_ms: how long sent data may stay unacknowledged
            before the kernel closes the connection; 0 leaves the kernel's
            default. The limit also closes connections whose remote side
            does not read for that long, so set it only if the remote side
            is expected to read.
        unsent_max_bytes: how many bytes the kernel may take that it cannot
            send yet, so that ``on_part_taken`` tells how fast the remote side
            reads; 0 leaves the kernel's default, some MB.
    """

    def __init__(
        self,
        on_connected: Callable[["ByteChannel"], None] | None = None,
        unacknowledged_limit_ms: int = 0,
        unsent_max_bytes: int = 0,
    ) -> None:
        self.input_ended = asyncio.Event()
        self._input_ended_s = 0.0
        self.end = ChannelEnd.OPEN
        self.on_part_taken: Callable[[], None] | None = None
        self.remote_address = ""
        self._on_connected = on_connected
        self._on_input: Callable[[], None] | None = None
        self._unacknowledged_limit_ms = unacknowledged_limit_ms
        self._unsent_max_bytes = unsent_max_bytes
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._reading_paused = False
        self._writing_paused = False
        self._is_lost = False
        self._read_waiter: asyncio.Future[bool] | None = None
        self._drain_waiters: set[asyncio.Future[bool]] = set()
        self._unwritten = unwritten_parts.UnwrittenParts()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.remote_address = _format_remote_address(transport)
        socket_options.set_options(
            transport, self._unacknowledged_limit_ms, self._unsent_max_bytes
        )
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and pause reading when the buffer is full."""
        self._received += data
        if len(self._received) >= READ_BUFFER_BYTES and not self._reading_paused:
            assert self._transport is not None
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Mark the read side as closed, and keep the write side open."""
        self.end = ChannelEnd.REMOTE_CLOSED
        self._close_reading()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as lost and wake all waiters."""
        self._is_lost = True
        self._unwritten.clear()
        if exc is not None:
            self.end = ChannelEnd.RESET
        elif self.end is ChannelEnd.OPEN:
            self.end = ChannelEnd.CLOSED_HERE
        self._close_reading()
        self._wake_drain_waiters(False)

    def pause_writing(self) -> None:
        """Make ``drain`` wait until ``resume_writing`` is called."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Write what waits, then wake the tasks that wait in ``drain``."""
        self._writing_paused = False
        if self._unwritten.size_bytes and self.on_part_taken is not None:
            self.on_part_taken()
        self._write_parts()
        if not self._writing_paused:
            self._wake_drain_waiters(True)

    # Called by the channel's user.

    @property
    def read_closed(self) -> bool:
        """Whether the remote side ended its stream or the connection was lost.

        Bytes received before may still be unread.
        """
        return self.input_ended.is_set()

    @property
    def is_lost(self) -> bool:
        """Whether bytes that are written now are not sent any more."""
        transport = self._transport
        return self._is_lost or transport is None or transport.is_closing()

    @property
    def since_input_ended_s(self) -> float:
        """The time since ``input_ended`` was set; 0 if it is not."""
        if not self.input_ended.is_set():
            return 0.0
        return self._loop.time() - self._input_ended_s

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._received)

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes not yet accepted by the kernel."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size() + self._unwritten.size_bytes

    async def read(self, timeout_s: float) -> bytes | None:
        """Return the received bytes, and wait for some if there are none.

        Args:
            timeout_s: how long to wait if no bytes are buffered.

        Returns:
            At most ``READ_PART_BYTES`` of the buffered bytes; ``b""`` at the
            end of the stream; ``None`` after a timeout.
        """
        if (
            not self._received
            and not self.read_closed
            and not await self._wait_readable(timeout_s)
        ):
            return None
        return self._take_received()

    def set_input_handler(self, handler: Callable[[], None] | None) -> None:
        """Set what is called once, when bytes or the end of the stream arrive.

        Args:
            handler: the function; None for none.
        """
        self._on_input = handler

    def write(self, data: bytes) -> bool:
        """Write bytes, or keep them until the write buffer has room.

        Args:
            data: the bytes to send; they are not copied while they are kept.

        Returns:
            False if the connection was lost, so that none of the bytes were
            sent.
        """
        if self.is_lost:
            return False
        self._unwritten.add(data)
        self._write_parts()
        return True

    def write_message(self, head: bytes, body: bytes) -> bool:
        """Write a head and a body; a long body is not copied.

        Args:
            head: the bytes to send first.
            body: the bytes to send after them.

        Returns:
            As for ``write``.
        """
        if len(head) + len(body) <= unwritten_parts.PART_BYTES:
            return self.write(head + body)
        if not self.write(head):
            return False
        self.write(body)
        return True

    async def drain(self, timeout_s: float) -> bool:
        """Wait until the write buffer has free capacity.

        Args:
            timeout_s: how long to wait.

        Returns:
            False if the connection was lost or the timeout expired.
        """
        if self._is_lost:
            return False
        if not self._writing_paused:
            return True
        waiter = self._loop.create_future()
        self._drain_waiters.add(waiter)
        timer = self._loop.call_later(timeout_s, _resolve, waiter, False)
        try:
            return await waiter
        finally:
            timer.cancel()
            self._drain_waiters.discard(waiter)

    async def flush(self, timeout_s: float) -> bool:
        """Wait until the kernel has accepted all written bytes.

        Args:
            timeout_s: how long to wait without any progress.

        Returns:
            False if the connection was lost or the timeout expired.
        """
        assert self._transport is not None
        while not self._is_lost and (unsent_bytes := self.unsent_bytes):
            self._transport.set_write_buffer_limits(high=0)
            is_flushed = await self.drain(timeout_s)
            if not is_flushed and self.unsent_bytes >= unsent_bytes:
                return False
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        return not self._is_lost

    async def confirm_received(self, timeout_s: float) -> bool:
        """Wait until the remote side's kernel has received all written bytes.

        After the end of the remote side's stream this tells a remote side that
        still reads from one that answers further bytes with a reset.

        Args:
            timeout_s: how long to wait.

        Returns:
            False if the connection was lost or the timeout expired.
        """
        deadline_s = self._loop.time() + timeout_s
        while not self.is_lost:
            assert self._transport is not None
            if socket_options.is_broken(self._transport):
                self.abort()
                break
            unacknowledged_bytes = socket_options.unacknowledged_bytes(self._transport)
            if not self.unsent_bytes and not unacknowledged_bytes:
                return True
            if self._loop.time() >= deadline_s:
                break
            await asyncio.sleep(ACKNOWLEDGED_POLL_S)
        return False

    def write_eof(self) -> None:
        """Close the write side of the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        self._write_all()
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection after all written bytes have been sent."""
        if self._transport is not None:
            self._write_all()
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately and drop unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Close the connection immediately, and show it as broken.

        After ``abort`` the remote side may see an orderly end of the stream.
        """
        if self._transport is None or self._transport.is_closing():
            return
        socket_options.reset_on_close(self._transport)
        self._transport.abort()

    def _write_parts(self) -> None:
        while self._unwritten.size_bytes and not self._writing_paused:
            if self.is_lost:
                break
            self._write_part()

    def _write_all(self) -> None:
        while self._unwritten.size_bytes and not self.is_lost:
            self._write_part()

    def _write_part(self) -> None:
        assert self._transport is not None
        self._transport.write(self._unwritten.take())

    def _take_received(self) -> bytes:
        part = bytes(self._received[:READ_PART_BYTES])
        del self._received[:READ_PART_BYTES]
        has_room = len(self._received) < READ_BUFFER_BYTES // 2
        if self._reading_paused and has_room and not self._is_lost:
            assert self._transport is not None
            self._reading_paused = False
            self._transport.resume_reading()
        return part

    async def _wait_readable(self, timeout_s: float) -> bool:
        if self._read_waiter is not None:
            raise RuntimeError("another task is already reading from this connection")
        waiter = self._loop.create_future()
        self._read_waiter = waiter
        timer = self._loop.call_later(timeout_s, _resolve, waiter, False)
        try:
            return await waiter
        finally:
            timer.cancel()
            self._read_waiter = None

    def _wake_reader(self) -> None:
        if self._on_input is not None:
            handler, self._on_input = self._on_input, None
            handler()
        if self._read_waiter is not None:
            _resolve(self._read_waiter, True)

    def _wake_drain_waiters(self, drained: bool) -> None:
        for waiter in self._drain_waiters:
            _resolve(waiter, drained)

    def _close_reading(self) -> None:
        if not self.input_ended.is_set():
            self._input_ended_s = self._loop.time()
            self.input_ended.set()
        self._wake_reader()


def _resolve(waiter: asyncio.Future[bool], value: bool) -> None:
    if not waiter.done():
        waiter.set_result(value)


def _format_remote_address(transport: asyncio.Transport) -> str:
    name = transport.get_extra_info("peername")
    return f"{name[0]}:{name[1]}" if name else ""
