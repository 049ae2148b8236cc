"""Picks free ports for processes that need them before they bind."""

import socket
from collections.abc import Iterator

HOST = "127.0.0.1"


class PortPicker:
    """Picks free ports and never returns a port twice."""

    def __init__(self) -> None:
        self._ports = self._generate()

    def next(self) -> int:
        """Return a port that the system just reported as free."""
        return next(self._ports)

    def _generate(self) -> Iterator[int]:
        picked: set[int] = set()
        while True:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.bind((HOST, 0))
                port = probe.getsockname()[1]
            if port not in picked and is_free(port):
                picked.add(port)
                yield port


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
