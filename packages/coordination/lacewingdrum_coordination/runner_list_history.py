"""What has changed between two of the lists of runners held lately.

Lists are named by digests of what they say, so that daemons that have read
the same from the store on their own know that they agree.
"""

import collections
import dataclasses

from lacewingdrum_coordination import homes
from lacewingdrum_state import ids, runner_entries

NO_LIST = 0
# Lists further back than this are told whole.
LISTS_KEPT = 16

_Entries = dict[ids.RunnerId, runner_entries.RunnerEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class ListChange:
    """What leads from one list to another; from ``NO_LIST``, all of it."""

    base: int
    digest: int
    changed: tuple[runner_entries.RunnerEntry, ...]
    removed: tuple[ids.RunnerId, ...]


class RunnerListHistory:
    """The lists held lately, the newest last."""

    def __init__(self) -> None:
        self.digest = NO_LIST
        self._lists: collections.OrderedDict[int, _Entries] = collections.OrderedDict()

    def record(self, entries: tuple[runner_entries.RunnerEntry, ...]) -> bool:
        """Take the list that is held now.

        Args:
            entries: all of them.

        Returns:
            Whether it says something else than the one before.
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
        """Args: base: of a list. Returns: what leads from it to the newest."""
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
        """Args: change: as told. Returns: the whole list, None if unknown."""
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
    """Returns: a number over what a list says, in whatever order."""
    total = 0
    for entry in entries:
        content = (
            f"{entry.runner_id}\x1f{entry.service}\x1f{entry.data_centre}\x1f"
            f"{entry.address}\x1f{entry.slots}\x1f{entry.state.value}\x1f"
            f"{entry.born_ms}"
        )
        total ^= homes.weight_of(content)
    # Never NO_LIST, and within the range that messages carry.
    return (total >> 1) | 1
