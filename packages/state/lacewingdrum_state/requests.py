"""Requests, attempts in flight and the contents of their headers."""

import dataclasses

from lacewingdrum_state import fleet, ids, states

SHORT_PROMPT_TOKENS_MAX = 4_000
MID_PROMPT_TOKENS_MAX = 100_000


def length_class(prompt_tokens: int) -> states.LengthClass:
    """Return the length class of a prompt, used for priorities and metrics."""
    if prompt_tokens <= SHORT_PROMPT_TOKENS_MAX:
        return states.LengthClass.SHORT
    if prompt_tokens <= MID_PROMPT_TOKENS_MAX:
        return states.LengthClass.MID
    return states.LengthClass.LONG


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Times are on the daemon's monotonic clock. ``block_hashes`` are chained
    hashes of the prompt's blocks, used for prefix affinity. ``max_tokens``
    is the maximum length of the answer.
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
        """The most KV cache tokens that the request may hold."""
        return self.prompt_tokens + self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt in flight, as reported to the runner's coordinator."""

    attempt_id: ids.AttemptId
    runner_id: ids.RunnerId
    prompt_tokens: int
    total_tokens: int
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Values from the headers of a caller's request.

    ``attempt_id`` is the caller's id for this request; the daemon uses it for
    all its attempts. ``patience_ms`` is None if the caller did not state it.
    ``shared_parts`` are the parts of the prompt that other requests may have
    too, which is each but the last one.
    """

    attempt_id: str
    patience_ms: int | None
    credential: str
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str
    shared_parts: tuple[ids.PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Helper:
    """An engine that prefills a part of a prompt.

    ``ticket`` is the id of the memory reservation on it.
    """

    address: fleet.Address
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerHeaders:
    """Values from the headers of a runner's answer.

    ``has_receipt`` is set if the runner vouches for the answer with the
    receipt header. ``is_encoded`` is set if the answer has a content encoding.
    A successful answer without a receipt, or with an encoding, is not
    forwarded. ``at_fault`` is the address of an engine that failed its part
    of the work. ``is_leaving`` is set if the runner is about to stop.
    ``pause_s`` is how long it wants no further request from this daemon, or
    None if it did not say. ``limit_per_s`` is the number of requests a second
    that it takes from all daemons, or None if it named none that is readable.
    """

    attempt_id: str
    has_receipt: bool
    says_not_run: bool
    is_other_runner: bool
    is_encoded: bool
    at_fault: fleet.Address | None
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
