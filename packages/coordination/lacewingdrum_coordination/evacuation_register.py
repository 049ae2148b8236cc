"""What is known of the evacuations of data centres.

Of all that is learnt of a data centre the newest version of the store counts,
so the order of arrival does not matter. A read of the whole table is news of
each evacuation that it lacks. A store that returns from an older copy shows
rows of that copy for a while; until ``end_return`` the state known before the
return takes precedence over what is read, and only rows seen as they changed
are newer.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from lacewingdrum_state import evacuations, ids, store_versions

DATA_CENTRES_MAX = 256

_ByDataCentre = dict[ids.DataCentre, evacuations.Evacuation]


class EvacuationRegister:
    """The evacuations that a daemon knows of.

    ``era`` is the newest era of the store, None before the first. ``is_known``
    is set once a whole table, or all that a peer knows, has been taken.
    ``is_after_return`` is set from a new era on until ``end_return``.
    ``refused_count`` counts evacuations that were not kept, as
    ``DATA_CENTRES_MAX`` others last.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.is_known = False
        self.is_after_return = False
        self.refused_count = 0
        # Rows seen as they changed, and all that was known in earlier eras.
        self._changed: _ByDataCentre = {}
        # Of reads in this era, by this daemon and by its peers: rows that may
        # be of an older copy, and ends that are found as a row is missing.
        self._read: _ByDataCentre = {}
        # The first own read; rows above its version are no copy's.
        self._first_read: store_versions.StoreVersion | None = None
        # The newest own read of this era, and the data centres that it shows.
        self._own_read_version = store_versions.NO_VERSION
        self._own_read: frozenset[ids.DataCentre] = frozenset()
        # The last own read of an earlier era.
        self._earlier_read_version = store_versions.NO_VERSION
        self._earlier_read: frozenset[ids.DataCentre] = frozenset()
        # What counts of all that.
        self._beliefs: _ByDataCentre = {}
        self._active: frozenset[ids.DataCentre] = frozenset()
        self._digest: int | None = 0

    @property
    def all(self) -> tuple[evacuations.Evacuation, ...]:
        """What is known of each data centre that was ever evacuated."""
        return tuple(self._beliefs.values())

    @property
    def active(self) -> frozenset[ids.DataCentre]:
        """The data centres that are evacuated now."""
        return self._active

    @property
    def digest(self) -> int:
        """A number that is the same for the same knowledge; 0 without any."""
        if self._digest is None:
            lines = sorted(
                f"{item.data_centre} {item.is_active} {item.version}"
                for item in self.all
            )
            text = "\n".join(lines).encode()
            self._digest = xxhash.xxh3_64_intdigest(text) if lines else 0
        return self._digest

    def is_evacuated(self, data_centre: ids.DataCentre) -> bool:
        """Return whether no request may begin at runners of a data centre."""
        return data_centre in self._active

    def set_known(self) -> None:
        """Record that a peer has sent all that it knows."""
        self.is_known = True

    def apply_read(
        self,
        version: store_versions.StoreVersion,
        found: Iterable[evacuations.Evacuation],
    ) -> tuple[evacuations.Evacuation, ...]:
        """Take a read of the whole table.

        Args:
            version: the version of the read.
            found: the evacuations in the table.

        Returns:
            What is now known otherwise than before.
        """
        found = tuple(found)
        self._begin_era(version.era)
        if version.era == self.era:
            first = self._first_read = min(self._first_read or version, version)
            if version >= self._own_read_version:
                self._own_read_version = version
                self._own_read = frozenset(item.data_centre for item in found)
            found = tuple(_with_origin(item, first) for item in found)
        self.is_known = True
        return self.apply(found)

    def apply(
        self, found: Iterable[evacuations.Evacuation]
    ) -> tuple[evacuations.Evacuation, ...]:
        """Take rows of the feed, or what a peer knows.

        Returns:
            What is now known otherwise than before.
        """
        for item in found:
            self._begin_era(item.version.era)
            item = self._apply_earlier_read(item)
            is_of_read = item.is_read and item.version.era == self.era
            by_data_centre = self._read if is_of_read else self._changed
            known = by_data_centre.get(item.data_centre)
            # What was read in an earlier era may be of its copy.
            rank = _rank if is_of_read else _settled_rank
            if known is None or rank(item) > rank(known):
                by_data_centre[item.data_centre] = item
                self._drop_excess(by_data_centre, item)
        return self._update()

    def _apply_earlier_read(
        self, item: evacuations.Evacuation
    ) -> evacuations.Evacuation:
        """Return what was last read of an evacuation of an earlier era."""
        version = self._earlier_read_version
        is_earlier = item.version.era == version.era and item.version < version
        if not item.is_active or not is_earlier:
            return item
        if item.data_centre in self._earlier_read:
            return item
        return evacuations.Evacuation(item.data_centre, False, version)

    def _drop_excess(
        self, by_data_centre: _ByDataCentre, added: evacuations.Evacuation
    ) -> None:
        """Drop the oldest ended evacuation, or else the added one."""
        if len(by_data_centre) <= DATA_CENTRES_MAX:
            return
        ended = [item for item in by_data_centre.values() if not item.is_active]
        dropped = min(ended, key=_rank) if ended else added
        del by_data_centre[dropped.data_centre]
        self.refused_count += dropped.is_active

    def end_return(self) -> tuple[evacuations.Evacuation, ...]:
        """Let what was read in the newest era count like all else.

        Returns:
            What is now known otherwise than before.
        """
        self.is_after_return = False
        return self._update()

    def _begin_era(self, era: int) -> None:
        if self.era is not None and era <= self.era:
            return
        beliefs = self._beliefs
        if not self.is_after_return:
            # No rows of a copy are among them.
            beliefs = {
                data_centre: dataclasses.replace(item, is_read=False)
                for data_centre, item in beliefs.items()
            }
        self.era = era
        self.is_after_return = True
        self._changed = dict(beliefs)
        self._read = {}
        self._first_read = None
        if self._own_read_version != store_versions.NO_VERSION:
            self._earlier_read_version = self._own_read_version
            self._earlier_read = self._own_read
        self._own_read_version = store_versions.NO_VERSION
        self._own_read = frozenset()

    def _update(self) -> tuple[evacuations.Evacuation, ...]:
        before = self._beliefs
        self._beliefs = {
            data_centre: self._believe(data_centre)
            for data_centre in sorted(self._changed.keys() | self._read.keys())
        }
        self._active = frozenset(
            item.data_centre for item in self.all if item.is_active
        )
        self._digest = None
        return tuple(
            item for item in self.all if _differs(before.get(item.data_centre), item)
        )

    def _believe(self, data_centre: ids.DataCentre) -> evacuations.Evacuation:
        """Return what counts of all that is known of a data centre."""
        changed = self._changed.get(data_centre)
        is_older = changed is not None and changed.version.era != self.era
        if changed is not None and is_older and self.is_after_return:
            return changed
        learnt = (changed, self._read.get(data_centre))
        newest = max((item for item in learnt if item is not None), key=_rank)
        is_missing = data_centre not in self._own_read
        if newest.is_active and is_missing and newest.version < self._own_read_version:
            # Kept, so that later reads which lack the row are no news.
            newest = evacuations.Evacuation(
                data_centre, False, self._own_read_version, is_read=True
            )
            self._read[data_centre] = newest
        return newest


def _with_origin(
    item: evacuations.Evacuation, first_read: store_versions.StoreVersion
) -> evacuations.Evacuation:
    """Return a row of a read as one seen as it changed if it is no copy's."""
    return dataclasses.replace(item, is_read=item.version <= first_read)


def _rank(item: evacuations.Evacuation) -> tuple[store_versions.StoreVersion, bool]:
    return item.version, item.is_active


def _settled_rank(
    item: evacuations.Evacuation,
) -> tuple[bool, store_versions.StoreVersion, bool]:
    return not item.is_read, item.version, item.is_active


def _differs(
    before: evacuations.Evacuation | None, now: evacuations.Evacuation
) -> bool:
    return before is None or _rank(before) != _rank(now)
