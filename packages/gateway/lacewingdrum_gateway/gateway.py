"""The life of a gateway: start, reload, planned stop and close."""

import asyncio
import logging
import time

from lacewingdrum_daemon import decision_log, tasks
from lacewingdrum_gateway import parts as gateway_parts, settings
from lacewingdrum_protocol import toml_rules
from lacewingdrum_state import ids

_log = logging.getLogger(__name__)

# Callers are still sent here until readiness was missed twice.
NOTICE_S = 2.6
QUIET_POLL_S = 0.05
# Left of the grace when what is still open is cut.
CUT_BEFORE_KILL_S = 0.5
WATCH_S = 0.1
# A jump between the two steady clocks that only a suspension makes.
SUSPENSION_S = 0.3


class Gateway:
    """One daemon on the platform. ``request_stop`` begins a stop.

    Args:
        own: the checked settings.
        settings_path: read again on ``request_reload``.
        logger: takes the decision lines.
    """

    def __init__(
        self, own: settings.Settings, settings_path: str, logger: logging.Logger
    ) -> None:
        self._parts = gateway_parts.Parts(own, logger)
        self._settings_path = settings_path
        self._tasks = tasks.TaskSet()
        self.stop_requested = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether new connections may be sent here."""
        return self._parts.is_ready

    @property
    def known_work_count(self) -> int:
        """Requests at work on engines, as far as daemons have told."""
        return self._parts.book.work_count

    @property
    def configuration_version(self) -> int:
        """The version in force; 0 for none."""
        return self._parts.configurations.version

    async def start(self) -> None:
        """Start every part; readiness follows once enough is known.

        Raises:
            OSError: when an address cannot be bound.
        """
        parts = self._parts
        vm = parts.own.vm
        seeds = tuple(
            ids.VmId(f"{address.host}:{vm.peer_port}")
            for seed in vm.seeds
            if (address := toml_rules.parse_address(seed)) is not None
        )
        parts.share.start()
        parts.configurations.start()
        parts.runners.start()
        await parts.peers.start(vm.host, vm.peer_port, seeds)
        parts.probe.start()
        await parts.callers_server.start(vm.caller_address.host, vm.caller_address.port)
        await parts.ready_server.start(vm.ready_address.host, vm.ready_address.port)
        await self._start_metrics()
        self._tasks.spawn_for_ever(self._watch_suspension)
        parts.decisions.record(
            decision_log.DecisionEvent.STARTED,
            None,
            vm_id=vm.vm_id,
            caller_address=str(vm.caller_address),
            seeds=list(seeds),
        )

    async def _start_metrics(self) -> None:
        vm = self._parts.own.vm
        if not vm.metrics_port:
            return
        try:
            await self._parts.metrics_server.start(vm.host, vm.metrics_port)
        except OSError as error:
            # Callers are served without metrics too.
            _log.warning("metrics are not served: %s", error)

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self.stop_requested.set()

    def request_reload(self) -> None:
        """Read the settings again; what needs a restart is only said."""
        found, errors = settings.load(self._settings_path)
        same = found == self._parts.own
        self._parts.decisions.record(
            decision_log.DecisionEvent.RELOADED,
            None,
            changed=not same,
            errors=[str(error) for error in errors],
        )

    async def drain(self) -> int:
        """Finish what is in progress and what still comes, and close.

        Returns:
            How many requests were cut.
        """
        parts = self._parts
        stop_s = parts.clock()
        parts.is_leaving = True
        parts.callers_server.set_leaving()
        parts.peers.set_leaving()
        self._record_stop(decision_log.DecisionEvent.LEAVING, 0)
        last_s = stop_s + parts.own.bounds.stop_grace_s - CUT_BEFORE_KILL_S
        parts.entry.set_leaving(last_s)
        while parts.clock() < last_s:
            await asyncio.sleep(QUIET_POLL_S)
            is_noticed = parts.clock() - stop_s >= NOTICE_S
            if is_noticed and not parts.callers_server.busy_count:
                break
        cut_count = await parts.callers_server.close()
        self._record_stop(decision_log.DecisionEvent.STOPPED, cut_count)
        await self.close()
        return cut_count

    async def close(self) -> None:
        """End every part at once."""
        parts = self._parts
        await self._tasks.close()
        await parts.callers_server.close()
        await parts.ready_server.close()
        await parts.metrics_server.close()
        await parts.probe.close()
        await parts.runners.close()
        await parts.configurations.close()
        await parts.memory.close()
        await parts.share.close()
        await parts.peers.close()
        await parts.runner_client.close()
        await parts.store.close()

    def _record_stop(self, event: decision_log.DecisionEvent, cut_count: int) -> None:
        server = self._parts.callers_server
        self._parts.decisions.record(
            event,
            None,
            in_progress=server.busy_count,
            connections=server.connection_count,
            cut=cut_count,
        )

    async def _watch_suspension(self) -> None:
        """Notice time that passed while the VM was suspended."""
        offset_s = self._parts.clock() - time.monotonic()
        while True:
            await asyncio.sleep(WATCH_S)
            now_offset_s = self._parts.clock() - time.monotonic()
            jump_s = now_offset_s - offset_s
            offset_s = now_offset_s
            if jump_s < SUSPENSION_S:
                continue
            self._parts.decisions.record(
                decision_log.DecisionEvent.SUSPENDED,
                None,
                suspended_s=jump_s,
                overdue=self._parts.entry.end_overdue(),
            )
