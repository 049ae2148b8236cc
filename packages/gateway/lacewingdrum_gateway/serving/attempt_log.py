"""Logs and counts the attempts at runners."""

from collections.abc import Callable

from lacewingdrum_coordination import runner_roster
from lacewingdrum_gateway.serving import (
    active_request,
    attempt_ends,
    open_attempt,
    plans,
)
from lacewingdrum_runtime import decision_log, metrics


class AttemptLog:
    """Writes a line for the plan, the silence and the end of an attempt."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._roster = roster
        self._clock = clock
        self._decisions = decisions
        self._counts = counts

    def record_plan(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> None:
        """Record where an attempt goes, and what decided it."""
        routed = active.routed
        self._counts.count("attempts", service=routed.service.name)
        self._decisions.record(
            decision_log.DecisionEvent.ROUTED,
            active.request_id,
            attempt=active.attempt_count,
            route=routed.route.name,
            service=routed.service.name,
            runner_id=plan.entry.runner_id,
            runner=str(plan.entry.address),
            helpers=[helper.runner_id for helper in plan.helpers],
            prompt_tokens=routed.caller_headers.prompt_tokens,
            candidates=plan.candidate_count,
            cold_left_ms=plan.cold_left_ms,
            evacuated=plan.evacuated_count,
            first_expected_ms=round(plan.first_event_ms, 1),
            cost=round(plan.cost, 3),
            left_ms=round(active.left_s(self._clock()) * 1_000),
            configuration_version=active.config_version,
            list_version=self._roster.version.version,
            list_age_s=round(self._clock() - self._roster.as_of_s, 3),
            last_event_id=active.events.last_event_id,
        )

    def record_silence(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        plan: plans.Plan,
    ) -> None:
        """Record that an attempt stays open while its runner is silent."""
        silent_s = self._clock() - attempt.progress_s
        self._counts.count("silent_attempts")
        self._decisions.record(
            decision_log.DecisionEvent.ATTEMPT_SILENT,
            active.request_id,
            attempt=attempt.number,
            runner_id=plan.entry.runner_id,
            silent_ms=round(max(silent_s, 0.0) * 1_000),
            has_lost_path=attempt.has_lost_path,
            events=attempt.events.run_event_count,
        )

    def record_late_event(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        plan: plans.Plan,
        expected_pause_ms: float,
    ) -> None:
        """Record that another engine may go on, as the next event is late."""
        silent_s = self._clock() - attempt.progress_s
        self._counts.count("late_events")
        self._decisions.record(
            decision_log.DecisionEvent.EVENT_LATE,
            active.request_id,
            attempt=attempt.number,
            runner_id=plan.entry.runner_id,
            silent_ms=round(silent_s * 1_000, 1),
            expected_ms=round(expected_pause_ms, 1),
            events=attempt.events.run_event_count,
        )

    def record_end(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        plan: plans.Plan,
        end: attempt_ends.AttemptEnd | None,
    ) -> None:
        """Record how an attempt ended; None stands for a whole answer."""
        outcome = "whole" if end is None else end.reason.value
        self._counts.count("attempt_ends", outcome=outcome)
        if end is None:
            return
        self._decisions.record(
            decision_log.DecisionEvent.ATTEMPT_ENDED,
            active.request_id,
            attempt=attempt.number,
            runner_id=plan.entry.runner_id,
            state=end.state,
            reason=end.reason,
            detail=end.detail,
            at_fault=str(end.at_fault or ""),
            events_passed=active.events.event_count,
            was_silent=attempt.was_silent,
            **attempt.describe_answer_end(),
        )
