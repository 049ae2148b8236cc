"""Tracks which daemons may send requests, so that none is left out.

Daemons that divide a limit must not take more than it together, whoever hears
whom. So each counts all daemons that it knows: also silent ones, whose part
stays unused, and those that only a seed or a row of the store names. A daemon
that counts too many sends too little; one that counts too few would send too
much, so a daemon that has just started first learns the others. It also waits
until it has heard them all: one that it has heard knows of it, and leaves it
its part; a silent one may not.
"""

import dataclasses
from collections.abc import Iterable

from lacewingdrum_coordination import rate_shares
from lacewingdrum_state import ids, runner_entries

# A daemon counts for this time after it was last heard or named.
KEPT_S = 600.0
# Within this time of its first contact a daemon learns all others.
LEARNING_S = 2.0
# After this time a daemon no longer waits for others that it has not heard.
UNHEARD_S = 60.0
# A daemon that knows no other one is taken to be alone after this time.
ALONE_S = 8.0
DAEMONS_MAX = 4_096
UNKNOWN_DATA_CENTRE = ids.DataCentre("")


@dataclasses.dataclass(slots=True)
class _Known:
    data_centre: ids.DataCentre
    last_s: float
    is_heard: bool = False


class SharingDaemons:
    """All daemons that may send requests, by what this one knows.

    Args:
        own_address: this daemon.
        data_centre: its data centre.
        started_s: when it started.
    """

    def __init__(
        self, own_address: ids.VmId, data_centre: ids.DataCentre, started_s: float
    ) -> None:
        self._own = (own_address, data_centre)
        self._started_s = started_s
        self._first_contact_s: float | None = None
        self._is_learnt = False
        self._others: dict[ids.VmId, _Known] = {}
        # Both change when the place of this daemon may change; the second one
        # only when it may come to be among those that divide a limit.
        self.version = 0
        self.improved_s = started_s

    @property
    def count(self) -> int:
        """The number of daemons, with this one."""
        return len(self._others) + 1

    @property
    def addresses(self) -> tuple[ids.VmId, ...]:
        """The other daemons."""
        return tuple(self._others)

    def record_heard(
        self, address: ids.VmId, data_centre: ids.DataCentre, now_s: float
    ) -> None:
        """Record contact with a daemon."""
        if address == self._own[0]:
            return
        if self._first_contact_s is None:
            self._first_contact_s = now_s
        known = self._add(address, now_s)
        if known is not None:
            known.is_heard = True
        if known is not None and data_centre not in (
            known.data_centre,
            UNKNOWN_DATA_CENTRE,
        ):
            known.data_centre = data_centre
            self._record_change(now_s)

    def record_named(self, addresses: Iterable[ids.VmId], now_s: float) -> None:
        """Record daemons that others, seeds or the store name."""
        for address in addresses:
            if address != self._own[0]:
                self._add(address, now_s)

    def forget_old(self, now_s: float) -> None:
        """Drop daemons that were neither heard nor named for long."""
        old = [
            address
            for address, known in self._others.items()
            if now_s - known.last_s > KEPT_S
        ]
        for address in old:
            del self._others[address]
        if old:
            self._record_change(now_s)

    def is_learnt(self, now_s: float) -> bool:
        """Return whether this daemon knows the others, and they know it."""
        if self._first_contact_s is None:
            return not self._others and now_s - self._started_s >= ALONE_S
        if not self._is_learnt:
            passed_s = now_s - self._first_contact_s
            are_heard = all(known.is_heard for known in self._others.values())
            is_long = passed_s >= UNHEARD_S
            self._is_learnt = is_long or (are_heard and passed_s >= LEARNING_S)
        return self._is_learnt

    def own_place(self, entry: runner_entries.RunnerEntry) -> int:
        """Return how many daemons come before this one at a runner.

        A daemon whose data centre is not known counts as one of the runner's.
        """
        own_key = rate_shares.sort_key(entry, self._own)
        return sum(
            rate_shares.sort_key(
                entry, (address, known.data_centre or entry.data_centre)
            )
            < own_key
            for address, known in self._others.items()
        )

    def _add(self, address: ids.VmId, now_s: float) -> _Known | None:
        known = self._others.get(address)
        if known is None:
            if len(self._others) >= DAEMONS_MAX:
                return None
            known = self._others[address] = _Known(UNKNOWN_DATA_CENTRE, now_s)
            self.version += 1
        known.last_s = max(known.last_s, now_s)
        return known

    def _record_change(self, now_s: float) -> None:
        self.version += 1
        self.improved_s = now_s
