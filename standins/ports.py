"""Picks free ports for processes that need them before they bind."""

import socket
import weakref

HOST = "127.0.0.1"


class PortPicker:
    """Picks free ports, and holds them until it is closed.

    Others are kept from a port of all addresses. A server of this test that
    sets ``SO_REUSEADDR``, as asyncio and ZeroMQ do, can listen on it, also
    once more after it was closed; until then connections are refused.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []
        self._finalizer = weakref.finalize(self, _close_all, self._held)

    def next(self) -> int:
        """Return a port that no address of this machine uses."""
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._held.append(held)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("", 0))
        port: int = held.getsockname()[1]
        return port

    def close(self) -> None:
        """Give the ports back."""
        self._finalizer()


def _close_all(held: list[socket.socket]) -> None:
    while held:
        held.pop().close()


def hold(port: int) -> socket.socket:
    """Keep a port from others; connections to it are refused.

    Returns:
        A socket to close before the port is used again.
    """
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((HOST, port))
    return held


def is_free(port: int) -> bool:
    """Return whether no address of this machine uses a port.

    Processes of other tests may use it at another loopback address.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind(("", port))
        except OSError:
            return False
    return True
