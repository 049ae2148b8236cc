"""Decides which rows of the table of daemons have outlived their daemons.

A daemon renews its row several times in the term that the row states. A row
has expired if it was not renewed, and its daemon not heard, for its term. Time
counts only between two reads that both succeeded: while the store is away,
nobody can renew a row.
"""

import dataclasses
from collections.abc import Collection, Iterable

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonRow:
    """A row as read; ``version`` changes whenever the row is written."""

    address: ids.VmId
    version: int
    term_s: float


@dataclasses.dataclass(slots=True)
class _Age:
    row: DaemonRow
    unrenewed_s: float = 0.0


class DaemonRows:
    """Measures for how long rows were not renewed and daemons not heard."""

    def __init__(self) -> None:
        self._ages: dict[ids.VmId, _Age] = {}
        self._era = 0
        self._last_read_s: float | None = None

    def record_failure(self) -> None:
        """Record a failed read; the time until the next read counts not."""
        self._last_read_s = None

    def record_read(
        self,
        era: int,
        rows: Iterable[DaemonRow],
        heard: Collection[ids.VmId],
        now_s: float,
    ) -> None:
        """Record all rows of a read.

        Args:
            era: the era of the store; in a new one all terms begin anew.
            rows: the rows.
            heard: the daemons that are heard, with this one.
            now_s: the current time.
        """
        last_s = now_s if self._last_read_s is None else self._last_read_s
        known = self._ages if era == self._era else {}
        self._ages = {
            row.address: _Age(row, _unrenewed_s(known, row, now_s - last_s))
            for row in rows
        }
        for address in heard:
            if address in self._ages:
                self._ages[address].unrenewed_s = 0.0
        self._era = era
        self._last_read_s = now_s

    def expired(self) -> tuple[DaemonRow, ...]:
        """Return the rows that have expired at the last read."""
        return tuple(
            age.row for age in self._ages.values() if age.unrenewed_s > age.row.term_s
        )

    def newest_first(self) -> tuple[DaemonRow, ...]:
        """Return all other rows, the one written last first."""
        lasting = (
            age.row for age in self._ages.values() if age.unrenewed_s <= age.row.term_s
        )
        return tuple(sorted(lasting, key=lambda row: row.version, reverse=True))


def is_remover(own: ids.VmId, heard: Iterable[ids.VmId]) -> bool:
    """Return whether a daemon removes expired rows; one of those heard does.

    Args:
        own: the daemon.
        heard: the other daemons that it hears.
    """
    return all(_rank(own) < _rank(other) for other in heard)


def _unrenewed_s(known: dict[ids.VmId, _Age], row: DaemonRow, passed_s: float) -> float:
    age = known.get(row.address)
    if age is None or age.row.version != row.version:
        return 0.0
    return age.unrenewed_s + passed_s


def _rank(address: ids.VmId) -> tuple[int, ids.VmId]:
    return coordinators.stable_hash(address), address
