"""Splits a run of a stream of server-sent events into complete events.

The events are forwarded unchanged; ``sse`` extracts the data of events.
"""

import re

from result import Err, Ok

from lacewingdrum_protocol import event_sequence

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_END_BYTES_MAX = 4
# A large event is checked in parts of this size as it comes.
CHECKED_PART_BYTES = 4 * 1024
_LINE_END = re.compile(rb"\r\n|\n|\r")
_FIELD_BEGIN = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")


def count_blocks(data: bytes) -> int:
    """Return how many blocks of lines end in these bytes.

    Empty lines and comments are blocks too, though no events.
    """
    return len(_EVENT_END.findall(data))


def count_lines(data: bytes) -> int:
    """Return how many lines end in these bytes."""
    return len(_LINE_END.findall(data))


class EventStream:
    """Returns complete events unchanged, up to one that isn't the next one.

    ``fault`` is set by the first such event, which stays incomplete. Nothing
    is returned after it. ``is_inside_event`` says whether an event has begun
    and its end has not been received; empty lines and comments belong to none.

    Args:
        last_event_id: The id of the last event that the caller has; empty if
            it has none.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self.fault: event_sequence.StreamFault | None = None
        self.is_inside_event = False
        self._position = event_sequence.start_after(last_event_id)
        self._events_before_run = 0
        self._has_further_event = False
        self._partial_event = bytearray()
        # How much of it are whole blocks that are no event.
        self._preceding_bytes = 0
        # How much of it has been checked, and the lines that stand for what
        # has been checked of a block that is not complete.
        self._checked_bytes = 0
        self._checked_lines = b""

    @property
    def last_event_id(self) -> str:
        """The id of the last event that had one."""
        return self._position.last_event_id

    @property
    def event_count(self) -> int:
        """The number of events of this run and of those before it."""
        return self._position.event_count

    @property
    def run_event_count(self) -> int:
        """The number of events of this run."""
        return self._position.event_count - self._events_before_run

    @property
    def is_resumable(self) -> bool:
        """Whether another run can go on after the last event."""
        return self._position.is_resumable

    @property
    def partial_event(self) -> bytes:
        """The bytes of an event that is not complete yet, and before it."""
        return bytes(self._partial_event)

    @property
    def partial_bytes(self) -> int:
        """The number of bytes in ``partial_event``."""
        return len(self._partial_event)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes.

        Args:
            data: The next bytes of the stream; they may end inside an event.

        Returns:
            The events that are now complete and go on with the stream. Empty
            lines and comments are returned with the event that follows them.
        """
        if self.fault is not None:
            return b""
        # The bytes received before were searched then; only a mark of the end
        # may have begun in them.
        searched_bytes = len(self._partial_event)
        end = self._preceding_bytes
        start = max(searched_bytes - _EVENT_END_BYTES_MAX + 1, end)
        self._partial_event += data
        complete_bytes = 0
        for match in _EVENT_END.finditer(self._partial_event, start):
            unchecked = self._partial_event[self._checked_bytes : match.end()]
            advanced = event_sequence.advance(
                self._position,
                self._checked_lines + unchecked,
                self.run_event_count == 0,
            )
            if isinstance(advanced, Err):
                self.fault = advanced.err_value
                break
            end = self._checked_bytes = match.end()
            self._checked_lines = b""
            if advanced.ok_value is not self._position:
                self._position = advanced.ok_value
                complete_bytes = end
        if end > self._preceding_bytes:
            self.is_inside_event = False
            searched_bytes = end
        if not self.is_inside_event:
            # The character before may end the line.
            begun = _FIELD_BEGIN.search(self._partial_event, max(searched_bytes - 1, 0))
            self.is_inside_event = begun is not None
        complete = bytes(self._partial_event[:complete_bytes])
        del self._partial_event[:complete_bytes]
        self._preceding_bytes = end - complete_bytes
        self._checked_bytes -= complete_bytes
        if self.partial_bytes - self._checked_bytes >= CHECKED_PART_BYTES:
            self._check_part()
        return complete

    def _check_part(self) -> None:
        """Check what has come of a large event, so that its end is cheap."""
        lines = self._checked_lines + self._partial_event[self._checked_bytes :]
        self._checked_bytes = self.partial_bytes
        match event_sequence.shorten(lines):
            case Ok(shortened):
                self._checked_lines = shortened
            case Err(fault):
                self.fault = fault

    def find_end_fault(self, is_end_stated: bool) -> event_sequence.StreamFault | None:
        """Return why the end of the run is not that of the stream, or None.

        A run without events may have been asked for after the last event. That
        it has ended well is known only if the run itself has said so: a
        connection may also be closed by a server that has failed.

        Args:
            is_end_stated: Whether the run has stated that it is whole, rather
                than closed its connection.
        """
        if self.fault is not None:
            return self.fault
        if self.is_inside_event:
            return event_sequence.StreamFault.ENDED_INSIDE_EVENT
        if self.run_event_count == 0 and (self._has_further_event or not is_end_stated):
            return event_sequence.StreamFault.ENDED_BEFORE_EVENTS
        return None

    def next_run(self) -> "EventStream":
        """Return the stream of another run, to go on after the last event.

        What this run has shown holds for the next one: how events are
        numbered, and that a further one follows if this run broke off inside
        it.
        """
        following = EventStream()
        following._position = self._position
        following._events_before_run = self.event_count
        is_known_to_go_on = self._has_further_event and not self.run_event_count
        following._has_further_event = is_known_to_go_on or self.is_inside_event
        return following
