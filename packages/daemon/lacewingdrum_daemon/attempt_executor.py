"""Runs one attempt of a model request and forwards its stream."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from result import Err

from lacewingdrum_coordination import attempts, routing, streams
from lacewingdrum_daemon import answers, membership_sync, stream_watchdog
from lacewingdrum_protocol import callers_api, runner_api
from lacewingdrum_runtime import metrics
from lacewingdrum_state import documents, fleet, ids, requests, states
from lacewingdrum_transport import runner_client

FIRST_PART_TIMEOUT_MIN_S = 5.0
FIRST_PART_TIMEOUT_FACTOR = 4.0
NEXT_PART_TIMEOUT_S = 3.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A parsed model request with its settings from the service document.

    ``share`` is the customer's weight relative to the service's other
    customers.
    """

    request: requests.Request
    body: callers_api.CompletionBody
    weights: documents.Weights
    share: float = 1.0


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a call; only the task that runs the call changes it."""

    stream: streams.Stream
    tried: list[attempts.Attempt] = dataclasses.field(default_factory=list)
    excluded: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    first_part_s: float | None = None

    def set_state(self, state: states.AttemptState) -> None:
        """Change the latest attempt's state; its first outcome is final."""
        latest = self.tried[-1]
        self.tried[-1] = attempts.change_state(latest, state).unwrap_or(latest)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Reason why an attempt did not complete the answer."""

    reason: runner_client.RunnerErrorReason


class AttemptExecutor:
    """Sends attempts to runners and forwards the parts of the answer."""

    def __init__(
        self,
        runners: runner_client.RunnerClient,
        members: membership_sync.MembershipSync,
        daemon_metrics: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._runners = runners
        self._probes = stream_watchdog.LoadProbes(runners)
        self._members = members
        self._metrics = daemon_metrics
        self._clock = clock

    async def run(
        self,
        call: ModelCall,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
    ) -> AttemptFailure | None:
        """Run the latest attempt of ``progress`` on the decision's runner.

        Args:
            call: the model request.
            decision: the chosen runner and its estimated times.
            answer: receives the parts in order.
            progress: is updated with the received parts and the outcome.

        Returns:
            Why the answer is not complete, or ``None`` if it is.

        Raises:
            TimeoutError: if the deadline passed while the process was
                suspended.
        """
        assert decision.runner is not None
        error = await self._send_with_watchdog(call, decision, answer, progress)
        if error is not None:
            return self._record_failure(error, decision.runner, progress)
        return _record_end(progress)

    async def _send_with_watchdog(
        self,
        call: ModelCall,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
    ) -> runner_client.RunnerError | None:
        """Send the attempt, and read its stream unless it goes silent."""
        assert decision.runner is not None
        try:
            async with asyncio.timeout(None) as silence_timeout:
                watchdog = stream_watchdog.StreamWatchdog(
                    self._probes,
                    decision.runner,
                    progress.tried[-1].attempt_id,
                    silence_timeout,
                    _expected_first_token_s(decision),
                    self._clock,
                )
                watchdog.start()
                try:
                    return await self._send(call, decision, answer, progress, watchdog)
                finally:
                    await watchdog.close()
        except TimeoutError:
            if not silence_timeout.expired():
                raise
            reason = runner_client.RunnerErrorReason.SILENT
            return runner_client.RunnerError(reason, None, "went silent")

    async def _send(
        self,
        call: ModelCall,
        decision: routing.Decision,
        answer: answers.Answer,
        progress: Progress,
        watchdog: stream_watchdog.StreamWatchdog,
    ) -> runner_client.RunnerError | None:
        assert decision.runner is not None
        expected_s = _expected_first_token_s(decision)
        timeout_s = max(
            FIRST_PART_TIMEOUT_MIN_S, FIRST_PART_TIMEOUT_FACTOR * expected_s
        )
        completion_call = self._completion_call(call, decision, answer, progress)
        opened = await self._runners.complete(
            decision.runner, completion_call, timeout_s
        )
        if isinstance(opened, Err):
            return opened.err_value
        stream = opened.ok_value
        try:
            return await self._read_stream(
                call, stream, answer, progress, watchdog, timeout_s
            )
        finally:
            await stream.close()

    async def _read_stream(
        self,
        call: ModelCall,
        stream: runner_client.CompletionStream,
        answer: answers.Answer,
        progress: Progress,
        watchdog: stream_watchdog.StreamWatchdog,
        timeout_s: float,
    ) -> runner_client.RunnerError | None:
        """Return why the stream broke, or ``None`` if it ended cleanly."""
        while True:
            received = await stream.next(timeout_s)
            if self._clock() >= call.request.deadline_s:
                # After a suspension of this process, received parts and the
                # deadline are processed together. The deadline takes
                # precedence.
                raise TimeoutError
            if isinstance(received, Err):
                return received.err_value
            if received.ok_value is None:
                return None
            watchdog.record_part()
            await self._add_part(call, received.ok_value, answer, progress)
            timeout_s = NEXT_PART_TIMEOUT_S

    async def _add_part(
        self,
        call: ModelCall,
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
        progress.stream, accepted, dropped = streams.add_part(progress.stream, part)
        for dropped_part in dropped:
            _log.warning(
                "part dropped",
                extra={
                    "request_id": call.request.request_id,
                    "reason": dropped_part.reason.value,
                },
            )
        if accepted and progress.first_part_s is None:
            progress.first_part_s = self._clock()
            self._metrics.time(
                metrics.Timing.FIRST_TOKEN,
                call.request.service,
                requests.length_class(call.request.prompt_tokens),
                progress.first_part_s - call.request.received_s,
            )
        for accepted_part in accepted:
            await answer.append_part(accepted_part)

    def _record_failure(
        self,
        error: runner_client.RunnerError,
        runner: fleet.Runner,
        progress: Progress,
    ) -> AttemptFailure:
        match error.reason:
            case runner_client.RunnerErrorReason.REFUSED:
                progress.set_state(states.AttemptState.REFUSED_BY_RUNNER)
                if error.refusal is runner_api.RefusalReason.LEAVING:
                    self._members.mark_runner_leaving(
                        runner.runner_id, runner.incarnation
                    )
            case runner_client.RunnerErrorReason.UNSENT:
                # No byte was sent, so the runner cannot have started the
                # attempt. Its state has been SENT since before the call, and
                # REFUSED_BY_RUNNER is the outcome that also means not run.
                progress.set_state(states.AttemptState.REFUSED_BY_RUNNER)
            case _:
                progress.set_state(states.AttemptState.UNKNOWN)
        return AttemptFailure(error.reason)

    def _completion_call(
        self,
        call: ModelCall,
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


def _record_end(progress: Progress) -> AttemptFailure | None:
    if progress.stream.is_complete:
        progress.set_state(states.AttemptState.ANSWERED)
        return None
    progress.set_state(states.AttemptState.UNKNOWN)
    return AttemptFailure(runner_client.RunnerErrorReason.MALFORMED)


def _expected_first_token_s(decision: routing.Decision) -> float:
    """Return the estimated time to first token on the chosen runner."""
    assert decision.runner is not None
    for estimate in decision.estimates:
        if estimate.runner_id == decision.runner.runner_id:
            return estimate.first_token_s
    return 0.0
