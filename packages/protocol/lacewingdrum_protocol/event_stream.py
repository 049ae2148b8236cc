"""Splits a stream of server-sent events into complete events.

The events are forwarded unchanged; ``sse`` extracts the data of events.
"""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_END_BYTES_MAX = 4
_LINE_END = re.compile(rb"\r\n|\n|\r")
_COMMENT_MARK = b":"
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventStream:
    """Returns complete events unchanged and stores the last event's id."""

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.event_count = 0
        self._partial_event = bytearray()

    @property
    def partial_event(self) -> bytes:
        """The bytes of an event that is not complete yet."""
        return bytes(self._partial_event)

    @property
    def partial_bytes(self) -> int:
        """The number of bytes of an event that is not complete yet."""
        return len(self._partial_event)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and its end has not been received.

        Empty lines and comments belong to no event.
        """
        lines = _LINE_END.split(self._partial_event)
        return any(line and not line.startswith(_COMMENT_MARK) for line in lines)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes.

        Args:
            data: The next bytes of the stream; they may end inside an event.

        Returns:
            The events that are now complete.
        """
        # The bytes received before were searched then; only a mark of the end
        # may have begun in them.
        start = max(len(self._partial_event) - _EVENT_END_BYTES_MAX + 1, 0)
        self._partial_event += data
        end = 0
        for match in _EVENT_END.finditer(self._partial_event, start):
            end = match.end()
            self.event_count += 1
        complete = bytes(self._partial_event[:end])
        del self._partial_event[:end]
        event_ids = _EVENT_ID.findall(complete)
        if event_ids:
            self.last_event_id = event_ids[-1].decode("latin-1")
        return complete

    def discard_partial_event(self) -> None:
        """Discard the bytes of an event that was interrupted."""
        self._partial_event = bytearray()
