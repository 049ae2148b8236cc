"""Which runners may get work: the platform's table, corrected by its age.

A list replaces an older one. What it calls leaving gets nothing any more. A
runner that it lacks is gone, but for a while after an outage of the store,
since entries that lapsed meanwhile come back then.
"""

import dataclasses
from collections.abc import Iterable

from lacewingdrum_state import fleet, ids, runner_entries, states

RETURN_WINDOW_S = 2.2


@dataclasses.dataclass(frozen=True, slots=True)
class RosterChange:
    """A runner that joined, was born again, is leaving or is gone."""

    runner_id: ids.RunnerId
    kind: str
    list_version: int


class RunnerRoster:
    """The newest list, and when it was true."""

    def __init__(self) -> None:
        self.version = 0
        self.as_of_s = float("-inf")
        self._entries: dict[ids.RunnerId, runner_entries.RunnerEntry] = {}
        self._by_service: dict[
            ids.ServiceName, tuple[runner_entries.RunnerEntry, ...]
        ] = {}

    @property
    def entries(self) -> tuple[runner_entries.RunnerEntry, ...]:
        """All runners known, leaving ones too."""
        return tuple(self._entries.values())

    def of_service(
        self, service: ids.ServiceName
    ) -> tuple[runner_entries.RunnerEntry, ...]:
        """Returns: the service's runners that may get work."""
        return self._by_service.get(service, ())

    def get(self, runner_id: ids.RunnerId) -> runner_entries.RunnerEntry | None:
        """Returns: a runner's entry, or None."""
        return self._entries.get(runner_id)

    def apply(
        self,
        listed: runner_entries.RunnerList,
        as_of_s: float,
        return_until_s: float | None = None,
    ) -> tuple[RosterChange, ...]:
        """Take a list that the store or a peer gave.

        Args:
            listed: the list.
            as_of_s: when it was true, on the caller's clock.
            lapse_s: until when missing entries may still come back, if the
                store was away.

        Returns:
            What has changed; nothing if the list is older than the one held.
        """
        if listed.version < self.version:
            return ()
        self.version = listed.version
        self.as_of_s = max(self.as_of_s, as_of_s)
        changes: list[RosterChange] = []
        found = {entry.runner_id: entry for entry in listed.entries}
        for runner_id, entry in found.items():
            kind = _change_kind(self._entries.get(runner_id), entry)
            if kind:
                changes.append(RosterChange(runner_id, kind, listed.version))
        for runner_id, entry in self._entries.items():
            if runner_id in found:
                continue
            if return_until_s is not None and as_of_s < return_until_s:
                found[runner_id] = entry
                continue
            changes.append(RosterChange(runner_id, "gone", listed.version))
        self._entries = found
        self._index()
        return tuple(changes)

    def confirm(self, version: int, as_of_s: float) -> None:
        """Note that a newer list says the same.

        Args:
            version: of that list.
            as_of_s: when it was true.
        """
        self.version = max(self.version, version)
        self.as_of_s = max(self.as_of_s, as_of_s)

    def _index(self) -> None:
        by_service: dict[ids.ServiceName, list[runner_entries.RunnerEntry]] = {}
        latest = _latest_by_address(self._entries.values())
        for entry in self._entries.values():
            is_at_address = latest[entry.address] is entry
            if is_at_address and entry.state is states.MemberState.LIVE:
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {name: tuple(some) for name, some in by_service.items()}


def _latest_by_address(
    entries: Iterable[runner_entries.RunnerEntry],
) -> dict[fleet.Address, runner_entries.RunnerEntry]:
    """Returns: by address the entry that is true of it.

    The entry of a runner that crashed stays for a while, also when another
    one, perhaps of another service, was started at its address.
    """
    found: dict[fleet.Address, runner_entries.RunnerEntry] = {}
    for entry in entries:
        other = found.get(entry.address)
        if other is None or entry.born_ms > other.born_ms:
            found[entry.address] = entry
    return found


def _change_kind(
    before: runner_entries.RunnerEntry | None, after: runner_entries.RunnerEntry
) -> str:
    if before is None:
        return "joined"
    if before == after:
        return ""
    if before.born_ms != after.born_ms or before.address != after.address:
        return "born_again"
    if after.state is states.MemberState.LEAVING:
        return "leaving"
    return "changed"
