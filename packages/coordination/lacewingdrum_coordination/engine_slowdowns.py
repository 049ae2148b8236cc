"""Which engines are slower than the operators state, by what they show.

The shortest pause of some events in a row is a pass without reading, so it
tells the engine's own pace from the load that it has.
"""

import dataclasses
import math

from lacewingdrum_state import ids

# Shorter passes are within what engines differ by.
SLOWDOWN_MIN = 1.5
SLOWDOWN_MAX = 20.0
HALF_LIFE_S = 3.0
SMOOTHING = 0.5


@dataclasses.dataclass(slots=True)
class _Observation:
    slowdown: float
    as_of_s: float


class EngineSlowdowns:
    """Paces over 1 of slow engines; they fade, so that engines are tried."""

    def __init__(self) -> None:
        self._observations: dict[ids.RunnerId, _Observation] = {}

    def record(self, runner_id: ids.RunnerId, slowdown: float, now_s: float) -> bool:
        """Take one measured pace.

        Args:
            runner_id: the engine.
            pace: its pass against the stated one.
            now_s: the time.

        Returns:
            Whether the engine is, or was until now, taken for slow.
        """
        before = self.slowdown(runner_id, now_s)
        is_slow = slowdown >= SLOWDOWN_MIN
        if not is_slow and before <= 1.0:
            return False
        measured = min(slowdown, SLOWDOWN_MAX) if is_slow else 1.0
        smoothed = before + SMOOTHING * (measured - before)
        if before <= 1.0:
            smoothed = measured
        self._observations[runner_id] = _Observation(smoothed, now_s)
        return True

    def slowdown(self, runner_id: ids.RunnerId, now_s: float) -> float:
        """Returns: how many times slower the engine is than stated."""
        observation = self._observations.get(runner_id)
        if observation is None:
            return 1.0
        decay = math.exp2(-max(now_s - observation.as_of_s, 0.0) / HALF_LIFE_S)
        slowdown = 1.0 + (observation.slowdown - 1.0) * decay
        if slowdown < SLOWDOWN_MIN / 1.2:
            del self._observations[runner_id]
            return 1.0
        return slowdown
