"""Forwards a request: attempts, retries and the answer to the caller."""

import asyncio
from collections.abc import Callable

from lacewingdrum_coordination import retry_allowance, runner_health, runner_roster
from lacewingdrum_gateway.crashes import crash_watch
from lacewingdrum_gateway.peers import peering
from lacewingdrum_gateway.runners import reach_monitor, work_sync
from lacewingdrum_gateway.serving import (
    active_request,
    attempt,
    attempt_ends,
    exchange as exchanges,
    final_answers,
    plans,
    relay as relays,
    retry_limits,
    routing,
)
from lacewingdrum_runtime import decision_log, metrics, tasks
from lacewingdrum_state import states


class Forwarder:
    """Makes attempts for requests until each has one answer."""

    def __init__(
        self,
        sender: attempt.AttemptSender,
        planner: routing.Planner,
        exchange: exchanges.Exchange,
        relay: relays.Relay,
        reach: reach_monitor.ReachMonitor,
        allowance: retry_allowance.RetryAllowance,
        work_updates: work_sync.WorkSync,
        peers: peering.Peering,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        crashes: crash_watch.CrashWatch,
        answers: final_answers.FinalAnswers,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._exchange = exchange
        self._relay = relay
        self._reach = reach
        self._open_attempts: dict[asyncio.Task, active_request.ActiveRequest] = {}
        self._allowance = allowance
        self._work_updates = work_updates
        self._peers = peers
        self._roster = roster
        self._health = health
        self._crashes = crashes
        self._final_answers = answers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts

    async def forward(
        self, active: active_request.ActiveRequest
    ) -> active_request.Outcome:
        """Make attempts until the caller has an answer.

        Args:
            active: the request.

        Returns:
            The outcome; the caller has its answer or its connection is closed.
        """
        while active.left_s(self._clock()) > 0 and active.events.is_resumable:
            blame = self._crashes.find_blame(active)
            if blame is not None and not self._crashes.start_trial(active, blame):
                if active.may_have_run:
                    break
                return await self._final_answers.refuse_blamed(active, blame)
            peer = self._relay.pick_peer(active)
            if peer is not None:
                outcome = await self._pass_on(active, peer)
                if outcome is not None:
                    return outcome
                continue
            if self._relay.has_no_path(active):
                break
            self._record_request(active)
            plan = self._planner.plan(
                active.routed,
                active.excluded,
                active.only_runner,
                not active.may_have_run,
            )
            if isinstance(plan, plans.TooCostly):
                return await self._final_answers.refuse_costly(active, plan)
            if plan is None:
                if active.only_runner is None and retry_limits.allow_repeat(active):
                    continue
                break
            if not self._may_send(active):
                break
            end = await self._make_attempt(active, plan)
            if end is None:
                self._crashes.record_whole(active)
                return active_request.Outcome.ANSWERED
            active.ends.append(end)
            if active.responder.disconnected.is_set():
                return active_request.Outcome.CALLER_GONE
            if not await self._crashes.observe(active, plan, end):
                active.may_crash_runners = True
                break
            is_suspect = self._health.is_suspect(plan.entry.runner_id)
            refused_help = retry_limits.apply_end(active, plan, end, is_suspect)
            if refused_help is not None:
                self._work_updates.record_help_refused(refused_help)
            await self._reach.wait_for_check()
            left_s = active.left_s(self._clock())
            may_retry = retry_limits.may_retry(active, end, left_s)
            if not may_retry and self._relay.pick_peer(active) is None:
                break
        return await self._final_answers.give_up(active)

    def give_up_silent_attempts(self) -> None:
        """Cut waiting attempts short, where they may be repeated."""
        for running, active in self._open_attempts.items():
            if active.routed.route.is_retryable:
                running.cancel()

    async def _pass_on(
        self, active: active_request.ActiveRequest, peer: peering.Peer
    ) -> active_request.Outcome | None:
        """Pass a request on; return None if it may go on elsewhere."""
        if not self._may_send(active):
            return await self._final_answers.give_up(active)
        passed_on = await self._relay.run(active, peer)
        if isinstance(passed_on, active_request.Outcome):
            return passed_on
        active.ends.append(passed_on)
        if active.responder.disconnected.is_set():
            return active_request.Outcome.CALLER_GONE
        if not retry_limits.apply_relay_end(active, passed_on):
            return await self._final_answers.give_up(active)
        return None

    async def _make_attempt(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> attempt_ends.AttemptEnd | None:
        sent_s = self._clock()
        active.attempt_count += 1
        self._record_plan(active, plan)
        self._planner.candidates.record_send(plan.entry)
        active.has_open_attempt = True
        end = await self._run_attempt(active, plan)
        active.has_open_attempt = False
        self._sender.record_end(plan.entry, end, sent_s)
        self._record_end(active, plan, end)
        return end

    async def _run_attempt(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> attempt_ends.AttemptEnd | None:
        running = asyncio.ensure_future(self._exchange.run(active, plan))
        self._open_attempts[running] = active
        try:
            await tasks.wait_or_cancel(running)
        finally:
            del self._open_attempts[running]
        return _NO_PATH if running.cancelled() else running.result()

    def _record_request(self, active: active_request.ActiveRequest) -> None:
        """Count a request of which this daemon makes the first attempt."""
        if not active.is_counted:
            active.is_counted = True
            service = active.routed.service.name
            self._allowance.record_request(service, self._clock())
            self._crashes.record_request(active)

    def _may_send(self, active: active_request.ActiveRequest) -> bool:
        """Return whether this is no retry, or the allowance is not used up."""
        is_retry = bool(active.sent_to or active.has_unknown_end)
        return not is_retry or self._acquire_retry(active)

    def _acquire_retry(self, active: active_request.ActiveRequest) -> bool:
        service = active.routed.service.name
        is_allowed = self._allowance.take(
            service, self._peers.table.daemon_count, self._clock()
        )
        if not is_allowed:
            self._counts.count("repeats_refused", reason="allowance")
            self._decisions.record(
                decision_log.DecisionEvent.REPEAT_REFUSED,
                active.request_id,
                reason="allowance",
                service=service,
                daemon_count=self._peers.table.daemon_count,
            )
        return is_allowed

    def _record_plan(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> None:
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
            first_expected_ms=round(plan.first_event_ms, 1),
            cost=round(plan.cost, 3),
            left_ms=round(active.left_s(self._clock()) * 1_000),
            configuration_version=active.config_version,
            list_version=self._roster.version.version,
            list_age_s=round(self._clock() - self._roster.as_of_s, 3),
            last_event_id=active.events.last_event_id,
        )

    def _record_end(
        self,
        active: active_request.ActiveRequest,
        plan: plans.Plan,
        end: attempt_ends.AttemptEnd | None,
    ) -> None:
        outcome = "whole" if end is None else end.reason.value
        self._counts.count("attempt_ends", outcome=outcome)
        if end is None:
            return
        self._decisions.record(
            decision_log.DecisionEvent.ATTEMPT_ENDED,
            active.request_id,
            attempt=active.attempt_count,
            runner_id=plan.entry.runner_id,
            state=end.state,
            reason=end.reason,
            detail=end.detail,
            at_fault=str(end.at_fault or ""),
            events_passed=active.events.event_count,
            **active.describe_answer_end(),
        )


_NO_PATH = attempt_ends.AttemptEnd(
    states.AttemptState.UNKNOWN,
    attempt_ends.EndReason.SILENT,
    "no runner can be reached",
)
