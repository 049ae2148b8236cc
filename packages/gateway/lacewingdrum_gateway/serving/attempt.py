"""Sends attempts to runners and reads their answers."""

import contextlib
import dataclasses
import functools
from collections.abc import Callable

from result import Err, Ok, Result

from lacewingdrum_coordination import runner_health
from lacewingdrum_gateway.runners import reach_monitor, runner_notices, work_sync
from lacewingdrum_gateway.serving import answer_memory, attempt_ends
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import runner_entries, states
from lacewingdrum_transport import http_client, http_messages

FAILURE_BODY_TIMEOUT_S = 1.0
# A silent runner is suspected only if it has been silent towards all requests
# for this long, because one request may wait while the runner serves others.
SUSPECT_SILENCE_S = 0.7
# Callers take these statuses to mean that the request has not run.
STATUSES_NOT_FORWARDED = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A caller's request in the form that is sent to runners."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    attempt_id: str


class AttemptSender:
    """Sends attempts and records what they show about their runners."""

    def __init__(
        self,
        client: http_client.HttpClient,
        health: runner_health.RunnerHealth,
        reach: reach_monitor.ReachMonitor,
        notices: runner_notices.RunnerNotices,
        work_updates: work_sync.WorkSync,
        answers: answer_memory.AnswerMemory,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._client = client
        self._health = health
        self._reach = reach
        self._notices = notices
        self._work_updates = work_updates
        self._answers = answers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts

    async def open(
        self,
        entry: runner_entries.RunnerEntry,
        outgoing: Outgoing,
        attempt_headers: platform_headers.AttemptHeaders,
        timeout_s: float,
        on_new_connection: bool,
        on_send: Callable[[], None],
        may_send: Callable[[], bool],
        connect_timeout_s: float,
        on_part_taken: Callable[[], None],
    ) -> Result[http_client.ResponseReader, attempt_ends.AttemptEnd]:
        """Send a request and wait for the head of a successful answer.

        Args:
            entry: the runner.
            outgoing: the request.
            attempt_headers: the headers to add for this attempt.
            timeout_s: the time limit for the head of the answer.
            on_new_connection: whether to open a new connection instead of
                reusing one.
            on_send: called before the first byte is sent.
            may_send: whether the attempt may still begin once it is connected.
            connect_timeout_s: the time limit for a new connection.
            on_part_taken: called when the runner has taken a part of a long
                body, and more is to be sent.

        Returns:
            The answer, which the caller of this method closes, or the end of
            the attempt.
        """
        opened = await self._client.open(
            entry.address,
            outgoing.method,
            outgoing.target,
            platform_headers.runner_request_headers(outgoing.headers, attempt_headers),
            outgoing.body,
            timeout_s,
            on_new_connection=on_new_connection,
            allow_close_delimited=True,
            on_send=on_send,
            may_send=may_send,
            connect_timeout_s=connect_timeout_s,
            on_part_taken=on_part_taken,
        )
        if isinstance(opened, Err):
            return Err(attempt_ends.open_failure(opened.err_value))
        reader = opened.ok_value
        answer_headers = platform_headers.parse_runner_headers(
            reader.status, reader.headers
        )
        end = attempt_ends.head_failure(
            outgoing.attempt_id,
            reader.status,
            answer_headers,
            reader.is_first_on_connection,
        )
        if end is None or end.reason is not attempt_ends.EndReason.FOREIGN_ANSWER:
            self._notices.observe(entry, answer_headers)
        if end is not None:
            await reader.close()
            return Err(end)
        if http_messages.is_success(reader.status):
            return Ok(reader)
        return Err(await self._read_failure(reader))

    def record_contact(self, entry: runner_entries.RunnerEntry) -> None:
        """Record that a part of an answer has arrived from a runner."""
        self._health.record_contact(entry.runner_id, self._clock())
        self._reach.record_contact()

    def record_end(
        self,
        entry: runner_entries.RunnerEntry,
        end: attempt_ends.AttemptEnd | None,
        sent_s: float,
        was_silent: bool,
    ) -> None:
        """Update the health of a runner after an attempt.

        Args:
            entry: the runner.
            end: the end of the attempt; None for a whole answer.
            sent_s: the start time of the attempt.
            was_silent: whether the runner was silent too long in between.
        """
        now_s = self._clock()
        if end is None or end.state is states.AttemptState.ANSWERED:
            self.record_contact(entry)
        self._check_reach(end, sent_s)
        if end is None:
            self._health.record_attempt(entry.runner_id, False, now_s)
            return
        if end.reason is attempt_ends.EndReason.SILENT:
            self._suspect_if_silent(entry, sent_s, end.detail)
        if end.reason in (
            attempt_ends.EndReason.NOT_CONNECTED,
            attempt_ends.EndReason.OTHER_RUNNER,
            attempt_ends.EndReason.TOO_LARGE,
        ):
            self._suspect(entry, end.reason, end.detail)
        says_nothing = end.reason in (
            attempt_ends.EndReason.HELPER_FAILED,
            attempt_ends.EndReason.NO_MEMORY,
            attempt_ends.EndReason.REPLACED,
            attempt_ends.EndReason.EVACUATED,
            attempt_ends.EndReason.WITHHELD,
        )
        is_sound = end.reason is attempt_ends.EndReason.SUPERSEDED and not was_silent
        if says_nothing or is_sound:
            return
        self._health.record_attempt(entry.runner_id, True, now_s)

    def record_silence(
        self, entry: runner_entries.RunnerEntry, sent_s: float, since_s: float
    ) -> None:
        """Update what is known of a runner that is silent towards an attempt.

        Args:
            entry: the runner.
            sent_s: the start time of the attempt.
            since_s: since when the runner has been silent.
        """
        self._reach.report_silence(sent_s)
        self._suspect_if_silent(entry, since_s, "in an open attempt")

    def close_idle_connections(self, entry: runner_entries.RunnerEntry) -> None:
        """Close connections that the cause of a silence may have broken."""
        self._client.close_idle(entry.address)

    def record_resumed(self, entry: runner_entries.RunnerEntry) -> None:
        """End the suspicion of a runner that was silent and goes on."""
        self._health.clear_suspicion(entry.runner_id)

    def is_unreachable(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether a runner accepts no connection, as others do."""
        is_cut_off = self._reach.is_cut_off
        return not is_cut_off and self._health.is_unreachable(entry.runner_id)

    def _suspect_if_silent(
        self, entry: runner_entries.RunnerEntry, since_s: float, detail: str
    ) -> None:
        now_s = self._clock()
        silent_s = min(self._health.silent_s(entry.runner_id, now_s), now_s - since_s)
        if silent_s > SUSPECT_SILENCE_S:
            self._suspect(entry, attempt_ends.EndReason.SILENT, detail)

    def _check_reach(self, end: attempt_ends.AttemptEnd | None, sent_s: float) -> None:
        match end.reason if end is not None else None:
            case attempt_ends.EndReason.NOT_CONNECTED:
                self._reach.report_unconnected(sent_s)
            case attempt_ends.EndReason.SILENT | attempt_ends.EndReason.LOST:
                self._reach.report_silence(sent_s)

    def report_unreachable(
        self, entry: runner_entries.RunnerEntry, detail: str
    ) -> None:
        """Suspect an engine that did not answer a memory reservation."""
        self._suspect(entry, attempt_ends.EndReason.NO_MEMORY, detail)

    async def _read_failure(
        self, reader: http_client.ResponseReader
    ) -> attempt_ends.AttemptEnd:
        """Read the body of a failure, which may be forwarded."""
        status = reader.status
        with contextlib.closing(self._answers.hold()) as held:
            body = await read_whole(reader, FAILURE_BODY_TIMEOUT_S, held)
        detail = f"status {status}"
        if isinstance(body, Err):
            return body.err_value
        if status in STATUSES_NOT_FORWARDED:
            # The runner did not state that the request has not run, so no
            # answer that lets the caller conclude this is forwarded.
            return attempt_ends.AttemptEnd(
                states.AttemptState.UNKNOWN,
                attempt_ends.EndReason.FAILED_STATUS,
                detail,
            )
        answer = http_messages.HttpResponse(status, reader.headers, body.ok_value)
        return attempt_ends.AttemptEnd(
            states.AttemptState.ANSWERED,
            attempt_ends.EndReason.FAILED_STATUS,
            detail,
            answer,
        )

    def _suspect(
        self,
        entry: runner_entries.RunnerEntry,
        reason: attempt_ends.EndReason,
        detail: str,
    ) -> None:
        runner_id = entry.runner_id
        if reason is attempt_ends.EndReason.NOT_CONNECTED:
            self._health.record_unconnected(runner_id, self._clock())
        if self._health.suspect(runner_id, self._clock()):
            self._reach.call_unless_cut_off(
                functools.partial(self._work_updates.report_suspected, runner_id)
            )
            self._counts.count("runner_suspicions", reason=reason.value)
            self._decisions.record(
                decision_log.DecisionEvent.RUNNER_SUSPECTED,
                None,
                runner_id=runner_id,
                reason=reason,
                detail=detail,
            )


async def read_whole(
    reader: http_client.ResponseReader,
    timeout_s: float,
    held: answer_memory.HeldAnswer,
) -> Result[bytes, attempt_ends.AttemptEnd]:
    """Read the whole body of an answer.

    Args:
        reader: the answer; it is closed at the end.
        timeout_s: the time limit for the whole body.
        held: the memory that the body occupies.

    Returns:
        The body, or the end of the attempt.
    """
    parts: list[bytes] = []
    size_bytes = 0
    clock = reader.clock
    deadline_s = clock() + timeout_s
    try:
        while True:
            part = await reader.read(max(deadline_s - clock(), 0.0))
            if isinstance(part, Err):
                return Err(attempt_ends.body_failure(part.err_value))
            if not part.ok_value:
                return Ok(b"".join(parts))
            size_bytes += len(part.ok_value)
            if not held.resize(size_bytes, len(parts)):
                detail = f"no room for {size_bytes} bytes"
                unknown = states.AttemptState.UNKNOWN
                return Err(
                    attempt_ends.AttemptEnd(
                        unknown, attempt_ends.EndReason.TOO_LARGE, detail
                    )
                )
            parts.append(part.ok_value)
    finally:
        await reader.close()
