"""Splits a stream of server-sent events into complete events.

The events are forwarded unchanged; ``sse`` extracts the data of events.
"""

import re

MAX_EVENT_BYTES = 4 * 1024 * 1024
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\n|\r")
_COMMENT_MARK = b":"
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventStream:
    """Returns complete events unchanged and stores the last event's id."""

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.event_count = 0
        self._partial_event = b""

    @property
    def partial_event(self) -> bytes:
        """The bytes of an event that is not complete yet."""
        return self._partial_event

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and its end has not been received.

        Empty lines and comments belong to no event.
        """
        lines = _LINE_END.split(self._partial_event)
        return any(line and not line.startswith(_COMMENT_MARK) for line in lines)

    @property
    def is_event_too_large(self) -> bool:
        """Whether the incomplete event is larger than ``MAX_EVENT_BYTES``."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Add received bytes.

        Args:
            data: The next bytes of the stream; they may end inside an event.

        Returns:
            The events that are now complete.
        """
        data = self._partial_event + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
            self.event_count += 1
        complete = data[:end]
        self._partial_event = data[end:]
        event_ids = _EVENT_ID.findall(complete)
        if event_ids:
            self.last_event_id = event_ids[-1].decode("latin-1")
        return complete

    def discard_partial_event(self) -> None:
        """Discard the bytes of an event that was interrupted."""
        self._partial_event = b""
