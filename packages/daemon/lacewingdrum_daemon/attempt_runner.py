"""Runs one attempt of a model request and reads its stream."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from result import Err

from lacewingdrum_coordination import attempts, routing, streams
from lacewingdrum_daemon import answers, membership_sync, metrics, silence_watch
from lacewingdrum_protocol import callers_api, runner_api
from lacewingdrum_state import documents, fleet, ids, requests, states
from lacewingdrum_transport import runner_client

FIRST_PART_FLOOR_S = 5.0
FIRST_PART_FACTOR = 4.0
NEXT_PART_S = 3.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A parsed request together with what the document says of it.

    ``share`` weighs its customer against the service's others.
    """

    request: requests.Request
    body: callers_api.CompletionBody
    weights: documents.Weights
    share: float = 1.0


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
        self.tried[-1] = attempts.change_state(latest, state).unwrap_or(latest)


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """An attempt that did not bring the whole answer."""

    reason: runner_client.RunnerErrorReason


class AttemptRunner:
    """Sends attempts and passes on what belongs to the answer."""

    def __init__(
        self,
        runners: runner_client.RunnerClient,
        members: membership_sync.MembershipSync,
        figures: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._runners = runners
        self._probes = silence_watch.LoadProbes(runners)
        self._members = members
        self._figures = figures
        self._clock = clock

    async def run(
        self,
        call: Call,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
    ) -> Broken | None:
        """Run the latest attempt of ``progress`` on the decision's runner.

        Args:
            call: the request.
            decision: names the runner, and what it is thought to need.
            answer: takes the parts in order.
            progress: is moved on.

        Returns:
            Why the answer is not whole; ``None`` if it is.

        Raises:
            TimeoutError: when the deadline passed while the process stood
                still.
        """
        assert decision.runner is not None
        error = await self._send_watched(call, decision, answer, progress)
        if error is not None:
            return self._failed(error, decision.runner, progress)
        return _ended(progress)

    async def _send_watched(
        self,
        call: Call,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
    ) -> runner_client.RunnerError | None:
        """Send the attempt and read it, unless its connection is silent."""
        assert decision.runner is not None
        try:
            async with asyncio.timeout(None) as guard:
                watch = silence_watch.SilenceWatch(
                    self._probes,
                    decision.runner,
                    progress.tried[-1].attempt_id,
                    guard,
                    _expected_first_s(decision),
                    self._clock,
                )
                watch.start()
                try:
                    return await self._send(call, decision, answer, progress, watch)
                finally:
                    await watch.close()
        except TimeoutError:
            if not guard.expired():
                raise
            reason = runner_client.RunnerErrorReason.SILENT
            return runner_client.RunnerError(reason, None, "went silent")

    async def _send(
        self,
        call: Call,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
        watch: silence_watch.SilenceWatch,
    ) -> runner_client.RunnerError | None:
        assert decision.runner is not None
        expected_s = _expected_first_s(decision)
        limit_s = max(FIRST_PART_FLOOR_S, FIRST_PART_FACTOR * expected_s)
        message = self._message(call, decision, answer, progress)
        opened = await self._runners.complete(decision.runner, message, limit_s)
        if isinstance(opened, Err):
            return opened.err_value
        stream = opened.ok_value
        try:
            return await self._read(call, stream, answer, progress, watch, limit_s)
        finally:
            await stream.close()

    async def _read(
        self,
        call: Call,
        stream: runner_client.CompletionStream,
        answer: answers.Answer,
        progress: Progress,
        watch: silence_watch.SilenceWatch,
        limit_s: float,
    ) -> runner_client.RunnerError | None:
        """Returns: why the stream broke; ``None`` at its clean end."""
        while True:
            received = await stream.next(limit_s)
            if self._clock() >= call.request.deadline_s:
                # After a pause of this process, parts and the expiry are
                # due together; the expiry comes first.
                raise TimeoutError
            if isinstance(received, Err):
                return received.err_value
            if received.ok_value is None:
                return None
            watch.heard()
            await self._take(call, received.ok_value, answer, progress)
            limit_s = NEXT_PART_S

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
        progress.stream, passed, dropped = streams.add_part(progress.stream, part)
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

    def _message(
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
            group_tokens=decision.group_tokens,
            block_hashes=request.block_hashes,
        )


def _ended(progress: Progress) -> Broken | None:
    if progress.stream.is_complete:
        progress.move(states.AttemptState.ANSWERED)
        return None
    progress.move(states.AttemptState.UNKNOWN)
    return Broken(runner_client.RunnerErrorReason.MALFORMED)


def _expected_first_s(decision: routing.Decision) -> float:
    """Returns: the estimated time to first token on the chosen runner."""
    assert decision.runner is not None
    for estimate in decision.estimates:
        if estimate.runner_id == decision.runner.runner_id:
            return estimate.first_token_s
    return 0.0
