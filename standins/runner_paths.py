"""Cuts the paths of one daemon to all runners, in three ways."""

import asyncio
import enum
import weakref
from collections.abc import Callable

from lacewingdrum_state import fleet


class Cut(enum.Enum):
    """What becomes of open connections, and of new ones.

    ``HANGING``: nothing passes and new ones hang. ``RESET``: open ones are
    reset and new ones refused. ``NEW_REFUSED``: open ones live on.
    """

    HANGING = "hanging"
    RESET = "reset"
    NEW_REFUSED = "new_refused"


class RunnerPaths:
    """Connects one daemon to runners, on paths that can be cut."""

    def __init__(self) -> None:
        self.current: Cut | None = None
        self._transports: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()

    def cut(self, cut: Cut) -> None:
        """Cut all paths until ``heal``."""
        self.current = cut
        for transport in tuple(self._transports):
            match cut:
                case Cut.HANGING:
                    _silence(transport)
                case Cut.RESET:
                    _reset(transport)
                case Cut.NEW_REFUSED:
                    pass

    def heal(self) -> None:
        """End the cut; connections that hang do so for good."""
        self.current = None

    async def connect(
        self, new_protocol: Callable[[], asyncio.Protocol], address: fleet.Address
    ) -> asyncio.Protocol:
        """Connect as ``connector.connect`` does, unless the paths are cut."""
        match self.current:
            case Cut.HANGING:
                await asyncio.Event().wait()
            case Cut.RESET | Cut.NEW_REFUSED:
                raise ConnectionRefusedError(f"{address} is cut off")
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.create_connection(
            new_protocol, address.host, address.port
        )
        self._transports.add(transport)
        if self.current is Cut.HANGING:
            _silence(transport)
        return protocol


def _silence(transport: asyncio.Transport) -> None:
    """Let nothing pass on a connection any more, in either direction."""
    if not transport.is_closing():
        transport.pause_reading()
        transport.write = lambda data: None  # type: ignore[method-assign]


def _reset(transport: asyncio.Transport) -> None:
    """End a connection as one that the remote side has reset."""
    if not transport.is_closing():
        transport._force_close(ConnectionResetError("cut off"))  # type: ignore
