"""Measures the work sent at each priority and its worth, with a decay."""

import math

from lacewingdrum_coordination import priorities

DECAY_S = 60.0
MIN_DECAY_STEP_S = 0.1
PRIORITY_COUNT = len(priorities.PRIORITY_OF_LENGTH_CLASS)


class DemandMeter:
    """Exponentially decaying sums of tokens per priority and of worth."""

    __slots__ = ("_decay_s", "_tokens", "_worth", "_at_s")

    def __init__(self, decay_s: float = DECAY_S):
        """Start without work.

        Args:
            decay_s: time constant, in which older work decays to 1/e (about
                a third).
        """
        self._decay_s = decay_s
        self._tokens = [0.0] * PRIORITY_COUNT
        self._worth = 0.0
        self._at_s: float | None = None

    def record_work(
        self, priority: int, tokens: float, worth: float, now_s: float
    ) -> None:
        """Count work that was sent to a runner."""
        self._apply_decay(now_s)
        self._tokens[priority] += tokens
        self._worth += worth

    def share(self, priority: int, now_s: float) -> float:
        """Return the share of work that has this priority or a higher one.

        Args:
            priority: the lowest priority (highest number) that is counted.
            now_s: current time.

        Returns:
            The share, or 0 if no work was sent.
        """
        self._apply_decay(now_s)
        total = sum(self._tokens)
        return sum(self._tokens[: priority + 1]) / total if total else 0.0

    def worth_per_token(self, now_s: float) -> float:
        """Return the mean worth per token; 0 before any work was sent."""
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
