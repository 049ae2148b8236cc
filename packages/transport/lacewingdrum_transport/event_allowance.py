"""Decides whether an answer has far more events than a sound server sends."""

from collections.abc import Callable

EVENTS_MIN = 4_096
BYTES_PER_EVENT = 8
EVENTS_PER_S = 1_000


class EventAllowance:
    """What one answer may bring for its bytes and its time.

    Args:
        clock: returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._start_s = clock()
        self._event_count = 0
        self._received_bytes = 0

    def count(self, event_count: int, received_bytes: int = 0) -> None:
        """Count events, and bytes that came with them."""
        self._event_count += event_count
        self._received_bytes += received_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the answer has brought more events than it may."""
        if self._event_count <= EVENTS_MIN:
            return False
        allowed_count = EVENTS_MIN + self._received_bytes / BYTES_PER_EVENT
        allowed_count += (self._clock() - self._start_s) * EVENTS_PER_S
        return self._event_count > allowed_count
