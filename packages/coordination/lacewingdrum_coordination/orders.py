"""At most one send for each non-idempotent order: an explicit state machine.

One ``Attempt`` goes through these phases::

    CLAIMING --claim applied--> SENDING --answered--> RECORDING --> ENDED
        |                          |
        |                          +--surely not run--> RELEASING --> ENDED
        +--never to be sent, but the claim may still land--> RELEASING

The row ``dispatched`` with the attempt's own id is the right to send, and
only its owner ever moves it on. A write whose reply was lost is settled in
``CLAIMING`` by repeating the same compare-and-set, and in ``RELEASING`` by
occupying its place as ``not_run``: the row's version then has moved past the
one that the lost write names, so that it loses whenever it lands.

A repeat of the key can be told "may have run" of an order that never was
sent in one case only: the claim landed, and its daemon ended or lost the
table for good before it could mark the row ``not_run``. No other daemon can
tell this from a daemon that sent and then stopped, so no one takes the row
over.
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
    """The runner refused, in a way that the protocol defines as not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """Surely no byte left for the runner."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """Something may have left, and no whole answer came."""


SendOutcome = Answered | RefusedNotStarted | Unsent | AnswerLost


class NoAnswerReason(enum.Enum):
    """Why a caller gets no answer of the runner.

    ``KEY_REUSED`` is a key that belongs to another request body (HTTP 422).
    ``IN_PROGRESS`` and ``MAY_HAVE_RUN`` speak of an earlier attempt.
    ``ANSWER_NOT_KEPT`` is an order that ran and whose answer was too large
    to store.
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
    """The order ran; ``replayed`` says that an earlier attempt ran it."""

    answer: orders.OrderAnswer
    replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """There is no answer; ``ran`` says what is known of this request."""

    ran: states.Ran
    reason: NoAnswerReason
    retry_after_ms: int = RETRY_AFTER_MS


OrderResult = Done | NoAnswer


class Phase(enum.Enum):
    """How far an attempt has come; see the module's diagram."""

    CLAIMING = "claiming"
    SENDING = "sending"
    RELEASING = "releasing"
    RECORDING = "recording"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of an order.

    ``base_version`` is the row version that its next write builds on.
    ``claim_unresolved`` says that a claim was written whose outcome is not known.
    ``replied`` says that the caller has its answer.
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
    """What this daemon knows of its other attempts.

    ``sending`` may have sent. ``unsent`` never sent and never will.
    """

    sending: frozenset[ids.AttemptId] = frozenset()
    unsent: frozenset[ids.AttemptId] = frozenset()


def own_attempts(attempts: Iterable[Attempt]) -> OwnAttempts:
    """Args: attempts: this daemon's, of one order. Returns: their sorting."""
    known = tuple(attempts)
    releasing = {a.attempt_id for a in known if a.phase is Phase.RELEASING}
    sending = {a.attempt_id for a in known if a.phase is not Phase.RELEASING}
    return OwnAttempts(frozenset(sending), frozenset(releasing))


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The attempt begins."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteReply:
    """The table answered a write, with the row as it now stands.

    ``row`` is None for an absent row, whose version is 0, and for one that
    could not be read.
    """

    applied: bool
    row_version: int
    row: orders.OrderRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write brought no answer; ``may_have_applied`` unless refused."""

    may_have_applied: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SendEnded:
    """The send came to its end."""

    outcome: SendOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller has to be told now."""


Event = Started | WriteReply | WriteFailed | SendEnded | DeadlinePassed


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row after a delay, if it still is at ``if_version``."""

    row: orders.OrderRow
    if_version: int
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send to the runner, unless the deadline has passed right before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Give the caller its answer."""

    result: OrderResult


Action = WriteRow | Send | Reply
Step = tuple[Attempt, tuple[Action, ...]]
