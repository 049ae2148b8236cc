"""Admitted requests, and the facts that decisions need of them."""

import dataclasses

from lacewingdrum_state import fleet, ids, states

SHORT_PROMPT_TOKENS_MAX = 4_000
MID_PROMPT_TOKENS_MAX = 100_000


def length_class(prompt_tokens: int) -> states.LengthClass:
    """Args: prompt_tokens: the prompt's length. Returns: its class."""
    if prompt_tokens <= SHORT_PROMPT_TOKENS_MAX:
        return states.LengthClass.SHORT
    if prompt_tokens <= MID_PROMPT_TOKENS_MAX:
        return states.LengthClass.MID
    return states.LengthClass.LONG


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Times are on the daemon's monotonic clock. ``block_hashes`` are chained
    fingerprints of the prompt's blocks, for prefix affinity. ``max_tokens``
    bounds the answer.
    """

    request_id: ids.RequestId
    service: ids.ServiceName
    customer: ids.CustomerId
    kind: ids.KindName
    prompt_tokens: int
    max_tokens: int
    received_s: float
    deadline_s: float
    worth: float = 1.0
    idempotent: bool = True
    block_hashes: tuple[int, ...] = ()

    @property
    def total_tokens(self) -> int:
        """KV cache tokens that the request may come to hold."""
        return self.prompt_tokens + self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """What a daemon tells a runner's home of one attempt it has there."""

    attempt_id: ids.AttemptId
    runner_id: ids.RunnerId
    prompt_tokens: int
    total_tokens: int
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What the headers of a routed request say.

    ``attempt_id`` is the caller's own id of this try; ``patience_ms`` is None
    where the caller named none.
    """

    attempt_id: str
    patience_ms: int | None
    credential: str
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Helper:
    """An engine that reads a part of a prompt.

    ``ticket`` names memory set aside on it.
    """

    address: fleet.Address
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerHeaders:
    """What the head of a runner's answer says.

    ``has_receipt`` is set on answers that the runner vouches for;
    ``at_fault`` names an engine that failed its part of the work.
    """

    attempt_id: str
    has_receipt: bool
    says_not_run: bool
    is_other_runner: bool
    is_encoded: bool
    at_fault: fleet.Address | None
