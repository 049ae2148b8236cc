"""Tracks engines that are measured to be slower than the operators state.

The shortest pause in a series of events is the time of a pass without prefill.
It therefore shows how fast the engine itself is, whatever its prefill load.
"""

import dataclasses
import math

from lacewingdrum_state import ids

# Lower ratios are within the usual differences between engines.
SLOWDOWN_MIN = 1.5
SLOWDOWN_MAX = 20.0
HALF_LIFE_S = 3.0
SMOOTHING = 0.5


@dataclasses.dataclass(slots=True)
class _Observation:
    slowdown: float
    as_of_s: float


class EngineSlowdowns:
    """The engines' slowdowns, of which only those over 1 are stored.

    They decay towards 1, so that slow engines get work again.
    """

    def __init__(self) -> None:
        self._observations: dict[ids.RunnerId, _Observation] = {}

    def record(self, runner_id: ids.RunnerId, slowdown: float, now_s: float) -> bool:
        """Record one measurement.

        Args:
            runner_id: the engine.
            slowdown: the ratio of the measured time of a pass to the stated
                one.
            now_s: the current time.

        Returns:
            Whether the measurement was stored. It is if the engine counts as
            slow, or did until now.
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
        """Return how many times slower the engine is than stated."""
        observation = self._observations.get(runner_id)
        if observation is None:
            return 1.0
        decay = math.exp2(-max(now_s - observation.as_of_s, 0.0) / HALF_LIFE_S)
        slowdown = 1.0 + (observation.slowdown - 1.0) * decay
        # An engine that counted as slow does so until its slowdown is below
        # this bound, which is lower than SLOWDOWN_MIN.
        if slowdown < SLOWDOWN_MIN / 1.2:
            del self._observations[runner_id]
            return 1.0
        return slowdown
