"""Messages of the model runners' HTTP interface.

====================  =================================================
POST /v1/completions  ``CompletionCall``; answers a stream of server-sent
                      events, each a ``CompletionPart``, then ``[DONE]``
POST /cancel          ``CancelCall``; answers ``CancelAnswer``
POST /kv/import       ``ImportCall``; answers ``ImportAnswer``
GET  /load            answers ``LoadAnswer``
GET  /cache/events    ``?since=SEQ``; answers ``CacheEventsAnswer``
GET  /desired         answers ``DesiredModelAnswer``
POST /desired         ``DesiredModelCall``; answers ``DesiredModelAnswer``
====================  =================================================

A runner that has not started a call answers 429 or 503 with a
``RefusalAnswer`` whose ``started`` is false; only that counts as not run.
A plain service's runner does the same for its own paths.
"""

import enum

import msgspec

COMPLETIONS_PATH = "/v1/completions"
CANCEL_PATH = "/cancel"
IMPORT_PATH = "/kv/import"
LOAD_PATH = "/load"
CACHE_EVENTS_PATH = "/cache/events"
DESIRED_MODEL_PATH = "/desired"
ATTEMPT_HEADER = "lacewingdrum-attempt-id"
DONE_DATA = b"[DONE]"


class Priority(enum.IntEnum):
    """The engine's queueing priority; a lower number runs first."""

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

    ``prompt`` is the caller's prompt followed by what was passed on already
    (``resume_text``); the first part that answers it has the offset
    ``resume_offset``. ``group`` names the runners that hold the rest of a
    prompt larger than this engine's memory, after ``/kv/import`` there, and
    ``group_tokens`` what each of them holds.
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
    """Some tokens of an answer; offsets are contiguous from the first."""

    attempt_id: str
    offset: int
    token_count: int
    text: str
    finish_reason: str = ""


class CancelCall(msgspec.Struct, frozen=True):
    """Asks that an attempt ends and its memory is freed."""

    attempt_id: str


class CancelState(enum.Enum):
    """What a cancel found; each means that no memory is held any more."""

    CANCELLED = "cancelled"
    FINISHED = "finished"
    NOT_KNOWN = "not_known"


class CancelAnswer(msgspec.Struct, frozen=True):
    """The runner's record of a cancelled attempt."""

    attempt_id: str
    state: CancelState


class ImportCall(msgspec.Struct, frozen=True):
    """Takes in part of a prompt's KV cache, held until a cancel."""

    attempt_id: str
    tokens: int
    lead: str


class ImportAnswer(msgspec.Struct, frozen=True):
    """What the engine now holds for the attempt."""

    attempt_id: str
    held_tokens: int


class HeldMemoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """Memory that an engine holds for one attempt; 0 while it waits."""

    attempt_id: str
    tokens: int


class LoadAnswer(msgspec.Struct, frozen=True):
    """A runner's load as it was ``age_ms`` ago.

    ``held`` lists every attempt that the runner has, so that one that is
    missing has ended there.
    """

    runner_id: str
    age_ms: int
    queued_short_tokens: int
    queued_mid_tokens: int
    queued_long_tokens: int
    running_count: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    held: tuple[HeldMemoryEntry, ...] = ()


class CacheChange(enum.Enum):
    """What happened to a block of the prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True, array_like=True):
    """One block that entered or left an engine's prefix cache."""

    seq: int
    change: CacheChange
    block_hash: int


class CacheEventsAnswer(msgspec.Struct, frozen=True):
    """Events after ``since``; a jump in ``seq`` is a gap."""

    events: tuple[CacheEvent, ...]
    last_seq: int


class DesiredModelCall(msgspec.Struct, frozen=True):
    """Orders the model version that a runner shall serve."""

    fencing_number: int
    model: str


class DesiredModelAnswer(msgspec.Struct, frozen=True):
    """The model version in force on a runner and who ordered it."""

    fencing_number: int
    model: str


_REFUSAL_STATUSES = (429, 503)
_refusal_decoder = msgspec.json.Decoder(RefusalAnswer)


def parse_refusal(status: int, body: bytes) -> RefusalAnswer | None:
    """Tell a refusal from an answer.

    Args:
        status: the response's status.
        body: the response's body.

    Returns:
        The refusal, only where it says that nothing was started.
    """
    if status not in _REFUSAL_STATUSES:
        return None
    try:
        refusal = _refusal_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return None if refusal.started else refusal
