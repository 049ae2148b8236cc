"""Measures the lag of the event loop.

Admission uses it, since the daemon itself can be the bottleneck.
"""

import asyncio
from collections.abc import Callable

SAMPLE_INTERVAL_S = 0.05
SMOOTHING_FACTOR = 0.2


class LoopLag:
    """Wakes up at a fixed interval and smooths the lateness in seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self.lag_s = 0.0

    def start(self) -> None:
        """Start measuring."""
        self._task = asyncio.get_running_loop().create_task(self._measure())

    async def close(self) -> None:
        """Stop measuring."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _measure(self) -> None:
        while True:
            before_s = self._clock()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            late_s = max(0.0, self._clock() - before_s - SAMPLE_INTERVAL_S)
            self.lag_s += SMOOTHING_FACTOR * (late_s - self.lag_s)
