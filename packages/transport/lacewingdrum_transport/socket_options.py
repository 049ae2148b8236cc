"""Sets options of the sockets of TCP connections, and asks for their state."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3
# SO_LINGER with no time to linger makes the next close send a reset.
_INTEGER = struct.Struct("i")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def set_options(
    transport: asyncio.Transport, unacknowledged_limit_ms: int, unsent_max_bytes: int
) -> None:
    """Disable Nagle's algorithm, and enable detection of broken paths.

    Args:
        transport: the connection.
        unacknowledged_limit_ms: how long sent data may stay unacknowledged; 0
            leaves the kernel's default.
        unsent_max_bytes: the kernel takes no more bytes while it has so many
            that it has not sent; 0 leaves its default.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, "TCP_NODELAY", 1),
        (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, "TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, "TCP_KEEPCNT", KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", unacknowledged_limit_ms),
        (socket.IPPROTO_TCP, "TCP_NOTSENT_LOWAT", unsent_max_bytes),
    )
    for level, name, value in options:
        option = getattr(socket, name, None)
        if option is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(level, option, value)


def is_broken(transport: asyncio.Transport) -> bool:
    """Return whether a connection was reset, also if nothing is read from it.

    The kernel reports a reset only once.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return False
    with contextlib.suppress(OSError):
        return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
    return False


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many sent bytes are not acknowledged; 0 if unknown."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return 0
    with contextlib.suppress(OSError):
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _INTEGER.pack(0))
        return int(_INTEGER.unpack(found)[0])
    return 0


def reset_on_close(transport: asyncio.Transport) -> None:
    """Let the next close of a connection send a reset."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
