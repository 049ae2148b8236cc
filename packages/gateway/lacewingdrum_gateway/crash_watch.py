"""Finds out which runners crashed under the attempts that they lost."""

from lacewingdrum_coordination import runner_roster
from lacewingdrum_daemon import decision_log, metrics
from lacewingdrum_gateway import active_request, attempt_ends, plans, runner_probe
from lacewingdrum_state import runner_entries

PROBE_TIMEOUT_S = 0.25


class CrashWatch:
    """Records the crashes of engines and the prompts that they lost."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._roster = roster
        self._decisions = decisions
        self._counts = counts

    async def observe(
        self,
        active: active_request.ActiveRequest,
        plan: plans.Plan,
        end: attempt_ends.AttemptEnd,
    ) -> None:
        """Record the crash of an engine if that ended an attempt.

        Args:
            active: the request.
            plan: the plan of the attempt.
            end: how the attempt ended.
        """
        if not plan.work or end.reason is not attempt_ends.EndReason.LOST:
            return
        if not await self._has_crashed(plan.entry):
            return
        self._counts.count("runner_crashes")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_CRASHED,
            active.request_id,
            runner_id=plan.entry.runner_id,
            born_ms=plan.entry.born_ms,
            lost_parts=list(active.routed.caller_headers.shared_parts),
            events=active.attempt_event_count,
        )

    async def _has_crashed(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether a runner ended that was not about to leave."""
        if entry not in self._roster.of_service(entry.service):
            return False
        return await runner_probe.refuses_connection(entry.address, PROBE_TIMEOUT_S)
