"""Sets options of the sockets of TCP connections."""

import asyncio
import contextlib
import socket
import struct

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3
# SO_LINGER with no time to linger makes the next close send a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def set_options(transport: asyncio.Transport, unacknowledged_limit_ms: int) -> None:
    """Disable Nagle's algorithm, and enable detection of broken paths.

    Args:
        transport: the connection.
        unacknowledged_limit_ms: how long sent data may stay unacknowledged; 0
            leaves the kernel's default.
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
    )
    for level, name, value in options:
        option = getattr(socket, name, None)
        if option is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(level, option, value)


def reset_on_close(transport: asyncio.Transport) -> None:
    """Let the next close of a connection send a reset."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
