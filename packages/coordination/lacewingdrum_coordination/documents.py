"""Submitting a document: an explicit state machine.

A submission based on version n is committed as version n + 1, by writing a
row that must not exist yet. The row carries the submission id. A commit
whose reply was lost is settled by repeating the same write: the table then
answers with the row that stands there, and its submission id says whose it
is. Where no answer comes in time the result is ``Unresolved``, and the same
submission can be given again, at any daemon. ``Conflict`` is only told of a
version that another submission holds, so a write that lands late cannot
come into force after it.

The place of a lost write is not occupied, as an order's is: that would need
a version that nobody asked for.
"""

import dataclasses
import hashlib

from lacewingdrum_state import documents, ids

RESOLVE_TIMEOUT_S = 10.0
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The commit is confirmed."""

    stored: documents.StoredDocument


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The base is not the newest version; ``current`` is, where known."""

    current: documents.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """Whether the submission was accepted is not known yet.

    The same submission id settles it when it is submitted again.
    """

    service: ids.ServiceName
    version: ids.DocumentVersion
    submission_id: ids.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The table could not be reached; the document was not written."""

    detail: str


SubmitResult = Accepted | Conflict | Unresolved | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """One submission on its way.

    ``write_unresolved`` says that a write was made whose outcome is not known.
    """

    wanted: documents.StoredDocument
    deadline_s: float
    failed_writes: int = 0
    write_unresolved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The submission begins."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRead:
    """Whether the base and the version after it exist.

    ``following`` is None where that row is absent or cannot be read.
    """

    base_exists: bool
    following_exists: bool
    following: documents.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryReadFailed:
    """The table gave no answer about the history."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReply:
    """The table answered the commit with the row that stands there now."""

    applied: bool
    row: documents.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFailed:
    """The commit brought no answer; it may be in force unless refused."""

    may_have_applied: bool
    detail: str


Event = Started | HistoryRead | HistoryReadFailed | CommitReply | CommitFailed


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHistory:
    """Read the base and the version after it.

    For the first version, make sure that the service's index row exists.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Write the version after a delay, if no such row exists."""

    stored: documents.StoredDocument
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer the operator."""

    result: SubmitResult


Action = ReadHistory | Commit | Reply
Step = tuple[Submission, Action]


def digest_of(text: str) -> str:
    """Args: text: a document. Returns: its SHA-256, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def new_submission(
    service: ids.ServiceName,
    base_version: ids.DocumentVersion,
    submission_id: ids.SubmissionId,
    text: str,
    now_s: float,
) -> Submission:
    """Prepare a submission.

    Args:
        service: whose document it is.
        base_version: the version that the operator has edited; 0 for none.
        submission_id: by which the operator finds it again.
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
    """Take a submission through one event.

    Args:
        state: the state before.
        event: what happened.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The state after and the one thing to do; ``Reply`` ends it.
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
