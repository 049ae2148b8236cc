"""The components that learn and share facts about runners and daemons."""

import logging
import random
import secrets
import time

from lacewingdrum_coordination import (
    cold_limits,
    engine_work_registry,
    report_reach,
    runner_health,
    runner_roster,
    store_deadlines,
)
from lacewingdrum_gateway import (
    configuration_sync,
    evacuation_sync,
    settings,
    store_client,
)
from lacewingdrum_gateway.crashes import crash_sync, crash_watch
from lacewingdrum_gateway.peers import daemon_registry, peer_table, peering
from lacewingdrum_gateway.runners import (
    cold_sync,
    limit_sync,
    reach_monitor,
    runner_list_sync,
    runner_notices,
    runner_probe,
    work_sync,
)
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids, units
from lacewingdrum_transport import connector, http_client

RUNNER_CONNECT_TIMEOUT_S = 0.5
RUNNER_UNACKNOWLEDGED_MAX_MS = 1_200
COMMAND_ANSWER_MAX_BYTES = 256 * 1024
# Idle connections to runners are reused for at most this time, because a
# runner may close them sooner than it states.
RUNNER_IDLE_S = 4.0
EXPLAIN_LINES = 2_000


def boot_time_s() -> float:
    """Return a monotonic time that includes suspensions of the VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _listening_addresses(vm: settings.VmSettings) -> runner_roster.DaemonAddresses:
    listening = (vm.caller_address, vm.ready_address)
    ports = (vm.peer_port, vm.bound_relay_port, vm.metrics_port)
    return runner_roster.DaemonAddresses(
        frozenset(address.host for address in listening),
        frozenset((*ports, *(address.port for address in listening))),
    )


class FleetComponents:
    """What knows the store, the other daemons, the runners and their health.

    Args:
        own_settings: the validated settings.
        logger: receives the decision log.
        connect_to_runners: opens connections to runners.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        logger: logging.Logger,
        connect_to_runners: connector.Connect,
    ) -> None:
        self.own_settings = own_settings
        clock = boot_time_s
        self.clock = clock
        self.rng = rng = random.Random(secrets.randbits(64))
        vm = own_settings.vm
        self.counts = metrics.Metrics()
        self.decisions = decision_log.DecisionLog(logger, clock, EXPLAIN_LINES)
        bounds = own_settings.bounds
        # The same calls bring configurations and evacuations.
        deadlines = store_deadlines.StoreDeadlines(
            min(bounds.configuration_max_ms, bounds.evacuation_max_ms) / units.MS_PER_S
        )
        self.store = store_client.StoreClient(
            own_settings.store.address, deadlines, clock, self.decisions, self.counts
        )
        self.peer_table = table = peer_table.PeerTable(
            ids.VmId(f"{vm.host}:{vm.peer_port}"), vm.data_centre
        )
        incarnation = time.time_ns() // units.NS_PER_MS
        self.peers = peering.Peering(
            table, vm.data_centre, incarnation, clock, self.decisions, self.counts
        )
        self.daemon_registry = daemon_registry.DaemonRegistry(
            self.store, self.peers, incarnation, rng, clock, self.counts
        )
        self.roster = runner_roster.RunnerRoster()
        self.health = runner_health.RunnerHealth()
        self.configurations = configuration_sync.ConfigurationSync(
            self.store,
            self.peers,
            deadlines,
            rng,
            clock,
            self.decisions,
            self.counts,
        )
        self.cold_sync = cold_sync.ColdSync(
            self.roster,
            self.peers,
            vm.data_centre,
            cold_limits.Overage(
                own_settings.bounds.cold_overage, own_settings.bounds.cold_slack
            ),
            clock,
            self.decisions,
            self.counts,
        )
        self.evacuation_sync = evacuation_sync.EvacuationSync(
            self.configurations,
            self.peers,
            own_settings.bounds.evacuation_max_ms / units.MS_PER_S,
            rng,
            clock,
            self.decisions,
            self.counts,
        )
        self.runner_list = runner_list_sync.RunnerListSync(
            self.roster,
            self.health,
            self.cold_sync,
            self.store,
            self.peers,
            _listening_addresses(vm),
            rng,
            clock,
            self.decisions,
            self.counts,
        )
        self.runner_client = http_client.HttpClient(
            http_client.ClientLimits(
                idle_s=RUNNER_IDLE_S,
                connect_timeout_s=RUNNER_CONNECT_TIMEOUT_S,
                unacknowledged_limit_ms=RUNNER_UNACKNOWLEDGED_MAX_MS,
                body_bytes=COMMAND_ANSWER_MAX_BYTES,
            ),
            clock,
            connect_to_runners,
        )
        self.reach = reach_monitor.ReachMonitor(
            self.roster,
            self.health,
            self.runner_client,
            connect_to_runners,
            clock,
            rng,
            self.decisions,
            self.counts,
        )
        self.probe = runner_probe.RunnerProbe(
            self.roster,
            self.health,
            clock,
            self.decisions,
            connect_to_runners,
            lambda: self.reach.is_cut_off,
            self.cold_sync.limits,
        )
        self.engine_work = engine_work_registry.EngineWorkRegistry()
        self.work_ids = engine_work_registry.WorkIds(
            self.peers.own_address, incarnation
        )
        self.work_sync = work_sync.WorkSync(
            self.engine_work,
            self.health,
            report_reach.ReportReach(self.evacuation_sync.register),
            self.peers,
            clock,
            self.decisions,
            self.counts,
        )
        self.limit_sync = limit_sync.LimitSync(
            self.roster, self.peers, clock, rng, self.decisions, self.counts
        )
        self.notices = runner_notices.RunnerNotices(
            self.roster,
            self.health,
            self.work_sync,
            self.limit_sync,
            self.peers,
            clock,
            self.decisions,
            self.counts,
        )
        self.crash_sync = crash_sync.CrashSync(self.peers, clock, rng, self.counts)
        self.crash_watch = crash_watch.CrashWatch(
            self.crash_sync,
            self.roster,
            table,
            clock,
            self.decisions,
            self.counts,
            connect_to_runners,
            self.reach,
        )
