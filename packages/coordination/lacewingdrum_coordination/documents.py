"""State machine that commits a submitted document.

A submission based on version n is committed as version n + 1 by writing a row
that must not exist yet. The row holds the submission id. A commit whose reply
was lost is resolved by retrying the same write: the table then replies with
the row that exists, whose submission id shows which submission wrote it. If
no reply arrives in time the result is ``Unresolved``, and the same submission
can be submitted again at any daemon. ``Conflict`` is returned if the base does
not exist, or if the row of the next version exists and does not hold this
submission or cannot be decoded. A write of this submission that is applied
late fails because that row exists, so it cannot come into force after a
``Conflict``.

``orders`` invalidates a write whose reply was lost by writing the row as
``not_run``. A submission cannot do that, because it would create a version
that nobody submitted.
"""

import dataclasses
import hashlib

from lacewingdrum_state import documents, ids

RESOLVE_TIMEOUT_S = 10.0
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The commit was confirmed."""

    stored: documents.StoredDocument


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The base does not exist, or the version after it is taken.

    ``current`` is the stored document of the version after the base, or None
    if the base does not exist or that row cannot be decoded.
    """

    current: documents.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """It is not known yet whether the submission was accepted.

    Submitting it again with the same submission id resolves it.
    """

    service: ids.ServiceName
    version: ids.DocumentVersion
    submission_id: ids.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The table was not reachable; the document was not written."""

    detail: str


SubmitResult = Accepted | Conflict | Unresolved | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A submission in progress.

    ``write_unresolved`` is true if the outcome of a write is unknown.
    """

    wanted: documents.StoredDocument
    deadline_s: float
    failed_writes: int = 0
    write_unresolved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The submission starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRead:
    """The table replied whether the base and the next version exist.

    ``following`` is None if that row does not exist or cannot be decoded.
    """

    base_exists: bool
    following_exists: bool
    following: documents.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryReadFailed:
    """The history could not be read from the table."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReply:
    """The table replied to a commit with the current row."""

    applied: bool
    row: documents.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFailed:
    """A commit was not confirmed.

    ``may_have_applied`` is false if the row was certainly not written.
    """

    may_have_applied: bool
    detail: str


Event = Started | HistoryRead | HistoryReadFailed | CommitReply | CommitFailed


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHistory:
    """Read the base and the next version.

    For the first version, also ensure that the service's index row exists.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Write the version after a delay if no such row exists."""

    stored: documents.StoredDocument
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer the operator."""

    result: SubmitResult


Action = ReadHistory | Commit | Reply
Step = tuple[Submission, Action]


def digest_of(text: str) -> str:
    """Return the hex SHA-256 of a document's text."""
    return hashlib.sha256(text.encode()).hexdigest()


def new_submission(
    service: ids.ServiceName,
    base_version: ids.DocumentVersion,
    submission_id: ids.SubmissionId,
    text: str,
    now_s: float,
) -> Submission:
    """Create a submission.

    Args:
        service: the service that the document describes.
        base_version: the version that the operator edited; 0 if there is none.
        submission_id: the id that identifies a repeated submission.
        text: the document.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The state before ``Started``.
    """
    wanted = documents.StoredDocument(
        service=service,
        version=ids.DocumentVersion(base_version + 1),
        submission_id=submission_id,
        digest=digest_of(text),
        text=text,
    )
    return Submission(wanted, deadline_s=now_s + RESOLVE_TIMEOUT_S)


def step(state: Submission, event: Event, now_s: float) -> Step:
    """Process one event of a submission.

    Args:
        state: the state before the event.
        event: the event.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The state after the event and the next action. ``Reply`` is the last
        action.
    """
    match event:
        case Started():
            return state, ReadHistory()
        case HistoryReadFailed(detail):
            return state, Reply(Unavailable(detail))
        case HistoryRead():
            return state, _on_history_read(state, event)
        case CommitReply(applied, row):
            found = state.wanted if applied else row
            return state, Reply(_resolve(state, found))
        case CommitFailed():
            return _on_commit_failed(state, event, now_s)


def _on_history_read(state: Submission, history: HistoryRead) -> Action:
    if history.following_exists:
        return Reply(_resolve(state, history.following))
    if not history.base_exists:
        return Reply(Conflict(None))
    return Commit(state.wanted)


def _resolve(
    state: Submission, row: documents.StoredDocument | None
) -> Accepted | Conflict:
    if row == state.wanted:
        return Accepted(row)
    return Conflict(row)


def _on_commit_failed(state: Submission, event: CommitFailed, now_s: float) -> Step:
    state = dataclasses.replace(
        state,
        failed_writes=state.failed_writes + 1,
        write_unresolved=state.write_unresolved or event.may_have_applied,
    )
    if not state.write_unresolved:
        return state, Reply(Unavailable(event.detail))
    if now_s < state.deadline_s:
        return state, Commit(state.wanted, _backoff_s(state))
    wanted = state.wanted
    return state, Reply(
        Unresolved(wanted.service, wanted.version, wanted.submission_id)
    )


def _backoff_s(state: Submission) -> float:
    doublings = min(state.failed_writes - 1, 10)
    return min(FIRST_RETRY_DELAY_S * 2**doublings, MAX_RETRY_DELAY_S)
