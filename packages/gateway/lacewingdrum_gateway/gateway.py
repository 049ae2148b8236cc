"""The lifecycle of a gateway: start, reload, planned stop and close."""

import asyncio
import logging
import math
import socket
import time

from lacewingdrum_gateway import components as gateway_components, settings
from lacewingdrum_runtime import decision_log, settings_reload, tasks
from lacewingdrum_state import addresses, ids
from lacewingdrum_transport import connector

_log = logging.getLogger(__name__)

# New callers arrive until two readiness checks have failed.
DRAIN_MIN_S = 2.6
DRAIN_POLL_S = 0.05
# Open requests are interrupted this long before the grace period ends.
ABORT_BEFORE_KILL_S = 0.5
# The rest of a stop, after memory has been given back, needs this long.
CLOSE_MARGIN_S = 0.1
SUSPENSION_CHECK_S = 0.1
# Only a suspension moves the two monotonic clocks apart by this much at once.
SUSPENSION_MIN_S = 0.3


class Gateway:
    """One daemon on the platform. ``request_stop`` requests a planned stop.

    Args:
        own_settings: the validated settings.
        settings_path: the file that ``request_reload`` reads again.
        logger: receives the decision log.
        connect_to_runners: opens connections to runners.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        settings_path: str,
        logger: logging.Logger,
        connect_to_runners: connector.Connect = connector.connect,
    ) -> None:
        self.components = gateway_components.Components(
            own_settings, logger, connect_to_runners
        )
        self._settings_path = settings_path
        self._tasks = tasks.TaskSet()
        self.stop_requested = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts new connections."""
        return self.components.is_ready

    @property
    def _is_busy(self) -> bool:
        servers = (self.components.callers_server, self.components.relay_server)
        return any(server.busy_count for server in servers)

    @property
    def known_work_count(self) -> int:
        """The number of attempts in progress at engines.

        It includes this daemon's own attempts and those that peers reported.
        """
        return self.components.engine_work.work_count

    @property
    def peer_address(self) -> ids.VmId:
        """The address that identifies this daemon to its peers."""
        return self.components.peers.own_address

    @property
    def peer_count(self) -> int:
        """The number of other daemons that are heard."""
        return len(self.components.peers.table.live)

    @property
    def configuration_version(self) -> int:
        """The version in force, or 0 if there is none."""
        return self.components.configurations.version

    async def start(self, listener: socket.socket | None = None) -> None:
        """Start every component.

        The daemon becomes ready once it knows the configuration, the runners
        and the work of its peers.

        Args:
            listener: a socket that already listens on the callers' address.

        Raises:
            OSError: if an address cannot be bound.
        """
        components = self.components
        vm = components.own_settings.vm
        seeds = tuple(
            ids.VmId(f"{address.host}:{vm.peer_port}")
            for seed in vm.seeds
            if (address := addresses.parse_address(seed)) is not None
        )
        components.lag.start()
        components.work_sync.start()
        components.evacuation_sync.start()
        components.configurations.start()
        components.runner_list.start()
        components.notices.start()
        components.limit_sync.start()
        components.cold_sync.start()
        components.crash_watch.start()
        components.crash_sync.start()
        await components.peers.start(vm.host, vm.peer_port, seeds)
        components.daemon_registry.start()
        components.probe.start()
        await components.callers_server.start(
            vm.caller_address.host, vm.caller_address.port, listener
        )
        await components.relay_server.start(vm.host, vm.bound_relay_port)
        await components.ready_server.start(
            vm.ready_address.host, vm.ready_address.port
        )
        await self._start_metrics()
        self._tasks.spawn_loop(self._watch_suspension)
        components.decisions.record(
            decision_log.DecisionEvent.STARTED,
            None,
            vm_id=vm.vm_id,
            caller_address=str(vm.caller_address),
            seeds=list(seeds),
        )

    async def _start_metrics(self) -> None:
        vm = self.components.own_settings.vm
        if not vm.metrics_port:
            return
        try:
            await self.components.metrics_server.start(vm.host, vm.metrics_port)
        except OSError as error:
            # Requests are served without metrics too.
            _log.warning("metrics are not served: %s", error)

    def request_stop(self) -> None:
        """Request a planned stop."""
        self.stop_requested.set()

    def request_reload(self) -> None:
        """Read the settings again and log whether they changed.

        Changes take effect only after a restart.
        """
        settings_reload.record_reload(
            settings.load,
            self._settings_path,
            self.components.own_settings,
            self.components.decisions,
        )

    async def drain(self) -> int:
        """Finish requests in progress, then close.

        New requests are served as long as they can end in time and refused
        after that. Requests still open at the end of the grace period are
        interrupted: their callers are told whether they may have run, and
        streams that have begun are broken off.

        Returns:
            The number of interrupted requests.
        """
        components = self.components
        stop_s = components.clock()
        components.is_leaving = True
        components.callers_server.set_leaving()
        components.relay_server.set_leaving()
        components.peers.set_leaving()
        components.daemon_registry.set_leaving()
        self._record_stop(decision_log.DecisionEvent.LEAVING, 0)
        abort_s = (
            stop_s + components.own_settings.bounds.stop_grace_s - ABORT_BEFORE_KILL_S
        )
        components.request_handler.set_leaving(abort_s)
        aborted_count = 0
        while components.clock() < abort_s:
            await asyncio.sleep(DRAIN_POLL_S)
            aborted_count += components.request_handler.end_unbegun_streams()
            may_finish = components.clock() - stop_s >= DRAIN_MIN_S
            if may_finish and not self._is_busy:
                # Requests may still arrive meanwhile.
                await components.callers_server.stop_accepting()
                await components.relay_server.stop_accepting()
                if not self._is_busy:
                    break
        aborted_count += sum(
            await asyncio.gather(
                components.callers_server.close(), components.relay_server.close()
            )
        )
        self._record_stop(decision_log.DecisionEvent.STOPPED, aborted_count)
        close_s = abort_s + ABORT_BEFORE_KILL_S - CLOSE_MARGIN_S
        await self.close(close_s - components.clock())
        return aborted_count

    async def close(self, release_s: float = math.inf) -> None:
        """Close every component at once.

        Args:
            release_s: how long the release of memory may take.
        """
        components = self.components
        await self._tasks.close()
        await components.lag.close()
        await components.callers_server.close()
        await components.relay_server.close()
        await components.ready_server.close()
        await components.metrics_server.close()
        await components.probe.close()
        await components.reach.close()
        await components.runner_list.close()
        await components.cold_sync.close()
        await components.configurations.close()
        await components.evacuation_sync.close()
        await components.memory.close(release_s)
        await components.work_sync.close()
        await components.crash_sync.close()
        await components.daemon_registry.close()
        await components.peers.close()
        await components.runner_client.close()
        await components.peer_client.close()
        await components.store.close()

    def _record_stop(
        self, event: decision_log.DecisionEvent, aborted_count: int
    ) -> None:
        server = self.components.callers_server
        self.components.decisions.record(
            event,
            None,
            in_progress=server.busy_count,
            connections=server.connection_count,
            cut=aborted_count,
        )

    async def _watch_suspension(self) -> None:
        """Detect suspensions of the VM and end requests that are overdue."""
        offset_s = self.components.clock() - time.monotonic()
        while True:
            await asyncio.sleep(SUSPENSION_CHECK_S)
            now_offset_s = self.components.clock() - time.monotonic()
            jump_s = now_offset_s - offset_s
            offset_s = now_offset_s
            if jump_s < SUSPENSION_MIN_S:
                continue
            self.components.decisions.record(
                decision_log.DecisionEvent.SUSPENDED,
                None,
                suspended_s=jump_s,
                overdue=self.components.request_handler.end_overdue(),
            )
