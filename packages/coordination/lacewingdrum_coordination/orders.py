"""State machine that sends each non-idempotent order at most once.

An ``Attempt`` goes through these phases::

    CLAIMING --claim applied--> SENDING --answered--> RECORDING --> ENDED
        |                          |
        |                          +--known not run--> RELEASING --> ENDED
        +--will not be sent, but its claim may be applied late--> RELEASING

A row in state ``dispatched`` that holds the attempt's id is the claim: it
gives that attempt the right to send, and only that attempt may change it. A
write whose reply was lost is resolved in one of two ways. In ``CLAIMING`` the
same compare-and-set is retried. In ``RELEASING`` the row is written as
``not_run``, which moves its version past the one that the lost write names,
so that the lost write fails whenever it arrives.

In one case a retry with the same key is answered "may have run" although the
order was never sent: the claim was applied, and its daemon ended or lost the
table permanently before it could mark the row ``not_run``. Another daemon
cannot distinguish this from a daemon that sent the order and then stopped, so
no daemon takes over the row.
"""

import dataclasses
import enum
from collections.abc import Iterable

from lacewingdrum_state import ids, orders, states

MAX_STORED_ANSWER_BYTES = 64 * 1024
MAX_CLAIM_WRITES = 4
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0
RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The runner answered in full."""

    answer: orders.OrderAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedNotStarted:
    """The runner refused in a way that the protocol defines as not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """No byte was sent to the runner."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """Bytes may have been sent, and no complete answer arrived."""


SendOutcome = Answered | RefusedNotStarted | Unsent | AnswerLost


class NotSentReason(enum.Enum):
    """Why a caller receives no answer from the runner.

    ``KEY_REUSED``: the key belongs to another request body (HTTP 422).
    ``IN_PROGRESS`` and ``MAY_HAVE_RUN``: they describe an earlier attempt.
    ``ANSWER_NOT_KEPT``: the order ran, and its answer was too large to store.
    """

    NO_TABLE = "no_table"
    UNRESOLVED = "unsettled"
    UNREADABLE_ROW = "unreadable_row"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    MAY_HAVE_RUN = "may_have_run"
    ANSWER_NOT_KEPT = "answer_not_kept"
    DEADLINE = "deadline"
    RUNNER_REFUSED = "runner_refused"
    RUNNER_UNREACHED = "runner_unreached"
    ANSWER_LOST = "answer_lost"
    STOPPING = "stopping"


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The order ran; ``replayed`` is true if an earlier attempt ran it."""

    answer: orders.OrderAnswer
    replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """There is no answer; ``ran`` says whether this request was executed."""

    ran: states.Ran
    reason: NotSentReason
    retry_after_ms: int = RETRY_AFTER_MS


OrderResult = Done | NotSent


class Phase(enum.Enum):
    """The state of an attempt; see the module's diagram."""

    CLAIMING = "claiming"
    SENDING = "sending"
    RELEASING = "releasing"
    RECORDING = "recording"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of an order.

    ``base_version`` is the row version that the next write must match.
    ``claim_unresolved`` is true if the outcome of a claim write is unknown.
    ``replied`` is true once the caller has been answered.
    """

    order_id: orders.OrderId
    fingerprint: str
    attempt_id: ids.AttemptId
    deadline_s: float
    phase: Phase = Phase.CLAIMING
    base_version: int = 0
    claim_writes: int = 0
    failed_writes: int = 0
    claim_unresolved: bool = False
    replied: bool = False
    answer: orders.OrderAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OwnAttempts:
    """The attempts of one order at this daemon, by whether they may send.

    Attempts in ``sending`` may have sent the order or may still send it.
    Those in ``unsent`` are known not to have run the order, because it was
    not sent or the runner refused it, and they will not send it any more.
    """

    sending: frozenset[ids.AttemptId] = frozenset()
    unsent: frozenset[ids.AttemptId] = frozenset()


def own_attempts(attempts: Iterable[Attempt]) -> OwnAttempts:
    """Classify this daemon's attempts of one order."""
    known = tuple(attempts)
    releasing = {a.attempt_id for a in known if a.phase is Phase.RELEASING}
    sending = {a.attempt_id for a in known if a.phase is not Phase.RELEASING}
    return OwnAttempts(frozenset(sending), frozenset(releasing))


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The attempt starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteReply:
    """The table replied to a write with the current row.

    ``row`` is None if the row does not exist, in which case the version is 0,
    or if it could not be decoded.
    """

    applied: bool
    row_version: int
    row: orders.OrderRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write was not confirmed.

    ``may_have_applied`` is false if the row was certainly not written.
    """

    may_have_applied: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SendEnded:
    """The send ended with ``outcome``."""

    outcome: SendOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller must be answered now."""


Event = Started | WriteReply | WriteFailed | SendEnded | DeadlinePassed


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row after a delay if its version is still ``if_version``."""

    row: orders.OrderRow
    if_version: int
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send to the runner, after checking once more that there is time.

    If the deadline has passed by then, nothing is sent and the outcome is
    ``Unsent``.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer the caller."""

    result: OrderResult


Action = WriteRow | Send | Reply
Step = tuple[Attempt, tuple[Action, ...]]
