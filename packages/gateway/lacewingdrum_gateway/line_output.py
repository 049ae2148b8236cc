"""Writes log lines to a descriptor without blocking the daemon.

Lines are collected in a bounded buffer that is written several times a second.
Lines that do not fit because the reader is too slow are dropped and counted;
a log line reports their number.
"""

import asyncio
import contextlib
import logging
import os
from collections.abc import Callable

from lacewingdrum_runtime import decision_log

_DROPPED = decision_log.DecisionEvent.LINES_DROPPED.value
BUFFER_MAX_BYTES = 2 * 1024 * 1024
FLUSH_INTERVAL_S = 0.2
LINES_PER_SECOND_MAX = 2_000


class LineOutput(logging.Handler):
    """Buffers formatted lines and writes them without blocking."""

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        super().__init__()
        self.dropped_count = 0
        self._reported_count = 0
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._second = 0
        self._second_count = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def has_unwritten(self) -> bool:
        """Whether the buffer holds lines that are not written yet."""
        return bool(self._buffer)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or drop it if there are too many."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._second_count = second, 0
        self._second_count += 1
        too_many = self._second_count > LINES_PER_SECOND_MAX
        if record.levelno < logging.WARNING and too_many:
            self.dropped_count += 1
            return
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if len(self._buffer) + len(line) > BUFFER_MAX_BYTES:
            self.dropped_count += 1
            return
        self._buffer += line

    def start(self) -> None:
        """Begin to write; lines emitted before are buffered."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        self._flush_periodically()

    def close(self) -> None:
        """Write what can be written without waiting, and close."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.flush()
        super().close()

    def _report_dropped(self) -> None:
        """Add a line with the number of lines dropped since the last one."""
        if self.dropped_count == self._reported_count:
            return
        count = self.dropped_count - self._reported_count
        record = logging.LogRecord(
            decision_log.ROOT_LOGGER, logging.WARNING, "", 0, _DROPPED, None, None
        )
        record.__dict__.update(event=_DROPPED, count=count)
        line = self.format(record).encode() + b"\n"
        if len(self._buffer) + len(line) <= BUFFER_MAX_BYTES:
            self._buffer += line
            self._reported_count = self.dropped_count

    def flush(self) -> None:
        """Write as much as the descriptor accepts without waiting."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is closed, and there is no other place to log.
                self.dropped_count += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _flush_periodically(self) -> None:
        self._report_dropped()
        self.flush()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self._flush_periodically)
