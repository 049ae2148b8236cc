"""Acts on what runners say about themselves in the headers of their answers.

A runner may say that it leaves, before or after the platform's list shows it,
that it wants no request from this daemon for a while, and how many requests a
second it takes from all daemons.
"""

from collections.abc import Callable

from lacewingdrum_coordination import runner_health, runner_roster
from lacewingdrum_gateway.peers import peering
from lacewingdrum_gateway.runners import limit_sync, work_sync
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids, requests, runner_entries


class RunnerNotices:
    """Records the notices of runners and passes them on to the peers."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        work_updates: work_sync.WorkSync,
        limits: limit_sync.LimitSync,
        peers: peering.Peering,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._roster = roster
        self._health = health
        self._work_updates = work_updates
        self._limits = limits
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts

    def start(self) -> None:
        """Begin to exchange with the peers which runners leave."""
        self._peers.set_leaving_runners_source(self._roster.unlisted_leaving)
        self._peers.on_heartbeat(self._on_heartbeat)

    def observe(
        self,
        entry: runner_entries.RunnerEntry,
        answer_headers: requests.RunnerHeaders,
    ) -> None:
        """Act on the notices in an answer.

        Args:
            entry: the runner that answered.
            answer_headers: the headers of its answer.
        """
        if answer_headers.is_leaving and self._record_leaving(
            entry.runner_id, entry.born_ms, "own attempt"
        ):
            self._peers.announce()
        if answer_headers.pause_s:
            self._record_pause(entry, answer_headers.pause_s)
        # The answer of a successor at its address says nothing of its limit.
        if not answer_headers.is_other_runner:
            self._limits.observe(entry, answer_headers)
        elif answer_headers.at_fault is None:
            self._record_other_at_address(entry)

    def _record_other_at_address(self, entry: runner_entries.RunnerEntry) -> None:
        if not self._roster.record_other_at_address(entry):
            return
        self._counts.count("runner_changes", change="other_at_address")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_CHANGED,
            None,
            runner_id=entry.runner_id,
            change="other_at_address",
            address=str(entry.address),
        )

    def _record_pause(self, entry: runner_entries.RunnerEntry, pause_s: float) -> None:
        now_s = self._clock()
        self._health.pauses.record(entry, now_s + pause_s, now_s)
        self._work_updates.report_pause(entry.runner_id, pause_s)
        self._counts.count("runner_pauses")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_PAUSED,
            None,
            runner_id=entry.runner_id,
            for_s=pause_s,
        )

    def _on_heartbeat(self, peer: peering.Peer) -> None:
        for runner_id, born_ms in peer.leaving_runners:
            self._record_leaving(
                ids.RunnerId(runner_id), born_ms, f"peer {peer.address}"
            )

    def _record_leaving(
        self, runner_id: ids.RunnerId, born_ms: int, source: str
    ) -> bool:
        """Record that a runner leaves; return whether this is new."""
        if not self._roster.record_leaving(runner_id, born_ms):
            return False
        self._counts.count("runner_changes", change="leaving")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_CHANGED,
            None,
            runner_id=runner_id,
            change="leaving",
            source=source,
            list_version=self._roster.version.version,
            list_era=self._roster.version.era,
            list_age_s=self._clock() - self._roster.as_of_s,
        )
        return True
