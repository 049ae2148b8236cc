"""Assembles streamed answers, and drops parts of other attempts.

A part is passed on only if it belongs to the request's current attempt and
its offset is the next one. Parts that arrive early wait in a bounded buffer.
Late and repeated parts and those of other attempts are dropped. An answer is
complete once its final part was passed on and no part is waiting. The caller
checks this only after the runner has closed the stream cleanly.
"""

import dataclasses
import enum

from lacewingdrum_state import ids

MAX_EARLY_PARTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Consecutive tokens of an answer, as sent by a runner."""

    attempt_id: ids.AttemptId
    offset: int
    token_count: int
    text: str
    finish_reason: str = ""


class DropReason(enum.Enum):
    """Reason why a part was dropped."""

    OTHER_ATTEMPT = "foreign"
    REPEATED = "repeated"
    OVERLAPPING = "overlapping"
    TOO_EARLY = "too_early"
    AFTER_END = "after_end"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A part that was dropped, and the reason."""

    part: Part
    reason: DropReason


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """State of an answer that is being passed on.

    ``next_offset`` counts the tokens passed on. ``finish_reason`` is set
    once the final part was passed on. ``early`` holds the parts that wait
    for earlier ones.
    """

    attempt_id: ids.AttemptId
    next_offset: int = 0
    finish_reason: str = ""
    early: tuple[Part, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether the final part was passed on and no part is waiting."""
        return bool(self.finish_reason) and not self.early


def begin(attempt_id: ids.AttemptId) -> Stream:
    """Return an empty answer that accepts parts of ``attempt_id``."""
    return Stream(attempt_id)


def resume(stream: Stream, attempt_id: ids.AttemptId) -> Stream:
    """Continue an answer with another attempt after the last token passed on.

    Args:
        stream: current state of the answer.
        attempt_id: the attempt that continues it.

    Returns:
        The new state, which drops parts of the former attempt.
    """
    return dataclasses.replace(stream, attempt_id=attempt_id, early=())


def add_part(
    stream: Stream, part: Part
) -> tuple[Stream, tuple[Part, ...], tuple[Dropped, ...]]:
    """Add a received part to an answer.

    Args:
        stream: current state of the answer.
        part: the part as received.

    Returns:
        The new state, the parts to pass on now, and the dropped parts.
    """
    reason = _reason_to_drop(stream, part)
    if reason is not None:
        return stream, (), (Dropped(part, reason),)
    if part.offset > stream.next_offset:
        early = tuple(sorted((*stream.early, part), key=lambda p: p.offset))
        return dataclasses.replace(stream, early=early), (), ()
    if not stream.early:
        return _pass_on(stream, part), (part,), ()
    return _pass_on_with_early(stream, part)


def _reason_to_drop(stream: Stream, part: Part) -> DropReason | None:
    if part.attempt_id != stream.attempt_id:
        return DropReason.OTHER_ATTEMPT
    if part.offset < 0 or part.token_count < 0:
        return DropReason.MALFORMED
    if part.token_count == 0 and not part.finish_reason:
        return DropReason.MALFORMED
    if stream.finish_reason:
        return DropReason.AFTER_END
    if part.offset + part.token_count <= stream.next_offset and part.token_count:
        return DropReason.REPEATED
    if part.offset < stream.next_offset:
        return DropReason.OVERLAPPING
    if part in stream.early:
        return DropReason.REPEATED
    if part.offset > stream.next_offset and len(stream.early) >= MAX_EARLY_PARTS:
        return DropReason.TOO_EARLY
    return None


def _pass_on(stream: Stream, part: Part) -> Stream:
    return dataclasses.replace(
        stream,
        next_offset=part.offset + part.token_count,
        finish_reason=part.finish_reason,
    )


def _pass_on_with_early(
    stream: Stream, part: Part
) -> tuple[Stream, tuple[Part, ...], tuple[Dropped, ...]]:
    waiting = stream.early
    stream = dataclasses.replace(stream, early=())
    passed: list[Part] = []
    dropped: list[Dropped] = []
    still_early: list[Part] = []
    for candidate in (part, *waiting):
        reason = _reason_to_drop(stream, candidate)
        if reason is not None:
            dropped.append(Dropped(candidate, reason))
        elif candidate.offset == stream.next_offset:
            stream = _pass_on(stream, candidate)
            passed.append(candidate)
        else:
            still_early.append(candidate)
    stream = dataclasses.replace(stream, early=tuple(still_early))
    return stream, tuple(passed), tuple(dropped)
