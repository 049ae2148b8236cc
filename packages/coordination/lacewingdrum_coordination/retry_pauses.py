"""Decides how long a daemon waits before it calls the store again.

Pauses double up to a limit and carry jitter, so that daemons whose calls
failed at the same moment do not all come back at the same moment.
"""

import random

# The longest pause of a small fleet; it grows with the daemons heard.
PAUSE_MAX_S = 1.0
# What a pause has to leave of a bound, for the call itself and for the news.
CALL_RESERVE_S = 1.0
PAUSE_LIMIT_MIN_S = 0.25
JITTER_RATIO = 0.5


class RetryPauses:
    """Doubles the pause with each failure.

    Args:
        first_s: the first pause.
        rng: the source of the jitter.
    """

    def __init__(self, first_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._rng = rng
        self._next_s = first_s

    def reset(self) -> None:
        """Begin with the first pause again, after a success."""
        self._next_s = self._first_s

    def take_s(self, limit_s: float) -> float:
        """Return the pause after one more failure.

        Args:
            limit_s: the longest pause.
        """
        pause_s = min(self._next_s, limit_s)
        self._next_s = 2 * pause_s
        return spread_s(pause_s, self._rng)


def spread_s(interval_s: float, rng: random.Random) -> float:
    """Return a random part of an interval, at most the whole of it.

    Args:
        interval_s: the interval.
        rng: the source of the jitter.
    """
    return interval_s * rng.uniform(1.0 - JITTER_RATIO, 1.0)


def limit_s(fleet_size_factor: float, bound_s: float) -> float:
    """Return the longest pause.

    Args:
        fleet_size_factor: grows with the number of daemons that are heard.
        bound_s: the time within which a change has to be known.
    """
    left_s = max(bound_s - CALL_RESERVE_S, PAUSE_LIMIT_MIN_S)
    return min(PAUSE_MAX_S * fleet_size_factor, left_s)
