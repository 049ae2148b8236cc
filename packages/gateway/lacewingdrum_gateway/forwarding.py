"""Forwards one request: attempts, repeats, and the answer to the caller."""

import random
from collections.abc import Callable

from lacewingdrum_coordination import retry_allowance, runner_health, runner_roster
from lacewingdrum_daemon import decision_log, metrics
from lacewingdrum_gateway import (
    active_request,
    attempt,
    exchange as exchanges,
    peering as peering,
    plans,
    routing,
    work_sync,
)
from lacewingdrum_state import ids, states
from lacewingdrum_transport import http_messages

# Tries that never reached a runner cost nothing but time.
TRIES_MAX = 8
RETRY_AFTER_MIN_S = 0.15
RETRY_AFTER_SPREAD_S = 0.35
REFUSED_RETRY_S = 1.5
# Callers wait no longer than a third of the time they have.
RETRY_LEFT_SHARE = 0.3
LEFT_FOR_REPEAT_S = 0.03


class Forwarder:
    """Carries requests through attempts to one answer each."""

    def __init__(
        self,
        sender: attempt.AttemptSender,
        planner: routing.Planner,
        exchange: exchanges.Exchange,
        allowance: retry_allowance.RetryAllowance,
        work_updates: work_sync.WorkSync,
        peers: peering.Peering,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        clock: Callable[[], float],
        rng: random.Random,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._exchange = exchange
        self._allowance = allowance
        self._work_updates = work_updates
        self._peers = peers
        self._roster = roster
        self._health = health
        self._clock = clock
        self._rng = rng
        self._decisions = decisions
        self._counts = counts

    async def forward(
        self, work: active_request.ActiveRequest
    ) -> active_request.Outcome:
        """Make attempts until the caller has an answer.

        Args:
            work: the request.

        Returns:
            How it ended; the caller has been answered or cut off.
        """
        self._allowance.note_request(work.target.service.name, self._clock())
        while work.left_s(self._clock()) > 0:
            plan = self._planner.plan(
                work.target, work.tried, work.only_runner, not work.may_have_run
            )
            if isinstance(plan, plans.TooCostly):
                return await self._refuse(work, plan)
            if plan is None:
                break
            if work.sent_to and not self._take_repeat(work):
                break
            sent_s = self._clock()
            work.try_count += 1
            self._record_plan(work, plan)
            work.is_attempted = True
            end = await self._exchange.run(work, plan)
            work.is_attempted = False
            self._sender.note(plan.entry, end, sent_s)
            self._record_end(work, plan, end)
            if end is None:
                return active_request.Outcome.ANSWERED
            work.ends.append(end)
            if work.responder.gone.is_set():
                return active_request.Outcome.CALLER_GONE
            self._note_end(work, plan, end)
            if not self._may_go_on(work, end):
                break
        return await self.give_up(work)

    async def _refuse(
        self, work: active_request.ActiveRequest, reason: plans.TooCostly
    ) -> active_request.Outcome:
        """Refuse before anything was sent, and say when to come back."""
        retry_s = REFUSED_RETRY_S * (1.0 + self._rng.random())
        retry_s = min(retry_s, work.left_s(self._clock()) * RETRY_LEFT_SHARE)
        self._decisions.record(
            decision_log.DecisionEvent.REFUSED,
            work.request_id,
            reason="costs_others_more",
            prompt_tokens=work.target.caller_headers.prompt_tokens,
            lost=round(reason.lost_worth, 2),
            worth=round(reason.worth, 2),
            first_expected_ms=round(reason.first_event_ms),
            retry_after_s=round(retry_s, 2),
            configuration_version=work.config_version,
        )
        await work.responder.send(
            http_messages.error_response(
                503,
                "overloaded",
                "not run: overloaded",
                states.Ran.NO,
                round(retry_s, 2),
                work.request_id,
            )
        )
        return active_request.Outcome.REFUSED

    def _note_end(
        self,
        work: active_request.ActiveRequest,
        plan: plans.Plan,
        end: attempt.AttemptEnd,
    ) -> None:
        work.tried.add(plan.entry.runner_id)
        if end.state is not states.AttemptState.UNSENT:
            work.sent_to.add(plan.entry.runner_id)
        if self._health.is_suspect(plan.entry.runner_id):
            work.dead_count += 1
        if end.at_fault is None:
            return
        for helper in plan.helpers:
            if helper.address == end.at_fault:
                work.tried.add(helper.runner_id)
                # The set fell by its helper; the first runner is as it was.
                work.tried.discard(plan.entry.runner_id)
                if end.reason is attempt.EndReason.HELPER_FAILED:
                    self._work_updates.record_help_refused(helper.runner_id)
                    work.only_runner = self._only_runner(work, plan)

    def _may_go_on(
        self, work: active_request.ActiveRequest, end: attempt.AttemptEnd
    ) -> bool:
        """Returns: whether the request may be sent once more."""
        if (
            work.try_count >= TRIES_MAX
            or work.left_s(self._clock()) < LEFT_FOR_REPEAT_S
        ):
            return False
        if end.state is states.AttemptState.UNSENT:
            return True
        if not self._has_attempts(work) and work.only_runner is None:
            return False
        if end.state is states.AttemptState.REFUSED_BY_RUNNER:
            return True
        return work.target.route.is_repeatable

    def _has_attempts(self, work: active_request.ActiveRequest) -> bool:
        # A runner that has died meanwhile takes no attempt from the request.
        limit = work.target.route.max_attempts + min(work.dead_count, 1)
        return len(work.sent_to) < limit

    def _only_runner(
        self, work: active_request.ActiveRequest, plan: plans.Plan
    ) -> ids.RunnerId | None:
        """Returns: the runner to stay with, where no other may get it."""
        return None if self._has_attempts(work) else plan.entry.runner_id

    def _take_repeat(self, work: active_request.ActiveRequest) -> bool:
        service = work.target.service.name
        taken = self._allowance.take(
            service, self._peers.table.daemon_count, self._clock()
        )
        if not taken:
            self._counts.count("repeats_refused")
            self._decisions.record(
                decision_log.DecisionEvent.REPEAT_REFUSED,
                work.request_id,
                service=service,
                daemon_count=self._peers.table.daemon_count,
            )
        return taken

    async def give_up(
        self, work: active_request.ActiveRequest
    ) -> active_request.Outcome:
        """Tell the caller at once that there will be no answer.

        Args:
            work: the request, which no attempt is made for any more.

        Returns:
            How it ended.
        """
        responder = work.responder
        if responder.started:
            responder.abort()
            return active_request.Outcome.BROKEN_OFF
        answer = next((end.answer for end in work.ends[::-1] if end.answer), None)
        if answer is not None:
            await responder.send(answer)
            return active_request.Outcome.RUNNER_FAILURE
        time_over = work.left_s(self._clock()) <= 0
        if not work.may_have_run:
            retry_s = RETRY_AFTER_MIN_S + RETRY_AFTER_SPREAD_S * self._rng.random()
            code = "no_runner" if not work.ends else "runners_refused"
            response = http_messages.error_response(
                503,
                code,
                "not run, try again",
                states.Ran.NO,
                round(retry_s, 2),
                work.request_id,
            )
            await responder.send(response)
            return active_request.Outcome.REFUSED
        status, code = (504, "time_over") if time_over else (502, "answer_lost")
        message = "the runner's answer did not come; it may have run"
        await responder.send(
            http_messages.error_response(
                status, code, message, states.Ran.MAYBE, request_id=work.request_id
            )
        )
        return (
            active_request.Outcome.TIME_OVER
            if time_over
            else active_request.Outcome.LOST
        )

    def _record_plan(
        self, work: active_request.ActiveRequest, plan: plans.Plan
    ) -> None:
        target = work.target
        self._counts.count("attempts", service=target.service.name)
        self._decisions.record(
            decision_log.DecisionEvent.ROUTED,
            work.request_id,
            attempt=work.try_count,
            route=target.route.name,
            service=target.service.name,
            runner_id=plan.entry.runner_id,
            runner=str(plan.entry.address),
            helpers=[helper.runner_id for helper in plan.helpers],
            prompt_tokens=target.caller_headers.prompt_tokens,
            candidates=plan.candidate_count,
            first_expected_ms=round(plan.first_event_ms, 1),
            cost=round(plan.cost, 3),
            left_ms=round(work.left_s(self._clock()) * 1_000),
            configuration_version=work.config_version,
            list_version=self._roster.version,
            list_age_s=round(self._clock() - self._roster.as_of_s, 3),
            last_event_id=work.events.last_event_id,
        )

    def _record_end(
        self,
        work: active_request.ActiveRequest,
        plan: plans.Plan,
        end: attempt.AttemptEnd | None,
    ) -> None:
        outcome = "whole" if end is None else end.reason.value
        self._counts.count("attempt_ends", outcome=outcome)
        if end is None:
            return
        self._decisions.record(
            decision_log.DecisionEvent.ATTEMPT_ENDED,
            work.request_id,
            attempt=work.try_count,
            runner_id=plan.entry.runner_id,
            state=end.state,
            reason=end.reason,
            detail=end.detail,
            at_fault=str(end.at_fault or ""),
            events_passed=work.events.event_count,
        )
