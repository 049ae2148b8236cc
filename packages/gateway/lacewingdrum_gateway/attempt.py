"""Sends an attempt to a runner and classifies how it ended."""

import dataclasses
import enum
from collections.abc import Callable

from result import Err, Ok, Result

from lacewingdrum_coordination import runner_health
from lacewingdrum_daemon import decision_log, metrics
from lacewingdrum_gateway import runner_notices, work_sync
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_state import fleet, requests, runner_entries, states
from lacewingdrum_transport import http_client, http_messages

FAILURE_BODY_TIMEOUT_S = 1.0
# A silent runner is suspected only if it has been silent towards all requests
# for this long, because one request may wait while the runner serves others.
SUSPECT_SILENCE_S = 0.7
FAILURE_BODY_MAX_BYTES = 1024 * 1024
# Callers take these statuses to mean that the request has not run.
STATUSES_NOT_FORWARDED = frozenset((408, 421, 429, 503))


class EndReason(enum.Enum):
    """Why an attempt ended without an answer to forward."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    OTHER_RUNNER = "other_runner"
    HELPER_FAILED = "helper_failed"
    NO_MEMORY = "no_memory"
    FAILED_STATUS = "failed_status"
    LOST = "lost"
    MALFORMED = "malformed"
    SILENT = "silent"
    FOREIGN_ANSWER = "foreign_answer"
    NO_RECEIPT = "no_receipt"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt without a successful answer.

    ``state`` says whether the request may have run. ``answer`` is a failure
    that the runner answered; it is forwarded if no later attempt succeeds.
    ``at_fault`` is the address of the helper that failed, if known.
    """

    state: states.AttemptState
    reason: EndReason
    detail: str = ""
    answer: http_messages.HttpResponse | None = None
    at_fault: fleet.Address | None = None


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
        notices: runner_notices.RunnerNotices,
        work_updates: work_sync.WorkSync,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._client = client
        self._health = health
        self._notices = notices
        self._work_updates = work_updates
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
    ) -> Result[http_client.ResponseReader, AttemptEnd]:
        """Send a request and wait for the head of a successful answer.

        Args:
            entry: the runner.
            outgoing: the request.
            delivery: the headers of this attempt.
            timeout_s: the time limit for the head of the answer.
            on_new_connection: whether to open a new connection instead of
                reusing one.

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
        )
        if isinstance(opened, Err):
            return Err(_open_failure(opened.err_value))
        reader = opened.ok_value
        answer_headers = platform_headers.parse_runner_headers(
            reader.status, reader.headers
        )
        end = _head_failure(outgoing, reader.status, answer_headers)
        if end is None or end.reason is not EndReason.FOREIGN_ANSWER:
            self._notices.observe(entry, answer_headers)
        if end is not None:
            await reader.close()
            return Err(end)
        if http_messages.is_success(reader.status):
            return Ok(reader)
        return Err(await _read_failure(reader))

    def record_contact(self, entry: runner_entries.RunnerEntry) -> None:
        """Record that a part of an answer has arrived from a runner."""
        self._health.record_contact(entry.runner_id, self._clock())

    def record_end(
        self,
        entry: runner_entries.RunnerEntry,
        end: AttemptEnd | None,
        sent_s: float,
    ) -> None:
        """Update the health of a runner after an attempt.

        Args:
            entry: the runner.
            end: the end of the attempt; None for a whole answer.
            sent_s: the start time of the attempt.
        """
        now_s = self._clock()
        if end is None or end.state is states.AttemptState.ANSWERED:
            self._health.record_contact(entry.runner_id, now_s)
        if end is None:
            self._health.record_attempt(entry.runner_id, False, now_s)
            return
        silent_s = min(self._health.silent_s(entry.runner_id, now_s), now_s - sent_s)
        is_silent_too_long = (
            end.reason is EndReason.SILENT and silent_s > SUSPECT_SILENCE_S
        )
        if is_silent_too_long or end.reason in (
            EndReason.NOT_CONNECTED,
            EndReason.OTHER_RUNNER,
        ):
            self._suspect(entry, end.reason, end.detail)
        if end.reason in (EndReason.HELPER_FAILED, EndReason.NO_MEMORY):
            return
        self._health.record_attempt(entry.runner_id, True, now_s)

    def report_unreachable(
        self, entry: runner_entries.RunnerEntry, detail: str
    ) -> None:
        """Suspect an engine that did not answer a memory reservation."""
        self._suspect(entry, EndReason.NO_MEMORY, detail)

    def _suspect(
        self, entry: runner_entries.RunnerEntry, reason: EndReason, detail: str
    ) -> None:
        runner_id = entry.runner_id
        if self._health.suspect(runner_id, self._clock()):
            self._work_updates.report_suspected(runner_id)
            self._counts.count("runner_suspicions", reason=reason.value)
            self._decisions.record(
                decision_log.DecisionEvent.RUNNER_SUSPECTED,
                None,
                runner_id=runner_id,
                reason=reason,
                detail=detail,
            )


def _open_failure(error: http_client.HttpClientError) -> AttemptEnd:
    detail = f"{error.reason.value} {error.detail}".strip()
    if not error.may_have_been_sent:
        return AttemptEnd(states.AttemptState.UNSENT, EndReason.NOT_CONNECTED, detail)
    return _unknown_outcome(error, detail)


async def _read_failure(reader: http_client.ResponseReader) -> AttemptEnd:
    """Read the body of a failure, which may be forwarded."""
    status = reader.status
    body = await read_whole(reader, FAILURE_BODY_TIMEOUT_S, FAILURE_BODY_MAX_BYTES)
    detail = f"status {status}"
    if isinstance(body, Err):
        return body.err_value
    if status in STATUSES_NOT_FORWARDED:
        # The runner did not state that the request has not run, so an answer
        # from which the caller would conclude this is not forwarded.
        return AttemptEnd(states.AttemptState.UNKNOWN, EndReason.FAILED_STATUS, detail)
    answer = http_messages.HttpResponse(status, reader.headers, body.ok_value)
    return AttemptEnd(
        states.AttemptState.ANSWERED, EndReason.FAILED_STATUS, detail, answer
    )


async def read_whole(
    reader: http_client.ResponseReader, timeout_s: float, limit_bytes: int
) -> Result[bytes, AttemptEnd]:
    """Read the whole body of an answer.

    Args:
        reader: the answer; it is closed at the end.
        timeout_s: the time limit for the whole body.
        limit_bytes: the maximum size of the body.

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
                return Err(body_failure(part.err_value))
            if not part.ok_value:
                return Ok(b"".join(parts))
            size_bytes += len(part.ok_value)
            if size_bytes > limit_bytes:
                detail = f"over {limit_bytes} bytes"
                unknown = states.AttemptState.UNKNOWN
                return Err(AttemptEnd(unknown, EndReason.MALFORMED, detail))
            parts.append(part.ok_value)
    finally:
        await reader.close()


def body_failure(error: http_client.HttpClientError) -> AttemptEnd:
    """Return the end of an attempt whose answer body failed."""
    detail = f"in the body: {error.reason.value} {error.detail}".strip()
    return _unknown_outcome(error, detail)


def _unknown_outcome(error: http_client.HttpClientError, detail: str) -> AttemptEnd:
    """Return the end of a sent attempt without a complete answer."""
    reasons = {
        http_client.ClientErrorReason.TIMEOUT: EndReason.SILENT,
        http_client.ClientErrorReason.MALFORMED: EndReason.MALFORMED,
    }
    reason = reasons.get(error.reason, EndReason.LOST)
    return AttemptEnd(states.AttemptState.UNKNOWN, reason, detail)


def _head_failure(
    outgoing: Outgoing, status: int, answer_headers: requests.RunnerHeaders
) -> AttemptEnd | None:
    """Return the end of the attempt if the head shows a failure."""
    unknown = states.AttemptState.UNKNOWN
    is_success = http_messages.is_success(status)
    is_of_other_attempt = answer_headers.attempt_id not in ("", outgoing.attempt_id)
    if is_of_other_attempt or (
        is_success and answer_headers.attempt_id != outgoing.attempt_id
    ):
        return AttemptEnd(unknown, EndReason.FOREIGN_ANSWER, f"status {status}")
    if answer_headers.says_not_run and not is_success:
        reason = (
            EndReason.OTHER_RUNNER
            if answer_headers.is_other_runner
            else EndReason.REFUSED
        )
        if answer_headers.at_fault is not None:
            reason = EndReason.HELPER_FAILED
        return AttemptEnd(
            states.AttemptState.REFUSED_BY_RUNNER,
            reason,
            f"status {status}",
            at_fault=answer_headers.at_fault,
        )
    if is_success and (not answer_headers.has_receipt or answer_headers.is_encoded):
        return AttemptEnd(unknown, EndReason.NO_RECEIPT, f"status {status}")
    return None
