"""Cuts the paths of one daemon to all runners, in three ways."""

import asyncio
import enum
from collections.abc import Callable

from lacewingdrum_state import fleet
from lacewingdrum_transport import connector
from standins import fault_proxy

HOST = "127.0.0.1"


class Cut(enum.Enum):
    """What becomes of open connections, and of new ones.

    ``HANGING``: nothing passes and new ones hang. ``RESET``: open ones are
    reset and new ones refused. ``NEW_REFUSED``: open ones live on.
    """

    HANGING = "hanging"
    RESET = "reset"
    NEW_REFUSED = "new_refused"


class RunnerPaths:
    """Connects one daemon to runners through proxies that can be cut."""

    def __init__(self) -> None:
        self._proxies: dict[fleet.Address, fault_proxy.FaultProxy] = {}
        self._cut: Cut | None = None

    def cut(self, cut: Cut) -> None:
        """Cut all paths until ``heal``."""
        self._cut = cut
        for proxy in self._proxies.values():
            match cut:
                case Cut.HANGING:
                    proxy.silence(fault_proxy.PathFault.SILENT)
                case Cut.RESET:
                    proxy.reset()
                case Cut.NEW_REFUSED:
                    pass

    def heal(self) -> None:
        """End the cut; connections that were silenced stay silent."""
        self._cut = None
        for proxy in self._proxies.values():
            proxy.path_fault = fault_proxy.PathFault.NONE

    async def close(self) -> None:
        """Close all proxies."""
        for proxy in self._proxies.values():
            await proxy.close()

    async def connect(
        self, new_protocol: Callable[[], asyncio.Protocol], address: fleet.Address
    ) -> asyncio.Protocol:
        """Connect as ``connector.connect`` does, unless the paths are cut."""
        match self._cut:
            case Cut.HANGING:
                await asyncio.Event().wait()
            case Cut.RESET | Cut.NEW_REFUSED:
                raise ConnectionRefusedError(f"{address} is cut off")
        proxy = self._proxies.get(address)
        if proxy is None:
            proxy = fault_proxy.FaultProxy(address.port)
            self._proxies[address] = proxy
            await proxy.start()
        while not proxy.port:
            await asyncio.sleep(0)
        return await connector.connect(new_protocol, fleet.Address(HOST, proxy.port))
