"""Measures the lag of the event loop.

While one turn of the loop works, nothing else is served.
"""

import asyncio
from collections.abc import Callable

from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import units

SAMPLE_INTERVAL_S = 0.05
SMOOTHING_FACTOR = 0.2
LOGGED_LAG_S = 0.2
METRIC_NAME = "loop_late_seconds"


class LoopLag:
    """Wakes up at a fixed interval and measures by how much it is late.

    ``lag_s`` is the smoothed lateness. Each one is counted in a histogram,
    and long ones are logged.

    Args:
        clock: returns the time in seconds, without suspensions of the VM.
        decisions: receives a line for each long lateness.
        counts: receives the histogram.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._decisions = decisions
        self._histogram = counts.histogram(METRIC_NAME)
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
            self._record(max(0.0, self._clock() - before_s - SAMPLE_INTERVAL_S))

    def _record(self, late_s: float) -> None:
        self.lag_s += SMOOTHING_FACTOR * (late_s - self.lag_s)
        self._histogram.add(late_s)
        if late_s > LOGGED_LAG_S:
            self._decisions.record(
                decision_log.DecisionEvent.LOOP_LATE,
                None,
                late_ms=late_s * units.MS_PER_S,
            )
