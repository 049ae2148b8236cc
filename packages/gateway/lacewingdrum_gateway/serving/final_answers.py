"""Answers that end a request without the whole answer of a runner."""

import random
from collections.abc import Callable

from lacewingdrum_gateway.crashes import crash_watch
from lacewingdrum_gateway.runners import runner_candidates
from lacewingdrum_gateway.serving import (
    active_request,
    attempt_ends,
    outcomes,
    plans,
    room_control,
)
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import crashes, states
from lacewingdrum_transport import http_messages

RETRY_AFTER_MIN_S = 0.15
RETRY_AFTER_JITTER_S = 0.35
REFUSED_RETRY_AFTER_S = 1.5
# Operators end an evacuation at a time that nobody knows before.
EVACUATED_RETRY_AFTER_S = 2.0
# Callers reach another daemon at once.
LEAVING_RETRY_S = 0.1
# Callers are asked to wait no longer than this share of their time left.
RETRY_AFTER_TIME_LEFT_SHARE = 0.3


class FinalAnswers:
    """Refuses requests, and gives up those that no attempt has answered."""

    def __init__(
        self,
        candidates: runner_candidates.RunnerCandidates,
        crashes: crash_watch.CrashWatch,
        clock: Callable[[], float],
        rng: random.Random,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._candidates = candidates
        self._crashes = crashes
        self._clock = clock
        self._rng = rng
        self._decisions = decisions
        self._counts = counts

    async def refuse_costly(
        self, active: active_request.ActiveRequest, reason: plans.TooCostly
    ) -> outcomes.Outcome:
        """Refuse a request that has not run, and say when to retry it."""
        retry_s = REFUSED_RETRY_AFTER_S * (1.0 + self._rng.random())
        retry_s = min(
            retry_s, active.left_s(self._clock()) * RETRY_AFTER_TIME_LEFT_SHARE
        )
        self._decisions.record(
            decision_log.DecisionEvent.REFUSED,
            active.request_id,
            reason="costs_others_more",
            prompt_tokens=active.routed.caller_headers.prompt_tokens,
            lost=round(reason.lost_worth, 2),
            worth=round(reason.worth, 2),
            first_expected_ms=round(reason.first_event_ms),
            evacuated=self._candidates.evacuated_count(active.routed.service.name),
            retry_after_s=round(retry_s, 2),
            configuration_version=active.config_version,
        )
        return await self._send_refusal(active, "overloaded", retry_s)

    async def refuse_without_room(
        self, active: active_request.ActiveRequest, refusal: room_control.Refusal
    ) -> outcomes.Outcome:
        """Refuse a request that has not run, and say when to retry it."""
        self._decisions.record(
            decision_log.DecisionEvent.REFUSED,
            active.request_id,
            retry_after_s=round(refusal.retry_s, 2),
            configuration_version=active.config_version,
            **refusal.fields,
        )
        return await self._send_refusal(active, "overloaded", refusal.retry_s)

    async def refuse_blamed(
        self, active: active_request.ActiveRequest, blame: crashes.Blame
    ) -> outcomes.Outcome:
        """Refuse a request that probably crashes runners."""
        now_s = self._clock()
        reason = crash_watch.refusal_reason(blame.subject)
        retry_s = self._until_trial_s(blame)
        self._decisions.record(
            decision_log.DecisionEvent.REFUSED,
            active.request_id,
            reason=reason,
            retry_after_s=round(retry_s, 2),
            configuration_version=active.config_version,
            **crash_watch.describe_subject(blame.subject),
            **crash_watch.describe(blame, now_s),
        )
        return await self._send_refusal(active, reason, retry_s)

    async def _send_refusal(
        self, active: active_request.ActiveRequest, code: str, retry_s: float
    ) -> outcomes.Outcome:
        """Answer that a request has not run, and when to retry it."""
        self._counts.count("refusals", reason=code)
        await active.responder.send(
            http_messages.error_response(
                503,
                code,
                f"not run: {code}",
                states.Ran.NO,
                round(retry_s, 2),
                active.request_id,
            )
        )
        return outcomes.Outcome.REFUSED

    async def end_for_stop(
        self, active: active_request.ActiveRequest
    ) -> outcomes.Outcome:
        """End a request that this daemon cannot go on with, as it stops.

        Args:
            active: a request whose attempts have been interrupted.

        Returns:
            The outcome.
        """
        return await self._end_early(active, "leaving", outcomes.Outcome.STOPPED)

    async def end_for_caller(
        self, active: active_request.ActiveRequest
    ) -> outcomes.Outcome:
        """End a request whose caller has ended its stream, and may have left.

        Args:
            active: a request whose attempts have been interrupted.

        Returns:
            The outcome.
        """
        gone = outcomes.Outcome.CALLER_GONE
        return await self._end_early(active, "caller_ended", gone)

    async def _end_early(
        self,
        active: active_request.ActiveRequest,
        code: str,
        cut: outcomes.Outcome,
    ) -> outcomes.Outcome:
        responder = active.responder
        responder.close_after_response()
        if not responder.started and not active.was_sent:
            return await self._send_refusal(active, code, LEAVING_RETRY_S)
        outcome = await self.give_up(active)
        return cut if outcome in outcomes.CUT_OUTCOMES else outcome

    async def give_up(self, active: active_request.ActiveRequest) -> outcomes.Outcome:
        """Answer the caller with a failure, or close a started stream.

        An answer that is whole is written to its end.

        Args:
            active: a request for which no further attempt is made.

        Returns:
            The outcome.
        """
        responder = active.responder
        time_over = active.left_s(self._clock()) <= 0
        if responder.finished:
            is_written = await responder.flush()
            gone = outcomes.Outcome.CALLER_GONE
            return outcomes.Outcome.ANSWERED if is_written else gone
        if responder.started:
            responder.abort()
            cut = outcomes.Outcome.BROKEN_OFF
            return outcomes.Outcome.TIME_OVER if time_over else cut
        answer = _last_answer(active)
        if answer is not None:
            await responder.send(answer)
            return outcomes.Outcome.RUNNER_FAILURE
        if not active.may_have_run:
            code, pause_s = self._why_not_run(active, time_over)
            spread_s = RETRY_AFTER_JITTER_S * self._rng.random()
            retry_s = max(pause_s, RETRY_AFTER_MIN_S) + spread_s
            self._record_left_out(active, code, retry_s)
            response = http_messages.error_response(
                503,
                code,
                "not run, try again",
                states.Ran.NO,
                round(retry_s, 2),
                active.request_id,
            )
            await responder.send(response)
            return outcomes.Outcome.REFUSED
        status, code = (504, "time_over") if time_over else (502, "answer_lost")
        message = "the runner's answer did not come; it may have run"
        await responder.send(
            http_messages.error_response(
                status,
                code,
                message,
                states.Ran.MAYBE,
                self._retry_after_crashes_s(active),
                active.request_id,
            )
        )
        return outcomes.Outcome.TIME_OVER if time_over else outcomes.Outcome.LOST

    def _why_not_run(
        self, active: active_request.ActiveRequest, time_over: bool
    ) -> tuple[str, float]:
        """Return why no runner has run a request, and how long that lasts."""
        service = active.routed.service.name
        pause_s = self._candidates.pause_left_s(service)
        is_evacuated = self._candidates.has_only_evacuated(service)
        if not pause_s and not time_over and self._candidates.evacuated_count(service):
            # Those elsewhere are too few, or have no room.
            last = active.ends[-1].reason if active.ends else None
            is_evacuated |= last in (None, attempt_ends.EndReason.EVACUATED)
        if is_evacuated:
            return "evacuated", EVACUATED_RETRY_AFTER_S
        return "no_runner" if not active.ends else "runners_refused", pause_s

    def _record_left_out(
        self, active: active_request.ActiveRequest, code: str, retry_s: float
    ) -> None:
        """Log a refusal that evacuations may have a part in."""
        count = self._candidates.evacuated_count(active.routed.service.name)
        if not count:
            return
        if code == "evacuated":
            self._counts.count("refusals", reason=code)
        self._decisions.record(
            decision_log.DecisionEvent.REFUSED,
            active.request_id,
            reason=code,
            evacuated=count,
            retry_after_s=round(retry_s, 2),
            configuration_version=active.config_version,
        )

    def _retry_after_crashes_s(self, active: active_request.ActiveRequest) -> float:
        """Return when a request that may crash runners can return, else 0."""
        if not (active.may_crash_runners or active.is_blamed):
            return 0.0
        blame = self._crashes.find_blame(active)
        if blame is None:
            return REFUSED_RETRY_AFTER_S
        return round(self._until_trial_s(blame), 2)

    def _until_trial_s(self, blame: crashes.Blame) -> float:
        left_s = max(blame.trial_due_s - self._clock(), 0.0)
        return left_s + REFUSED_RETRY_AFTER_S


def _last_answer(
    active: active_request.ActiveRequest,
) -> http_messages.HttpResponse | None:
    """Return the last failure that the caller may have, if any.

    That a peer has not run the request is none if another attempt may have.
    """
    for end in active.ends[::-1]:
        says_not_run = end.state is states.AttemptState.REFUSED_BY_RUNNER
        if end.answer is not None and not (says_not_run and active.may_have_run):
            return end.answer
    return None
