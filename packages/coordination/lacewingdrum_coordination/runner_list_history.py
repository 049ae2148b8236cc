"""Keeps recent runner lists, to send only the changes between two of them.

Lists are identified by digests of their content, so that daemons which read
the same list from the store independently know that they agree.
"""

import collections
import dataclasses

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import ids, runner_entries

NO_LIST = 0
# Peers that hold an older list than these receive the whole list.
LISTS_KEPT = 16

_Entries = dict[ids.RunnerId, runner_entries.RunnerEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class ListChange:
    """The change between two lists; from ``NO_LIST`` it is the whole list."""

    base: int
    digest: int
    changed: tuple[runner_entries.RunnerEntry, ...]
    removed: tuple[ids.RunnerId, ...]


class RunnerListHistory:
    """The recent lists, the newest last."""

    def __init__(self) -> None:
        self.digest = NO_LIST
        self._lists: collections.OrderedDict[int, _Entries] = collections.OrderedDict()

    def record(self, entries: tuple[runner_entries.RunnerEntry, ...]) -> bool:
        """Record the present list.

        Args:
            entries: all entries of the list.

        Returns:
            Whether its content differs from the previous list.
        """
        digest = digest_of(entries)
        if digest == self.digest:
            return False
        self.digest = digest
        self._lists[digest] = {entry.runner_id: entry for entry in entries}
        self._lists.move_to_end(digest)
        while len(self._lists) > LISTS_KEPT:
            self._lists.popitem(last=False)
        return True

    def change_since(self, base: int) -> ListChange:
        """Return the change from a list to the newest one.

        Args:
            base: the digest of the list.

        Returns:
            The change; the whole newest list if the base is not known.
        """
        newest = self._lists.get(self.digest, {})
        before = self._lists.get(base)
        if before is None:
            return ListChange(NO_LIST, self.digest, tuple(newest.values()), ())
        changed = tuple(
            entry
            for runner_id, entry in newest.items()
            if before.get(runner_id) != entry
        )
        removed = tuple(runner_id for runner_id in before if runner_id not in newest)
        return ListChange(base, self.digest, changed, removed)

    def apply(
        self, change: ListChange
    ) -> tuple[runner_entries.RunnerEntry, ...] | None:
        """Return the list that a received change leads to.

        Args:
            change: the change, as received.

        Returns:
            All entries of the list, or None if the base of the change is not
            the present list.
        """
        if change.base == NO_LIST:
            return change.changed
        if change.base != self.digest:
            return None
        entries = dict(self._lists[self.digest])
        for runner_id in change.removed:
            entries.pop(runner_id, None)
        entries.update((entry.runner_id, entry) for entry in change.changed)
        return tuple(entries.values())


def digest_of(entries: tuple[runner_entries.RunnerEntry, ...]) -> int:
    """Return a digest of a list that does not depend on its order."""
    total = 0
    for entry in entries:
        content = (
            f"{entry.runner_id}\x1f{entry.service}\x1f{entry.data_centre}\x1f"
            f"{entry.address}\x1f{entry.slots}\x1f{entry.state.value}\x1f"
            f"{entry.born_ms}"
        )
        total ^= coordinators.stable_hash(content)
    # The result is never NO_LIST and is in the range that messages can carry.
    return (total >> 1) | 1
