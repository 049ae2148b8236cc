"""Learns which runners are cold, and which daemons may send to them."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from lacewingdrum_coordination import (
    cold_limits,
    cold_runners,
    runner_roster,
    sharing_daemons,
)
from lacewingdrum_gateway.peers import peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import decision_log, metrics, tasks
from lacewingdrum_state import (
    addresses,
    cold_reports,
    configurations,
    ids,
    runner_entries,
    units,
)

# Known daemons, and runners that are warm again, are looked at this often.
UPDATE_INTERVAL_S = 0.25
# After a cut most daemons that are silent now are heard within this time, and
# need not be named. It is shorter than a new daemon learns the others.
NAMING_DELAY_S = 0.75
UNCONFIGURED_MAX = 8
# Silent daemons that one message names, those that were heard latest first.
SILENT_MAX = 256


class ColdSync:
    """Feeds the limits of cold runners from lists, rows and heartbeats."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        peers: peering.Peering,
        data_centre: ids.DataCentre,
        overage: cold_limits.Overage,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._daemons = sharing_daemons.SharingDaemons(
            peers.own_address, data_centre, clock()
        )
        self.limits = cold_limits.ColdLimits(self._daemons, overage)
        self._roster = roster
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._services: dict[ids.ServiceName, configurations.ColdLimit] = {}
        self._withheld_count = 0
        # Reports that came, from a source, before a configuration was known.
        self._is_configured = False
        self._unconfigured_reports: list[
            tuple[tuple[cold_reports.ColdReport, ...], str]
        ] = []
        # The live daemons that know which others this one does not hear.
        self._informed_peers: set[ids.VmId] = set()
        # From when on the others are told.
        self._due_peers: dict[ids.VmId, float] = {}
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Begin to learn the daemons, and to forget what is past."""
        self._peers.on_heartbeat(self._on_heartbeat)
        self._peers.on_message(peer_messages.SilentDaemons, self._on_silent)
        self._peers.on_peer_lost(self._on_peer_lost)
        self._counts.gauge("cold_runners", self._cold_count)
        self._tasks.spawn_loop(self._update_regularly)

    async def close(self) -> None:
        """Stop the updates."""
        await self._tasks.close()

    def set_services(
        self, services: Mapping[ids.ServiceName, configurations.Service]
    ) -> None:
        """Set the services, some of whose runners can be cold."""
        self._services = {
            name: service.cold_limit
            for name, service in services.items()
            if service.cold_limit is not None
        }
        self.limits.set_limits(self._services)
        self._is_configured = True
        reports_before, self._unconfigured_reports = self._unconfigured_reports, []
        for reports, source in reports_before:
            self.record_reports(reports, self._clock(), source)

    def may_be_cold(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether runners of the service of this one can be cold.

        They may be as long as no configuration is known.
        """
        return entry.service in self._services or not self._is_configured

    def record_list(
        self, entries: Iterable[runner_entries.RunnerEntry], source: str
    ) -> None:
        """Record a list of runners, in which new incarnations are cold."""
        now_s = self._clock()
        for cold in self.limits.runners.record_list(entries, now_s):
            self._record_turn(cold, now_s, f"started, {source}")

    def record_reports(
        self, reports: Iterable[cold_reports.ColdReport], now_s: float, source: str
    ) -> None:
        """Record which runners are cold.

        Args:
            reports: what their rows say.
            now_s: the current time, at which the reports have arrived.
            source: where the reports are from.
        """
        found = tuple(reports)
        if found and not self._is_configured:
            self._unconfigured_reports = [*self._unconfigured_reports, (found, source)][
                -UNCONFIGURED_MAX:
            ]
            return
        for report in found:
            entry = self._roster.get(report.runner_id)
            if entry is None:
                continue
            cold = self.limits.runners.record(entry, report, now_s)
            if cold is not None:
                self._record_turn(cold, now_s, source)

    def known_reports(self) -> tuple[cold_reports.ColdReport, ...]:
        """Return what is known of the runners that are cold now."""
        now_s = self._clock()
        return tuple(
            cold_reports.ColdReport(
                cold.entry.runner_id,
                cold.entry.born_ms,
                cold.left_s(now_s) * units.MS_PER_S,
            )
            for cold in self.limits.runners.all
            if cold.left_s(now_s)
        )

    def _cold_count(self) -> int:
        return len(self.known_reports())

    def _on_heartbeat(self, peer: peering.Peer) -> None:
        now_s = self._clock()
        self._daemons.record_heard(peer.address, peer.data_centre, now_s)
        if self._services and peer.address not in self._informed_peers:
            self._due_peers.setdefault(peer.address, now_s + NAMING_DELAY_S)

    def _on_peer_lost(self, address: ids.VmId) -> None:
        self._informed_peers.discard(address)
        self._due_peers.pop(address, None)

    def _tell_new(self, now_s: float) -> None:
        """Name the silent daemons to those that were heard anew."""
        due = [address for address, due_s in self._due_peers.items() if now_s >= due_s]
        for address in due:
            if self._send_silent(address):
                self._informed_peers.add(address)
                del self._due_peers[address]

    def _send_silent(self, address: ids.VmId) -> bool:
        """Name the daemons that a new one may not hear of by others.

        Returns:
            Whether they are on their way.
        """
        live = {address, *(peer.address for peer in self._peers.table.live)}
        silent = tuple(
            peer_messages.SilentDaemon(
                report.address, report.age_s * units.MS_PER_S, report.was_heard
            )
            for report in self._daemons.reports(self._clock())
            if report.address not in live
        )
        if not silent:
            return True
        message = peer_messages.SilentDaemons(silent[:SILENT_MAX])
        return self._peers.send(address, message)

    def _on_silent(self, sender: ids.VmId, news: peer_messages.SilentDaemons) -> None:
        del sender
        found = (
            sharing_daemons.DaemonReport(
                ids.VmId(item.address), item.age_ms / units.MS_PER_S, item.was_heard
            )
            for item in news.daemons
            if addresses.parse_address(item.address) is not None
        )
        self._daemons.record_reported(found, self._clock())

    async def _update_regularly(self) -> None:
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            self._update(self._clock())

    def _update(self, now_s: float) -> None:
        known = (peer.address for peer in self._peers.table.known)
        self._daemons.record_named(known, now_s)
        self._daemons.forget_old(now_s)
        self._tell_new(now_s)
        for cold in self.limits.take_reached():
            self._record_turn(cold, now_s, "reached")
        for cold in self.limits.forget_warm(now_s):
            self._record_turn(cold, now_s, "time")
        withheld_count = self.limits.withheld_count
        if withheld_count > self._withheld_count:
            more = withheld_count - self._withheld_count
            self._counts.count("cold_sends_withheld", more)
            self._withheld_count = withheld_count

    def _record_turn(
        self, cold: cold_runners.ColdRunner, now_s: float, source: str
    ) -> None:
        """Record that a runner has turned cold, or is in full use again."""
        left_s = cold.left_s(now_s)
        self._counts.count("cold_changes", to="cold" if left_s else "warm")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_COLD,
            None,
            runner_id=cold.entry.runner_id,
            born_ms=cold.entry.born_ms,
            left_ms=round(left_s * units.MS_PER_S),
            source=source,
            daemons=self._daemons.count,
        )
