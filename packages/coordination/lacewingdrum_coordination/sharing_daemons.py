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

# A daemon counts for this time after it was last heard, here or elsewhere, or
# after it was first named if it never was.
KEPT_S = 600.0
# Within this time of its first contact a daemon learns all others.
LEARNING_S = 2.0
# After this time a daemon no longer waits for others that it has not heard.
UNHEARD_S = 60.0
# A daemon that has heard nobody for this time learns the others again, since
# those that were added meanwhile no longer wait for it.
LOST_TOUCH_S = 60.0
# A daemon that knows no other one is taken to be alone after this time.
ALONE_S = 8.0
DAEMONS_MAX = 4_096
UNKNOWN_DATA_CENTRE = ids.DataCentre("")


@dataclasses.dataclass(slots=True)
class _Known:
    data_centre: ids.DataCentre
    last_s: float
    is_heard: bool = False
    was_heard: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReport:
    """What another daemon says of one that it may not hear.

    ``age_s`` is the time since it was last heard, or since it was first named
    if ``was_heard`` is not set.
    """

    address: ids.VmId
    age_s: float
    was_heard: bool


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
        self._knows_all = False
        self._last_contact_s = started_s
        self._others: dict[ids.VmId, _Known] = {}
        # Whether one that was heard is not counted, as there are too many.
        self._lacks_room = False
        # When daemons were last heard that have been dropped since.
        self._dropped_s: dict[ids.VmId, float] = {}
        # The version rises when the place of this daemon may change. The time
        # is when it may last have come to divide a limit.
        self.version = 0
        self.place_gained_s = started_s

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
        if now_s - self._last_contact_s > LOST_TOUCH_S:
            self._learn_again()
        self._last_contact_s = now_s
        if self._first_contact_s is None:
            self._first_contact_s = now_s
        self._dropped_s.pop(address, None)
        known = self._add(address, now_s, is_heard=True)
        if known is None:
            self._lacks_room = True
            return
        known.is_heard = known.was_heard = True
        known.last_s = max(known.last_s, now_s)
        if data_centre not in (known.data_centre, UNKNOWN_DATA_CENTRE):
            known.data_centre = data_centre
            self._record_possible_gain(now_s)

    def record_named(self, addresses: Iterable[ids.VmId], now_s: float) -> None:
        """Record daemons that seeds or the store name.

        That does not show that they still run, so that those which are known
        or have been dropped get no older or younger by it.
        """
        for address in addresses:
            if address != self._own[0] and address not in self._dropped_s:
                self._add(address, now_s)

    def record_reported(self, reports: Iterable[DaemonReport], now_s: float) -> None:
        """Record daemons that another one knows, with their age."""
        for report in reports:
            address, age_s = report.address, max(report.age_s, 0.0)
            last_s = now_s - age_s
            is_dropped = address in self._dropped_s
            is_newer = last_s > self._dropped_s.get(address, float("-inf"))
            if address == self._own[0] or not age_s <= KEPT_S:
                continue
            if is_dropped and not (report.was_heard and is_newer):
                continue
            self._dropped_s.pop(address, None)
            known = self._add(address, last_s)
            if known is not None and report.was_heard:
                known.was_heard = True
                known.last_s = max(known.last_s, last_s)

    def reports(self, now_s: float) -> tuple[DaemonReport, ...]:
        """Return the other daemons, those that were heard latest first."""
        in_order = sorted(self._others.items(), key=lambda item: -item[1].last_s)
        return tuple(
            DaemonReport(address, max(now_s - known.last_s, 0.0), known.was_heard)
            for address, known in in_order
        )

    def forget_old(self, now_s: float) -> None:
        """Drop daemons that nobody has heard for long.

        A daemon that hears nobody, or learns the others again, drops none: it
        keeps its small part of a limit.
        """
        has_touch = now_s - self._last_contact_s <= LOST_TOUCH_S
        if not has_touch or not self._has_learnt(now_s):
            return
        old = [
            address
            for address, known in self._others.items()
            if now_s - known.last_s > KEPT_S
        ]
        for address in old:
            if len(self._dropped_s) >= DAEMONS_MAX:
                del self._dropped_s[next(iter(self._dropped_s))]
            self._dropped_s[address] = self._others.pop(address).last_s
        if old:
            self._lacks_room = False
            self._record_possible_gain(now_s)

    def knows_all(self, now_s: float) -> bool:
        """Return whether this daemon knows the others, and they know it."""
        if self._first_contact_s is None:
            return not self._others and now_s - self._started_s >= ALONE_S
        return self._has_learnt(now_s) and not self._lacks_room

    def _has_learnt(self, now_s: float) -> bool:
        """Return whether the time since the first contact is enough."""
        if self._first_contact_s is None:
            return False
        if not self._knows_all:
            passed_s = now_s - self._first_contact_s
            are_heard = all(known.is_heard for known in self._others.values())
            waited_long = passed_s >= UNHEARD_S
            self._knows_all = waited_long or (are_heard and passed_s >= LEARNING_S)
        return self._knows_all

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

    def _learn_again(self) -> None:
        self._knows_all = False
        self._first_contact_s = None
        for known in self._others.values():
            known.is_heard = False

    def _add(
        self, address: ids.VmId, last_s: float, is_heard: bool = False
    ) -> _Known | None:
        """Return a daemon, added if there is room; one only named makes it."""
        known = self._others.get(address)
        if known is not None:
            return known
        if len(self._others) >= DAEMONS_MAX:
            named = (key for key, item in self._others.items() if not item.was_heard)
            first = next(named, None) if is_heard else None
            if first is None:
                return None
            del self._others[first]
        known = self._others[address] = _Known(UNKNOWN_DATA_CENTRE, last_s)
        self.version += 1
        return known

    def _record_possible_gain(self, now_s: float) -> None:
        self.version += 1
        self.place_gained_s = now_s
