"""Messages of the model runners' HTTP interface.

====================  =================================================
POST /v1/completions  takes ``CompletionCall``, returns server-sent
                      events, each a ``CompletionPart``, then ``[DONE]``
POST /cancel          takes ``CancelCall``, returns ``CancelAnswer``
POST /kv/import       takes ``ImportCall``, returns ``ImportAnswer``
GET  /load            returns ``LoadAnswer``
GET  /cache/events    takes ``?since=SEQ``, returns ``CacheEventsAnswer``
GET  /desired         returns ``DesiredModelAnswer``
POST /desired         takes ``DesiredModelCall``, returns
                      ``DesiredModelAnswer``
====================  =================================================

A runner that has not started a call answers 429 or 503 with a
``RefusalAnswer`` whose ``started`` is false. Only such a call counts as not
run. Runners of plain services serve other paths, but refuse calls in the same
way.
"""

import enum

import msgspec
from result import Err

from lacewingdrum_state import bounds, decoding

COMPLETIONS_PATH = "/v1/completions"
CANCEL_PATH = "/cancel"
IMPORT_PATH = "/kv/import"
LOAD_PATH = "/load"
CACHE_EVENTS_PATH = "/cache/events"
DESIRED_MODEL_PATH = "/desired"
ATTEMPT_HEADER = "lacewingdrum-attempt-id"
DONE_DATA = b"[DONE]"


class Priority(enum.IntEnum):
    """Priority in an engine's queue; a lower number runs first."""

    SHORT = 0
    MID = 1
    LONG = 2


class RefusalReason(enum.Enum):
    """Why a runner did not start a call."""

    LEAVING = "leaving"
    BUSY = "busy"
    MEMORY = "memory"


class RefusalAnswer(msgspec.Struct, frozen=True):
    """The answer to a call that was not started."""

    reason: RefusalReason
    started: bool = False


class CompletionCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One attempt of a model request.

    ``prompt`` is the caller's prompt followed by ``resume_text``, which is
    the part of the answer that was already passed on to the caller. The first
    part of the new answer has the offset ``resume_offset``.

    If the prompt is larger than this engine's memory, ``group`` lists the
    runners that hold the rest of it after ``/kv/import``, and
    ``group_tokens`` the number of tokens that each of them holds.
    """

    attempt_id: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: Priority
    patience_ms: int
    resume_offset: int = 0
    resume_text: str = ""
    group: tuple[str, ...] = ()
    group_tokens: tuple[int, ...] = ()
    block_hashes: tuple[int, ...] = ()


class CompletionPart(msgspec.Struct, frozen=True):
    """Some tokens of an answer; the offsets of the parts are contiguous."""

    attempt_id: str
    offset: int
    token_count: int
    text: str
    finish_reason: str = ""


class CancelCall(msgspec.Struct, frozen=True):
    """Requests that a runner ends an attempt and frees its memory."""

    attempt_id: str


class CancelState(enum.Enum):
    """The state of an attempt after a cancel call.

    In each of these states the attempt holds no memory.
    """

    CANCELLED = "cancelled"
    FINISHED = "finished"
    NOT_KNOWN = "not_known"


class CancelAnswer(msgspec.Struct, frozen=True):
    """The outcome of a cancel call."""

    attempt_id: str
    state: CancelState


class ImportCall(msgspec.Struct, frozen=True):
    """Asks an engine to hold part of a prompt's KV cache.

    The part is held until the attempt is cancelled. ``lead`` is the runner id
    of the engine that the attempt is sent to.
    """

    attempt_id: str
    tokens: int
    lead: str


class ImportAnswer(msgspec.Struct, frozen=True):
    """The number of tokens that the engine now holds for the attempt."""

    attempt_id: str
    held_tokens: int


class HeldMemoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """Memory held for one attempt; 0 while the attempt waits."""

    attempt_id: str
    tokens: bounds.Count


class LoadAnswer(msgspec.Struct, frozen=True):
    """A runner's load as it was ``age_ms`` ago.

    ``held`` lists every attempt at the runner. An attempt that is not listed
    has ended there.
    """

    runner_id: str
    age_ms: bounds.AgeMs
    queued_short_tokens: bounds.Count
    queued_mid_tokens: bounds.Count
    queued_long_tokens: bounds.Count
    running_count: bounds.Count
    kv_used_tokens: bounds.Count
    kv_capacity_tokens: bounds.Count
    prefill_tokens_per_s: bounds.NotNegative
    decode_tokens_per_s: bounds.NotNegative
    held: tuple[HeldMemoryEntry, ...] = ()


class CacheChange(enum.Enum):
    """A change of the prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True, array_like=True):
    """One block that was stored in or evicted from the prefix cache."""

    seq: int
    change: CacheChange
    block_hash: int


class CacheEventsAnswer(msgspec.Struct, frozen=True):
    """Events after ``since``; a gap in ``seq`` means that some are missing."""

    events: tuple[CacheEvent, ...]
    last_seq: int


class DesiredModelCall(msgspec.Struct, frozen=True):
    """Sets the model version that a runner must serve."""

    fencing_number: int
    model: str


class DesiredModelAnswer(msgspec.Struct, frozen=True):
    """The model version on a runner and the fencing number that set it."""

    fencing_number: int
    model: str


_REFUSAL_STATUSES = (429, 503)
_refusal_decoder = msgspec.json.Decoder(RefusalAnswer)


def parse_refusal(status: int, body: bytes) -> RefusalAnswer | None:
    """Parse a response that may be a refusal.

    Args:
        status: The response's status.
        body: The response's body.

    Returns:
        The refusal if it states that the call was not started, else None.
    """
    if status not in _REFUSAL_STATUSES:
        return None
    decoded = decoding.decode(_refusal_decoder, body)
    if isinstance(decoded, Err) or decoded.ok_value.started:
        return None
    return decoded.ok_value
