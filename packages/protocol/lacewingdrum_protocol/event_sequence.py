"""Decides whether an event goes on with the stream that a caller receives.

A stream may be sent by several runs of its request, one after the other. The
ids of its events are numbers that rise. Within a run nothing more is known of
them. Where a run goes on with the stream of another one, its first event must
be the next one: it has a number, and if all numbers before have followed each
other without a gap, so does this one.
"""

import dataclasses
import enum
import re

from result import Err, Ok, Result

_LINE_END = rb"(?:\r\n|\n|\r)"
_COMMENT = rb":[^\r\n]*"
_FIELD = rb"(?:data|event|retry)(?::[^\r\n]*)?"
# Other fields may stand before these, as lines that a server puts first. Later
# ones could be headers of an HTTP response that has got into an event.
_LEADING_FIELD = rb"(?!(?:data|id|event|retry):)[a-z][a-z0-9_-]*:[^\r\n]*"
# The repetitions don't backtrack, so that the time is linear in the size. An
# event has one id at most.
_LEADING_LINES = rb"(?:(?:%b|%b)?%b)*+" % (_LEADING_FIELD, _COMMENT, _LINE_END)
_LINES = rb"(?:(?:%b|%b)?%b)*+" % (_FIELD, _COMMENT, _LINE_END)
_ID_LINE = rb"id:[ ]?(?P<id>[^\r\n]*)" + _LINE_END
_BLOCK = re.compile(_LEADING_LINES + _LINES + rb"(?:%b%b)?" % (_ID_LINE, _LINES))
_LEADING_BLOCK = re.compile(_LEADING_LINES)
_ANY_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
_NUMBER = re.compile(r"[0-9]{1,18}")
# The beginning of a long line says which field it is. An id must fit into a
# header, by which a caller names its last event.
LINE_BEGIN_BYTES = 1024


class StreamFault(enum.Enum):
    """Why a run does not go on with the stream, or does not end it."""

    FOREIGN = "bytes that are no event"
    REPEATED = "an event whose number does not rise"
    GAP = "a gap before its first event"
    UNNUMBERED = "no number in its first event"
    ENDED_INSIDE_EVENT = "an end inside an event"
    ENDED_BEFORE_EVENTS = "an end before any event"


class Numbering(enum.Enum):
    """What the events so far show about their numbers."""

    UNKNOWN = "unknown"
    WITHOUT_GAPS = "without_gaps"
    WITH_GAPS = "with_gaps"


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """How far the stream that a caller receives has come.

    ``last_event_id`` is the id of the last event that had one. ``number`` is
    the last number, None if there was none. ``is_resumable`` says whether
    another run can go on after the last event.
    """

    last_event_id: str = ""
    event_count: int = 0
    number: int | None = None
    numbering: Numbering = Numbering.UNKNOWN
    is_resumable: bool = True


def start_after(last_event_id: str) -> Position:
    """Return the position of a caller that has this event, or none."""
    return Position(last_event_id, number=_parse_number(last_event_id))


def advance(
    position: Position, block: bytes, is_first_of_run: bool
) -> Result[Position, StreamFault]:
    """Decide whether a block of lines goes on with a stream.

    Args:
        position: how far the stream has come.
        block: lines up to and with the empty line that ends an event.
        is_first_of_run: whether its run has brought no event yet.

    Returns:
        The new position; the same one if the block is no event, but comments
        or empty lines.
    """
    matched = _BLOCK.fullmatch(block)
    if matched is None:
        return Err(StreamFault.FOREIGN)
    if matched["id"] is None and not _ANY_FIELD.search(block):
        return Ok(position)
    event_id = (matched["id"] or b"").decode("latin-1")
    number = _parse_number(event_id)
    if number is None:
        return _advance_unnumbered(position, event_id, is_first_of_run)
    return _advance_numbered(position, event_id, number, is_first_of_run)


def shorten(lines: bytes) -> Result[bytes, StreamFault]:
    """Return fewer lines that stand for the beginning of a large block.

    A block that begins with them is what it would be with all lines. Of a last
    line without an end, more of which may follow, the beginning is kept.

    Args:
        lines: the beginning of a block.
    """
    whole_bytes = max(lines.rfind(b"\n"), lines.rfind(b"\r")) + 1
    matched = _BLOCK.fullmatch(lines, 0, whole_bytes)
    if matched is None:
        return Err(StreamFault.FOREIGN)
    rest = lines[whole_bytes : whole_bytes + LINE_BEGIN_BYTES]
    if len(rest) == LINE_BEGIN_BYTES and rest.startswith(b"id:"):
        return Err(StreamFault.FOREIGN)
    if matched["id"] is not None:
        return Ok(b"id: " + matched["id"] + b"\n" + rest)
    if not _ANY_FIELD.search(lines, 0, whole_bytes):
        return Ok(rest)
    # One line of the last kind that has come stands for all of them.
    is_leading = _LEADING_BLOCK.fullmatch(lines, 0, whole_bytes) is not None
    return Ok((b"x:\n" if is_leading else b"data\n") + rest)


def _advance_unnumbered(
    position: Position, event_id: str, is_first_of_run: bool
) -> Result[Position, StreamFault]:
    if is_first_of_run and position.last_event_id:
        return Err(StreamFault.UNNUMBERED)
    return Ok(
        dataclasses.replace(
            position,
            last_event_id=event_id or position.last_event_id,
            event_count=position.event_count + 1,
            is_resumable=False,
        )
    )


def _advance_numbered(
    position: Position, event_id: str, number: int, is_first_of_run: bool
) -> Result[Position, StreamFault]:
    if position.number is not None and number <= position.number:
        return Err(StreamFault.REPEATED)
    numbering = position.numbering
    if number != (position.number or 0) + 1:
        if is_first_of_run and numbering is Numbering.WITHOUT_GAPS:
            return Err(StreamFault.GAP)
        numbering = Numbering.WITH_GAPS
    elif numbering is Numbering.UNKNOWN:
        numbering = Numbering.WITHOUT_GAPS
    return Ok(Position(event_id, position.event_count + 1, number, numbering))


def _parse_number(event_id: str) -> int | None:
    return int(event_id) if _NUMBER.fullmatch(event_id) else None
