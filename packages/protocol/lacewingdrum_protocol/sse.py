"""Parses and encodes server-sent events; only the data field is supported."""

MAX_EVENT_BYTES = 1024 * 1024


class SseError(ValueError):
    """An event that is larger than the parser's limit."""


class SseParser:
    """Extracts the data of each event from a stream of bytes."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._partial_line = b""
        self._data_lines: list[bytes] = []
        self._data_bytes = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun but is not complete."""
        return bool(self._partial_line or self._data_lines)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes.

        Args:
            data: The next bytes of the stream; they may end inside an event.

        Returns:
            The data of each event that is now complete.

        Raises:
            SseError: If an event is larger than the limit.
        """
        # A carriage return at the end may be the first half of "\r\n".
        data = self._partial_line + data
        held_back = b"\r" if data.endswith(b"\r") else b""
        if held_back:
            data = data[:-1]
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        lines = data.split(b"\n")
        self._partial_line = lines.pop() + held_back
        events: list[bytes] = []
        for line in lines:
            self._parse_line(line, events)
        if len(self._partial_line) + self._data_bytes > self._max_event_bytes:
            raise SseError("event too large")
        return events

    def _parse_line(self, line: bytes, events: list[bytes]) -> None:
        if not line:
            if self._data_lines:
                events.append(b"\n".join(self._data_lines))
                self._data_lines = []
                self._data_bytes = 0
            return
        name, _, value = line.partition(b":")
        if name == b"data":
            value = value.removeprefix(b" ")
            self._data_lines.append(value)
            self._data_bytes += len(value) + 1


def encode(data: bytes) -> bytes:
    """Return the bytes of an event with ``data``."""
    if b"\n" not in data:
        return b"data: " + data + b"\n\n"
    lines = (b"data: " + line + b"\n" for line in data.split(b"\n"))
    return b"".join(lines) + b"\n"
