"""Starts, drains and closes a daemon.

``start`` follows the dependencies between the components; a drain and
``close`` go in the opposite direction.
"""

import asyncio
import logging

from lacewingdrum_daemon import components as daemon_components, settings
from lacewingdrum_runtime import decision_log, settings_reload
from lacewingdrum_state import units

DRAIN_POLL_INTERVAL_S = 0.05
CANCEL_GRACE_S = 2.0
ORDER_GRACE_S = 30.0


class Daemon:
    """One daemon; ``request_stop`` starts a drain, a second call aborts it.

    Args:
        own_settings: the validated settings.
        logger: receives the decision lines.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        settings_path: str,
        logger: logging.Logger,
    ) -> None:
        self._components = daemon_components.Components(own_settings, logger)
        self._settings_path = settings_path
        self.stop_requested = asyncio.Event()
        self._abort_requested = asyncio.Event()

    async def start(self) -> None:
        """Start every component; callers are served once documents are known.

        Raises:
            OSError: if an address cannot be bound.
        """
        components = self._components
        vm = components.own_settings.vm
        await components.socket.start(vm.host, vm.peer_port)
        await components.callers_server.start(vm.host, vm.caller_port)
        await components.operators_server.start(vm.host, vm.operator_port)
        components.lag.start()
        components.members.start()
        components.peering.start()
        components.documents.start()
        components.loads.start()
        components.caches.start()
        components.placement.start()
        components.budget_sync.start()
        components.fleet.start()
        components.decisions.record(decision_log.DecisionEvent.STARTED, None)

    def request_stop(self) -> None:
        """Start a planned stop; a second call aborts open requests."""
        if self.stop_requested.is_set():
            self._abort_requested.set()
        self.stop_requested.set()

    def request_reload(self) -> None:
        """Read the settings again and log whether they changed."""
        settings_reload.record_reload(
            settings.load,
            self._settings_path,
            self._components.own_settings,
            self._components.decisions,
        )

    async def drain(self) -> int:
        """Refuse new requests, finish those in progress, and close.

        Returns:
            How many requests were aborted; 0 unless ``request_stop`` was
            called twice.
        """
        components = self._components
        components.readiness.is_leaving = True
        components.peering.set_leaving()
        components.callers_server.set_leaving()
        components.decisions.record(decision_log.DecisionEvent.LEAVING, None)
        await self._wait_for_abort(
            components.own_settings.limits.drain_notice_ms / units.MS_PER_S
        )
        await components.callers_server.stop_accepting()
        while (
            components.callers_server.busy_count and not self._abort_requested.is_set()
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        aborted_count = components.callers_server.busy_count
        event = decision_log.DecisionEvent.STOPPED
        if aborted_count:
            event = decision_log.DecisionEvent.CUT
        components.decisions.record(event, None, cut_requests=aborted_count)
        is_aborted = self._abort_requested.is_set()
        await self.close(0.0 if is_aborted else ORDER_GRACE_S)
        return aborted_count

    async def close(self, grace_s: float) -> None:
        """Close every component.

        The server for callers is closed first, then orders and cancels in
        progress are waited for, and then the other components are closed in
        the reverse order of their start.

        Args:
            grace_s: how long to wait for orders and cancels in progress.
        """
        components = self._components
        await components.callers_server.close()
        await components.orders.close(grace_s)
        await components.in_flight.close(min(grace_s, CANCEL_GRACE_S))
        await components.fleet.close()
        await components.budget_sync.close()
        await components.placement.close()
        await components.caches.close()
        await components.loads.close()
        await components.documents.close()
        await components.peering.close()
        await components.members.close()
        await components.lag.close()
        await components.operators_server.close()
        await components.socket.close()
        await components.table.close()
        await components.http.close()

    async def _wait_for_abort(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._abort_requested.wait()
        except TimeoutError:
            return
