"""Remembers which incarnations of runners leave or are gone.

The platform's list can be behind what is known otherwise: runners say in their
answers that they leave, peers report it, and a store that has returned from an
older copy lists runners again that had left before.
"""

import dataclasses
from collections.abc import Collection

from lacewingdrum_state import ids, runner_entries

# A departure is forgotten when its incarnation has not been listed for this
# long.
UNLISTED_KEPT_S = 120.0
# After a return of the store from an older copy, a runner that was gone before
# and is listed again gets no work for this long. By then the platform has
# removed the entries that no runner renews.
ENTRY_EXPIRY_S = 5.0


@dataclasses.dataclass(slots=True)
class _Leaving:
    born_ms: int
    last_listed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Gone:
    """An incarnation that a list of ``era`` no longer had."""

    born_ms: int
    era: int
    since_s: float


class RunnerDepartures:
    """The departures of runners; times are those of the newest list."""

    def __init__(self) -> None:
        self._leaving: dict[ids.RunnerId, _Leaving] = {}
        self._gone: dict[ids.RunnerId, _Gone] = {}
        self._era = 0
        self._era_since_s = float("-inf")

    @property
    def may_have_ended(self) -> bool:
        """Whether a departure may have ended with time, without a new list."""
        return bool(self._gone)

    def record_leaving(
        self, runner_id: ids.RunnerId, born_ms: int, now_s: float
    ) -> bool:
        """Record that an incarnation leaves.

        Args:
            runner_id: the runner.
            born_ms: distinguishes its incarnations.
            now_s: the time of the newest list.

        Returns:
            Whether this was not known of this incarnation or a later one.
        """
        known = self._leaving.get(runner_id)
        if known is not None and known.born_ms >= born_ms:
            return False
        self._leaving[runner_id] = _Leaving(born_ms, now_s)
        return True

    def record_gone(
        self, entry: runner_entries.RunnerEntry, era: int, now_s: float
    ) -> None:
        """Record that a list no longer has a runner.

        Args:
            entry: the entry of the runner in the list before.
            era: the era of the store in which the list was read.
            now_s: the time of the list.
        """
        self._gone[entry.runner_id] = _Gone(entry.born_ms, era, now_s)

    def record_era(self, era: int, now_s: float) -> None:
        """Record the first list of a new era of the store.

        Args:
            era: the new era.
            now_s: the time of that list.
        """
        self._era = era
        self._era_since_s = now_s

    def is_leaving(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether this incarnation is known to leave."""
        known = self._leaving.get(entry.runner_id)
        return known is not None and entry.born_ms <= known.born_ms

    def may_get_work(self, entry: runner_entries.RunnerEntry, now_s: float) -> bool:
        """Return whether a runner that is listed as ready may get work.

        Args:
            entry: the entry of the runner in the newest list.
            now_s: the time of that list.
        """
        if self.is_leaving(entry):
            return False
        gone = self._gone.get(entry.runner_id)
        is_from_older_copy = (
            gone is not None and gone.era < self._era and entry.born_ms <= gone.born_ms
        )
        return not is_from_older_copy or now_s >= self._era_since_s + ENTRY_EXPIRY_S

    def forget_unlisted(self, listed: Collection[ids.RunnerId], now_s: float) -> None:
        """Drop departures of runners that have long not been listed.

        Args:
            listed: the runners of the newest list.
            now_s: the time of that list.
        """
        oldest_s = now_s - UNLISTED_KEPT_S
        for runner_id, leaving in tuple(self._leaving.items()):
            if runner_id in listed:
                leaving.last_listed_s = now_s
            elif leaving.last_listed_s < oldest_s:
                del self._leaving[runner_id]
        for runner_id, gone in tuple(self._gone.items()):
            if gone.since_s < oldest_s:
                del self._gone[runner_id]
