"""Runs a model request: admission, attempts, resumption and completion.

The deadline covers the time from the first byte received from the caller to
the last byte sent to it. An interrupted stream is resumed at another runner
after the tokens that were already sent to the caller. It is never restarted.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from lacewingdrum_coordination import admission, attempts, retries, routing, streams
from lacewingdrum_daemon import (
    answers,
    attempt_executor,
    group_memory,
    in_flight_attempts,
    pressure,
)
from lacewingdrum_protocol import callers_api
from lacewingdrum_runtime import decision_log
from lacewingdrum_state import ids, requests, states
from lacewingdrum_transport import runner_client

MAX_ATTEMPTS = 6
MEMORY_WAIT_PATIENCE_SHARE = 0.25
MEMORY_RETRY_PAUSE_RANGE_S = (0.2, 0.4)


class Completions:
    """Runs model requests on the runners of a model service."""

    def __init__(
        self,
        router: routing.Router,
        runner: attempt_executor.AttemptExecutor,
        attempts_in_flight: in_flight_attempts.InFlightAttempts,
        groups: group_memory.GroupMemory,
        retry_budget: retries.RetryBudget,
        decisions: decision_log.DecisionLog,
        load_meter: pressure.LoadMeter,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._router = router
        self._executor = runner
        self._in_flight = attempts_in_flight
        self._groups = groups
        self._retry_budget = retry_budget
        self._decisions = decisions
        self._load_meter = load_meter
        self._clock = clock
        self._rng = rng

    async def run(
        self, call: attempt_executor.ModelCall, answer: answers.Answer
    ) -> callers_api.Failure | None:
        """Answer a call by its deadline, completely or with a failure.

        Args:
            call: the model request.
            answer: sends the answer or the failure to the caller.

        Returns:
            The failure that was sent to the caller, or ``None`` if the answer
            is complete.
        """
        progress = attempt_executor.Progress(streams.begin(ids.AttemptId("")))
        self._retry_budget.record_request()
        try:
            async with asyncio.timeout_at(call.request.deadline_s):
                failure = await self._attempt_until_done(call, answer, progress)
                if failure is None:
                    await answer.finish(progress.stream)
        except TimeoutError:
            failure = self._deadline_failure(call, progress)
        except ConnectionError:
            # The caller disconnected and does not receive this failure, but
            # it is counted and logged like any other.
            failure = callers_api.Failure(
                callers_api.ErrorCode.CALLER_GONE,
                "the caller closed the connection",
                attempts.determine_ran(progress.tried),
            )
        if failure is not None:
            await answer.fail(failure)
        return failure

    def _deadline_failure(
        self, call: attempt_executor.ModelCall, progress: attempt_executor.Progress
    ) -> callers_api.Failure:
        return callers_api.Failure(
            callers_api.ErrorCode.PATIENCE_OVER,
            "the patience is over",
            attempts.determine_ran(progress.tried),
            retry_after_ms=self._retry_after_ms(call),
        )

    def _retry_after_ms(self, call: attempt_executor.ModelCall) -> int:
        supply = self._router.supply(call.request.service)
        return admission.retry_after_ms(supply.backlog_s, self._rng)

    async def _attempt_until_done(
        self,
        call: attempt_executor.ModelCall,
        answer: answers.Answer,
        progress: attempt_executor.Progress,
    ) -> callers_api.Failure | None:
        while len(progress.tried) < MAX_ATTEMPTS:
            decision = await self._choose_or_wait_for_memory(call, progress)
            admission_result = self._admit(call, decision, progress)
            if admission_result is not None:
                return admission_result
            assert decision.runner is not None
            attempt_failure = await self._attempt(call, decision, answer, progress)
            if attempt_failure is None:
                return None
            if not self._retry_budget.spend(self._clock()):
                break
            if attempt_failure.reason is not runner_client.RunnerErrorReason.SILENT:
                # A runner whose connection went silent still works on new
                # connections, so only other failures exclude the runner.
                progress.excluded.add(decision.runner.runner_id)
        ran = attempts.determine_ran(progress.tried)
        code = callers_api.ErrorCode.RUNNER_LOST
        if ran is states.Ran.NO:
            code = callers_api.ErrorCode.OVERLOADED
        return callers_api.Failure(
            code,
            "no runner brought the whole answer",
            ran,
            retry_after_ms=self._retry_after_ms(call),
        )

    async def _choose_or_wait_for_memory(
        self, call: attempt_executor.ModelCall, progress: attempt_executor.Progress
    ) -> routing.Decision:
        """Choose a runner, and wait if only engine memory is short.

        The wait takes a part of the remaining patience. A large prompt can
        wait until other requests, or its own failed attempt, release memory,
        and still be answered in time.
        """
        left_s = call.request.deadline_s - self._clock()
        until_s = self._clock() + MEMORY_WAIT_PATIENCE_SHARE * left_s
        decision = self._choose(call, progress)
        while decision.reason is routing.Reason.NO_MEMORY and self._clock() < until_s:
            await asyncio.sleep(self._rng.uniform(*MEMORY_RETRY_PAUSE_RANGE_S))
            decision = self._choose(call, progress)
        self._record_choice(call, decision)
        return decision

    def _choose(
        self, call: attempt_executor.ModelCall, progress: attempt_executor.Progress
    ) -> routing.Decision:
        return self._router.choose(
            call.request, call.weights, self._clock(), frozenset(progress.excluded)
        )

    def _record_choice(
        self, call: attempt_executor.ModelCall, decision: routing.Decision
    ) -> None:
        self._decisions.record(
            decision_log.DecisionEvent.ROUTED,
            call.request.request_id,
            runner_id=decision.runner.runner_id if decision.runner else None,
            group=[runner.runner_id for runner in decision.group],
            reason=decision.reason.value,
            estimates=[
                dataclasses.astuple(estimate) for estimate in decision.estimates
            ],
        )

    def _admit(
        self,
        call: attempt_executor.ModelCall,
        decision: routing.Decision,
        progress: attempt_executor.Progress,
    ) -> callers_api.Failure | None:
        if progress.tried and decision.runner is not None:
            # An admitted request is not refused at a later attempt, because
            # that would waste the work already done for it.
            return None
        admission_result = admission.decide(
            call.request,
            decision,
            self._load_meter.observe_request(call),
            self._clock(),
            self._rng,
        )
        match admission_result:
            case admission.Admitted():
                self._decisions.record(
                    decision_log.DecisionEvent.ADMITTED, call.request.request_id
                )
                return None
            case admission.Refused(reason, retry_after_ms):
                self._decisions.record(
                    decision_log.DecisionEvent.REFUSED,
                    call.request.request_id,
                    reason=reason.value,
                    retry_after_ms=retry_after_ms,
                )
                return callers_api.Failure(
                    _CODE_OF[reason],
                    f"refused: {reason.value}",
                    attempts.determine_ran(progress.tried),
                    retry_after_ms,
                )

    async def _attempt(
        self,
        call: attempt_executor.ModelCall,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: attempt_executor.Progress,
    ) -> attempt_executor.AttemptFailure | None:
        assert decision.runner is not None
        runner = decision.runner
        request = call.request
        attempt_id = ids.new_attempt_id(request.request_id, len(progress.tried) + 1)
        progress.tried.append(attempts.Attempt(attempt_id, runner.runner_id))
        progress.stream = streams.resume(progress.stream, attempt_id)
        entry = requests.InFlightAttempt(
            attempt_id,
            runner.runner_id,
            request.prompt_tokens,
            request.total_tokens - sum(decision.group_tokens),
            self._clock(),
        )
        self._in_flight.add(entry)
        ended = False
        try:
            async with self._groups.held(decision, request, attempt_id):
                progress.set_state(states.AttemptState.SENT)
                self._router.sent(request, entry)
                attempt_failure = await self._executor.run(
                    call, decision, answer, progress
                )
            ended = (
                attempt_failure is None
                or attempt_failure.reason in _NOT_STARTED_REASONS
            )
            self._observe_outcome(request.service, runner.runner_id, attempt_failure)
            return attempt_failure
        except group_memory.NoMemoryError:
            return attempt_executor.AttemptFailure(
                runner_client.RunnerErrorReason.REFUSED
            )
        finally:
            if ended:
                self._in_flight.end(runner, attempt_id)
            else:
                self._in_flight.abandon(runner, attempt_id)

    def _observe_outcome(
        self,
        service: ids.ServiceName,
        runner_id: ids.RunnerId,
        attempt_failure: attempt_executor.AttemptFailure | None,
    ) -> None:
        """Record the outcome; a runner that keeps failing is ejected."""
        ejections = self._router.ejections(service)
        if attempt_failure is None:
            ejections.observe_success(runner_id, self._clock())
        elif attempt_failure.reason in _RUNNER_FAULT_REASONS:
            ejections.observe_failure(runner_id, self._clock())


_RUNNER_FAULT_REASONS = {
    runner_client.RunnerErrorReason.UNSENT,
    runner_client.RunnerErrorReason.LOST,
    runner_client.RunnerErrorReason.TIMEOUT,
    runner_client.RunnerErrorReason.MALFORMED,
}
_NOT_STARTED_REASONS = {
    runner_client.RunnerErrorReason.UNSENT,
    runner_client.RunnerErrorReason.REFUSED,
}
_CODE_OF = {
    admission.RefusalReason.NO_RUNNER: callers_api.ErrorCode.NO_RUNNER,
    admission.RefusalReason.NO_MEMORY: callers_api.ErrorCode.OVERLOADED,
    admission.RefusalReason.TOO_LARGE: callers_api.ErrorCode.PROMPT_TOO_LARGE,
    admission.RefusalReason.PATIENCE: callers_api.ErrorCode.TOO_LATE,
    admission.RefusalReason.DAEMON_BUSY: callers_api.ErrorCode.OVERLOADED,
    admission.RefusalReason.OVERLOAD: callers_api.ErrorCode.OVERLOADED,
}
