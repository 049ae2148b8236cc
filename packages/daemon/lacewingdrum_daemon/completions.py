"""Runs one model request: admission, attempts, resumption and its end.

The deadline covers everything from the first byte read to the last byte
passed on. A stream that broke is continued by another runner from the
tokens passed on already, never started again.
"""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from result import Err

from lacewingdrum_coordination import admission, attempts, retries, routing, streams
from lacewingdrum_daemon import (
    answers,
    decision_log,
    group_memory,
    in_flight,
    members_keeper,
    metrics,
)
from lacewingdrum_protocol import callers_api, runner_api
from lacewingdrum_state import documents, fleet, ids, requests, states
from lacewingdrum_transport import runner_client

FIRST_PART_FLOOR_S = 5.0
FIRST_PART_FACTOR = 4.0
NEXT_PART_S = 3.0
CONNECT_S = 2.0
MAX_ATTEMPTS = 6

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A parsed request together with what the document says of it."""

    request: requests.Request
    body: callers_api.CompletionBody
    weights: documents.Weights


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a call has come; owned by the one task that runs it."""

    stream: streams.Stream
    tried: list[attempts.Attempt] = dataclasses.field(default_factory=list)
    excluded: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    first_part_s: float | None = None

    def move(self, state: states.AttemptState) -> None:
        """Change the latest attempt's state; the first outcome stands."""
        latest = self.tried[-1]
        self.tried[-1] = attempts.move(latest, state).unwrap_or(latest)


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """An attempt that did not bring the whole answer.

    ``may_retry`` is false where no other runner can do better.
    """

    reason: runner_client.RunnerErrorReason
    may_retry: bool = True


class Completions:
    """Runs completions on the runners of a model service."""

    def __init__(
        self,
        router: routing.Router,
        runners: runner_client.RunnerClient,
        table: in_flight.InFlightTable,
        members: members_keeper.MembersKeeper,
        groups: group_memory.GroupMemory,
        budget: retries.Budget,
        decisions: decision_log.DecisionLog,
        figures: metrics.Metrics,
        pressure: Callable[[], admission.Pressure],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._router = router
        self._runners = runners
        self._in_flight = table
        self._members = members
        self._groups = groups
        self._budget = budget
        self._decisions = decisions
        self._figures = figures
        self._pressure = pressure
        self._clock = clock
        self._rng = rng

    async def run(
        self, call: Call, answer: answers.Answer
    ) -> callers_api.Failure | None:
        """Answer a call by its deadline, whole or with a failure.

        Args:
            call: the request.
            answer: where the answer goes.

        Returns:
            The failure that the caller was given; ``None`` for an answer.
        """
        progress = Progress(streams.begin(ids.AttemptId("")))
        self._budget.note_request()
        try:
            async with asyncio.timeout_at(call.request.deadline_s):
                failure = await self._attempt_until_done(call, answer, progress)
                if failure is None:
                    await answer.finish(progress.stream)
        except TimeoutError:
            failure = self._expired(progress)
        except ConnectionError:
            # The caller is gone: nobody reads this failure, but it is
            # counted and logged like any other.
            failure = callers_api.Failure(
                callers_api.ErrorCode.PATIENCE_OVER,
                "the caller closed the connection",
                attempts.ran(progress.tried),
            )
        if failure is not None:
            await answer.fail(failure)
        return failure

    def _expired(self, progress: Progress) -> callers_api.Failure:
        return callers_api.Failure(
            callers_api.ErrorCode.PATIENCE_OVER,
            "the patience is over",
            attempts.ran(progress.tried),
            retry_after_ms=int(1000 * self._rng.uniform(1.0, 3.0)),
        )

    async def _attempt_until_done(
        self, call: Call, answer: answers.Answer, progress: Progress
    ) -> callers_api.Failure | None:
        while len(progress.tried) < MAX_ATTEMPTS:
            decision = self._choose(call, progress)
            verdict = self._admit(call, decision, progress)
            if verdict is not None:
                return verdict
            assert decision.runner is not None
            broken = await self._attempt(call, decision, answer, progress)
            if broken is None:
                return None
            if not broken.may_retry or not self._budget.take(self._clock()):
                break
            progress.excluded.add(decision.runner.runner_id)
        ran = attempts.ran(progress.tried)
        return callers_api.Failure(
            callers_api.ErrorCode.RUNNER_LOST,
            "no runner brought the whole answer",
            ran,
            retry_after_ms=int(1000 * self._rng.uniform(0.5, 2.0)),
        )

    def _choose(self, call: Call, progress: Progress) -> routing.Decision:
        decision = self._router.choose(
            call.request, call.weights, self._clock(), frozenset(progress.excluded)
        )
        self._decisions.record(
            decision_log.DecisionEvent.ROUTED,
            call.request.request_id,
            runner_id=decision.runner.runner_id if decision.runner else None,
            group=[runner.runner_id for runner in decision.group],
            reason=decision.reason.value,
            estimates=[dataclasses.astuple(found) for found in decision.estimates],
        )
        return decision

    def _admit(
        self, call: Call, decision: routing.Decision, progress: Progress
    ) -> callers_api.Failure | None:
        if progress.tried and decision.runner is not None:
            # A request that was admitted is kept: refusing it now would
            # give up work already done.
            return None
        verdict = admission.decide(
            call.request, decision, self._pressure(), self._clock(), self._rng
        )
        match verdict:
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
                    attempts.ran(progress.tried),
                    retry_after_ms,
                )

    async def _attempt(
        self,
        call: Call,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
    ) -> Broken | None:
        assert decision.runner is not None
        runner = decision.runner
        request = call.request
        attempt_id = ids.new_attempt_id(request.request_id, len(progress.tried) + 1)
        progress.tried.append(attempts.Attempt(attempt_id, runner.runner_id))
        progress.stream = streams.resume(progress.stream, attempt_id)
        entry = requests.InFlight(
            attempt_id,
            runner.runner_id,
            request.prompt_tokens,
            request.total_tokens,
            self._clock(),
        )
        self._in_flight.add(entry)
        self._router.sent(request, entry)
        ended = False
        try:
            async with self._groups.held(decision.group, runner, request, attempt_id):
                progress.move(states.AttemptState.SENT)
                broken = await self._stream(call, decision, answer, progress)
            ended = broken is None or broken.reason in _ENDED_BY_RUNNER
            return broken
        except group_memory.NoMemory:
            return Broken(runner_client.RunnerErrorReason.REFUSED)
        finally:
            if ended:
                self._in_flight.end(runner, attempt_id)
            else:
                self._in_flight.abandon(runner, attempt_id)

    async def _stream(
        self,
        call: Call,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
    ) -> Broken | None:
        assert decision.runner is not None
        opened = await self._runners.complete(
            decision.runner,
            self._call_message(call, decision, answer, progress),
            self._first_part_limit_s(decision),
        )
        if isinstance(opened, Err):
            return self._failed(opened.err_value, decision.runner, progress)
        stream = opened.ok_value
        limit_s = self._first_part_limit_s(decision)
        try:
            while True:
                received = await stream.next(limit_s)
                if self._clock() >= call.request.deadline_s:
                    # After a pause of this process, parts and the expiry
                    # are due together; the expiry comes first.
                    raise TimeoutError
                if isinstance(received, Err):
                    return self._failed(received.err_value, decision.runner, progress)
                if received.ok_value is None:
                    return self._ended(progress)
                await self._take(call, received.ok_value, answer, progress)
                limit_s = NEXT_PART_S
        finally:
            await stream.close()

    async def _take(
        self,
        call: Call,
        received: runner_api.CompletionPart,
        answer: answers.Answer,
        progress: Progress,
    ) -> None:
        part = streams.Part(
            ids.AttemptId(received.attempt_id),
            received.offset,
            received.token_count,
            received.text,
            received.finish_reason,
        )
        progress.stream, passed, dropped = streams.take(progress.stream, part)
        for found in dropped:
            _log.warning(
                "part dropped",
                extra={
                    "request_id": call.request.request_id,
                    "reason": found.reason.value,
                },
            )
        if passed and progress.first_part_s is None:
            progress.first_part_s = self._clock()
            self._figures.time(
                metrics.Timing.FIRST_TOKEN,
                call.request.service,
                requests.length_class(call.request.prompt_tokens),
                progress.first_part_s - call.request.received_s,
            )
        for ready in passed:
            await answer.pass_on(ready)

    def _ended(self, progress: Progress) -> Broken | None:
        if progress.stream.is_whole:
            progress.move(states.AttemptState.ANSWERED)
            return None
        progress.move(states.AttemptState.UNKNOWN)
        return Broken(runner_client.RunnerErrorReason.MALFORMED)

    def _failed(
        self,
        error: runner_client.RunnerError,
        runner: fleet.Runner,
        progress: Progress,
    ) -> Broken:
        match error.reason:
            case runner_client.RunnerErrorReason.REFUSED:
                progress.move(states.AttemptState.REFUSED_BY_RUNNER)
                if error.refusal is runner_api.RefusalReason.LEAVING:
                    self._members.mark_runner_leaving(
                        runner.runner_id, runner.incarnation
                    )
            case runner_client.RunnerErrorReason.UNSENT:
                # No byte left, so the runner cannot have started it; the
                # attempt was moved to sent before the call and a refusal
                # is the outcome that says the same.
                progress.move(states.AttemptState.REFUSED_BY_RUNNER)
            case _:
                progress.move(states.AttemptState.UNKNOWN)
        return Broken(error.reason)

    def _call_message(
        self,
        call: Call,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
    ) -> runner_api.CompletionCall:
        request = call.request
        left_s = request.deadline_s - self._clock()
        return runner_api.CompletionCall(
            attempt_id=progress.tried[-1].attempt_id,
            prompt=call.body.prompt + answer.text,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            priority=runner_api.Priority(decision.priority),
            patience_ms=max(1, int(1000 * left_s)),
            resume_offset=progress.stream.next_offset,
            resume_text=answer.text,
            group=tuple(str(runner.runner_id) for runner in decision.group),
            block_hashes=request.block_hashes,
        )

    def _first_part_limit_s(self, decision: routing.Decision) -> float:
        assert decision.runner is not None
        for estimate in decision.estimates:
            if estimate.runner_id == decision.runner.runner_id:
                expected_s = FIRST_PART_FACTOR * estimate.first_token_s
                return max(FIRST_PART_FLOOR_S, expected_s)
        return FIRST_PART_FLOOR_S


_ENDED_BY_RUNNER = {
    runner_client.RunnerErrorReason.UNSENT,
    runner_client.RunnerErrorReason.REFUSED,
}
_CODE_OF = {
    admission.RefusalReason.NO_RUNNER: callers_api.ErrorCode.NO_RUNNER,
    admission.RefusalReason.NO_MEMORY: callers_api.ErrorCode.OVERLOADED,
    admission.RefusalReason.PATIENCE: callers_api.ErrorCode.TOO_LATE,
    admission.RefusalReason.DAEMON_BUSY: callers_api.ErrorCode.OVERLOADED,
    admission.RefusalReason.OVERLOAD: callers_api.ErrorCode.OVERLOADED,
}
