"""The mix and the worth of the work that is sent, measured with a decay."""

import math

from lacewingdrum_coordination import priorities

DECAY_S = 60.0
MIN_DECAY_STEP_S = 0.1
PRIORITY_COUNT = len(priorities.PRIORITY_OF_LENGTH_CLASS)


class DemandMeter:
    """Tokens at each priority, and their worth, over the last while."""

    __slots__ = ("_decay_s", "_tokens", "_worth", "_at_s")

    def __init__(self, decay_s: float = DECAY_S):
        """Start at rest.

        Args:
            decay_s: the time in which older work fades to a third.
        """
        self._decay_s = decay_s
        self._tokens = [0.0] * PRIORITY_COUNT
        self._worth = 0.0
        self._at_s: float | None = None

    def record_work(
        self, priority: int, tokens: float, worth: float, now_s: float
    ) -> None:
        """Count work that was sent."""
        self._apply_decay(now_s)
        self._tokens[priority] += tokens
        self._worth += worth

    def share(self, priority: int, now_s: float) -> float:
        """Returns: the part of the work up to a priority; 0 before any."""
        self._apply_decay(now_s)
        total = sum(self._tokens)
        return sum(self._tokens[: priority + 1]) / total if total else 0.0

    def worth_per_token(self, now_s: float) -> float:
        """Returns: the mean worth of a token; 0 before anything was sent."""
        self._apply_decay(now_s)
        tokens = sum(self._tokens)
        return self._worth / tokens if tokens else 0.0

    def _apply_decay(self, now_s: float) -> None:
        if self._at_s is None:
            self._at_s = now_s
            return
        elapsed_s = now_s - self._at_s
        if elapsed_s < MIN_DECAY_STEP_S:
            return
        factor = math.exp(-elapsed_s / self._decay_s)
        self._tokens = [tokens * factor for tokens in self._tokens]
        self._worth *= factor
        self._at_s = now_s
