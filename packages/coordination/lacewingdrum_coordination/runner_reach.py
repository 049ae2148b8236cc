"""Decides whether this daemon is cut off from all runners.

One runner that cannot be reached says nothing of the others. After such a
failure a few other runners are checked, of different services and data
centres and none that is suspected already; if none of them accepts a
connection, the daemon takes itself for cut off. Then it goes on to check a
few of all runners until one accepts.
"""

import random
from collections.abc import Iterable, Sequence

from lacewingdrum_state import ids, runner_entries

CHECK_RUNNERS = 3
RECHECK_RUNNERS = 2
# A check is not repeated within this time.
CHECK_VALID_S = 0.3


class RunnerReach:
    """What checks have shown of this daemon's paths to runners."""

    def __init__(self) -> None:
        self.is_cut_off = False
        self.cut_off_since_s = float("inf")
        self._contact_s = float("-inf")
        self._checked_s = float("-inf")

    def record_contact(self, now_s: float) -> None:
        """Record that something arrived from a runner."""
        self._contact_s = now_s

    def silent_s(self, now_s: float) -> float:
        """Return the time since something arrived from any runner."""
        return now_s - self._contact_s

    def is_silent_since(self, since_s: float) -> bool:
        """Return whether nothing has arrived from any runner since a time."""
        return self._contact_s <= since_s

    def is_check_valid(self, now_s: float) -> bool:
        """Return whether the last check is recent enough to rely on it."""
        return now_s - self._checked_s < CHECK_VALID_S

    def apply_check(self, accepted: Iterable[bool], now_s: float) -> bool:
        """Record a check.

        Args:
            accepted: for each runner whether it accepted a connection.
            now_s: the current time.

        Returns:
            Whether this daemon was cut off, or no longer is, by this check.
        """
        self._checked_s = now_s
        results = tuple(accepted)
        is_cut_off = bool(results) and not any(results)
        if is_cut_off == self.is_cut_off:
            return False
        self.is_cut_off = is_cut_off
        self.cut_off_since_s = now_s if is_cut_off else float("inf")
        return True


def pick_for_check(
    entries: Sequence[runner_entries.RunnerEntry],
    suspects: frozenset[ids.RunnerId],
    rng: random.Random,
) -> list[runner_entries.RunnerEntry]:
    """Return the runners to check after a failure, as different as possible.

    Args:
        entries: all runners.
        suspects: those that are suspected; they are chosen only if there are
            no others.
        rng: chooses among equal ones.
    """
    candidates = [entry for entry in entries if entry.runner_id not in suspects]
    remaining = rng.sample(candidates or list(entries), len(candidates or entries))
    chosen: list[runner_entries.RunnerEntry] = []
    while remaining and len(chosen) < CHECK_RUNNERS:
        best = max(remaining, key=lambda entry: _difference(entry, chosen))
        remaining.remove(best)
        chosen.append(best)
    return chosen


def pick_for_recheck(
    entries: Sequence[runner_entries.RunnerEntry], rng: random.Random
) -> list[runner_entries.RunnerEntry]:
    """Return the runners to check while this daemon is cut off."""
    return rng.sample(entries, min(RECHECK_RUNNERS, len(entries)))


def _difference(
    entry: runner_entries.RunnerEntry, chosen: list[runner_entries.RunnerEntry]
) -> int:
    """Return how new the service and, after it, the data centre would be."""
    is_new_service = all(entry.service != other.service for other in chosen)
    is_new_centre = all(entry.data_centre != other.data_centre for other in chosen)
    return 2 * is_new_service + is_new_centre
