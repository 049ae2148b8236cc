"""Accepts connections at an address, until it is stopped."""

import asyncio
import socket
from collections.abc import Callable

ACCEPT_BACKLOG = 1024
# Turns of the event loop from an accepted socket to its connection.
ACCEPT_TURNS = 4


class ConnectionAcceptor:
    """Listens at one address.

    Args:
        new_protocol: makes the protocol of each connection.
    """

    def __init__(self, new_protocol: Callable[[], asyncio.Protocol]) -> None:
        self._new_protocol = new_protocol
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int, listener: socket.socket | None) -> int:
        """Bind the address and accept connections.

        Args:
            host: the IP address to bind.
            port: the port; with 0 the system chooses one.
            listener: a socket that already listens there, to be used instead.

        Returns:
            The bound port.

        Raises:
            OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        if listener is None:
            self._server = await loop.create_server(
                self._new_protocol, host, port, backlog=ACCEPT_BACKLOG
            )
        else:
            self._server = await loop.create_server(
                self._new_protocol, sock=listener, backlog=ACCEPT_BACKLOG
            )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    async def stop(self) -> None:
        """Accept no more; those being accepted get their connections first."""
        if self._server is None or not self._server.sockets:
            return
        loop = asyncio.get_running_loop()
        for listener in self._server.sockets:
            loop.remove_reader(listener.fileno())
        # asyncio drops connections that a closed server is just accepting.
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.close()
