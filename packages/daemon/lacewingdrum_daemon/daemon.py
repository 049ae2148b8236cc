"""The life of a daemon: start, planned stop and close.

The order of ``start`` is the order in which parts need each other; a drain
and ``close`` go the other way.
"""

import asyncio
import logging

from lacewingdrum_daemon import components as daemon_parts, decision_log, settings
from lacewingdrum_state import units

POLL_S = 0.05
CANCEL_GRACE_S = 2.0
ORDER_GRACE_S = 30.0


class Daemon:
    """One daemon. ``request_stop`` begins a stop; a second one cuts.

    Args:
        own: the checked settings.
        logger: takes the decision lines.
    """

    def __init__(self, own: settings.Settings, logger: logging.Logger) -> None:
        self._parts = daemon_parts.Components(own, logger)
        self.stop_requested = asyncio.Event()
        self._cut_requested = asyncio.Event()

    async def start(self) -> None:
        """Start every part; callers are served once documents are known.

        Raises:
            OSError: when an address cannot be bound.
        """
        parts = self._parts
        vm = parts.own.vm
        await parts.socket.start(vm.host, vm.peer_port)
        await parts.callers_server.start(vm.host, vm.caller_port)
        await parts.operators_server.start(vm.host, vm.operator_port)
        parts.lag.start()
        parts.members.start()
        parts.peering.start()
        parts.documents.start()
        parts.loads.start()
        parts.caches.start()
        parts.placement.start()
        parts.budgets.start()
        parts.fleet.start()
        parts.decisions.record(decision_log.DecisionEvent.STARTED, None)

    def request_stop(self) -> None:
        """Begin a planned stop; asked again, end at once."""
        if self.stop_requested.is_set():
            self._cut_requested.set()
        self.stop_requested.set()

    async def drain(self) -> int:
        """Finish what is in progress, take nothing new, and close.

        Returns:
            How many requests were cut; 0 unless a second stop was asked.
        """
        parts = self._parts
        parts.gate.is_leaving = True
        parts.peering.set_leaving()
        parts.callers_server.set_leaving()
        parts.decisions.record(decision_log.DecisionEvent.LEAVING, None)
        await self._wait_cut(parts.own.limits.drain_notice_ms / units.MS_PER_S)
        parts.callers_server.stop_accepting()
        while parts.callers_server.busy_count and not self._cut_requested.is_set():
            await asyncio.sleep(POLL_S)
        cut_count = parts.callers_server.busy_count
        event = decision_log.DecisionEvent.STOPPED
        if cut_count:
            event = decision_log.DecisionEvent.CUT
        parts.decisions.record(event, None, cut_requests=cut_count)
        is_cut = self._cut_requested.is_set()
        await self.close(0.0 if is_cut else ORDER_GRACE_S)
        return cut_count

    async def close(self, grace_s: float) -> None:
        """Close every part, the last started first.

        Args:
            grace_s: how long orders and cancels may still take.
        """
        parts = self._parts
        await parts.callers_server.close()
        await parts.orders.close(grace_s)
        await parts.in_flight.close(min(grace_s, CANCEL_GRACE_S))
        await parts.fleet.close()
        await parts.budgets.close()
        await parts.placement.close()
        await parts.caches.close()
        await parts.loads.close()
        await parts.documents.close()
        await parts.peering.close()
        await parts.members.close()
        await parts.lag.close()
        await parts.operators_server.close()
        await parts.socket.close()
        await parts.table.close()
        await parts.http.close()

    async def _wait_cut(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._cut_requested.wait()
        except TimeoutError:
            return
