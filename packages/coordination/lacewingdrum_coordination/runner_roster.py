"""Tracks the runners that may get work, by the newest known runner list.

The list is read from the platform's store. A list replaces an older one.
Runners that it marks as leaving get no further work, and neither do runners
that are known to leave although the list does not show it. A runner that is
missing from the list is removed. For a while after an outage of the store it
is kept instead, because entries that expired during the outage come back then.

Others than runners may write entries. One with an address of a daemon gets no
work; which of several with one address gets it, ``runner_addresses`` says.
"""

import dataclasses

from lacewingdrum_coordination import runner_addresses, runner_departures
from lacewingdrum_state import fleet, ids, runner_entries, states, store_versions

# Expired entries may come back for this long after an outage of the store.
RETURN_WINDOW_S = 2.2


@dataclasses.dataclass(frozen=True, slots=True)
class RosterChange:
    """A change of one runner.

    ``kind`` is ``joined``, ``changed``, ``born_again`` for a new incarnation
    or address, ``leaving`` or ``gone``.
    """

    runner_id: ids.RunnerId
    kind: str
    list_version: store_versions.StoreVersion


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonAddresses:
    """Where daemons listen: on the same ports at each of their hosts."""

    hosts: frozenset[str] = frozenset()
    ports: frozenset[int] = frozenset()

    def __contains__(self, address: fleet.Address) -> bool:
        return address.port in self.ports and address.host in self.hosts


class RunnerRoster:
    """The newest runner list.

    ``as_of_s`` is the time as of which it is known to be valid.
    """

    def __init__(self) -> None:
        self.version = store_versions.NO_VERSION
        self.as_of_s = float("-inf")
        # Those of the named services, also leaving ones, but no daemons.
        self.runners: tuple[runner_entries.RunnerEntry, ...] = ()
        self._addresses = runner_addresses.RunnerAddresses()
        self._daemons = DaemonAddresses()
        self._departures = runner_departures.RunnerDepartures()
        self._entries: dict[ids.RunnerId, runner_entries.RunnerEntry] = {}
        self._by_service: dict[
            ids.ServiceName, tuple[runner_entries.RunnerEntry, ...]
        ] = {}

    def __contains__(self, runner_id: object) -> bool:
        """Return whether the list has a runner."""
        return runner_id in self._entries

    @property
    def entries(self) -> tuple[runner_entries.RunnerEntry, ...]:
        """All entries of the list."""
        return tuple(self._entries.values())

    def set_services(self, services: frozenset[ids.ServiceName]) -> None:
        """Set the services that the operators name."""
        if services != self._addresses.services:
            self._addresses.services = services
            self._index()

    def set_daemons(self, daemons: DaemonAddresses) -> None:
        """Set where daemons listen, at which no runner is."""
        if daemons != self._daemons:
            self._daemons = daemons
            self._index()

    def of_service(
        self, service: ids.ServiceName
    ) -> tuple[runner_entries.RunnerEntry, ...]:
        """Return the service's runners that may get work."""
        return self._by_service.get(service, ())

    def get(self, runner_id: ids.RunnerId) -> runner_entries.RunnerEntry | None:
        """Return a runner's entry, or None if it is unknown."""
        return self._entries.get(runner_id)

    def apply(
        self,
        listed: runner_entries.RunnerList,
        as_of_s: float,
        return_until_s: float | None = None,
    ) -> tuple[RosterChange, ...]:
        """Apply a list from the store or from a peer.

        Args:
            listed: the list.
            as_of_s: the time as of which it is valid, on the caller's clock.
            return_until_s: after an outage of the store, the time until which
                missing entries are kept because they may come back.

        Returns:
            The changes; none if the list is older than the present one.
        """
        if listed.version < self.version:
            return ()
        self._record_list(listed.version, as_of_s)
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
            self._departures.record_gone(entry, listed.version.era, as_of_s)
        self._entries = found
        self._departures.forget_unlisted(found, self.as_of_s)
        self._addresses.forget_unlisted(found)
        self._index()
        return tuple(changes)

    def confirm(self, version: store_versions.StoreVersion, as_of_s: float) -> None:
        """Record that a newer list has the same entries.

        Args:
            version: the version of that list.
            as_of_s: the time as of which it is valid.
        """
        self._record_list(max(self.version, version), as_of_s)
        if self._departures.may_have_ended:
            self._index()

    def record_leaving(self, runner_id: ids.RunnerId, born_ms: int) -> bool:
        """Record that an incarnation of a runner leaves, whatever lists show.

        Args:
            runner_id: the runner.
            born_ms: distinguishes its incarnations.

        Returns:
            Whether this was not known yet.
        """
        if not self._departures.record_leaving(runner_id, born_ms, self.as_of_s):
            return False
        self._index()
        return True

    def record_other_at_address(self, entry: runner_entries.RunnerEntry) -> bool:
        """Record that another runner answered at the address of an entry.

        Returns:
            Whether that was not known.
        """
        if self._entries.get(entry.runner_id) != entry:
            return False
        if not self._addresses.refute(entry):
            return False
        self._index()
        return True

    def unlisted_leaving(self) -> tuple[tuple[ids.RunnerId, int], ...]:
        """Return the incarnations that leave and are listed as ready."""
        return tuple(
            (entry.runner_id, entry.born_ms)
            for entry in self._entries.values()
            if entry.state is states.MemberState.LIVE
            and self._departures.is_leaving(entry)
        )

    def _record_list(
        self, version: store_versions.StoreVersion, as_of_s: float
    ) -> None:
        if version.era > self.version.era:
            self._departures.record_era(version.era, as_of_s)
        self.version = version
        self.as_of_s = max(self.as_of_s, as_of_s)

    def _index(self) -> None:
        by_service: dict[ids.ServiceName, list[runner_entries.RunnerEntry]] = {}
        others = [
            entry
            for entry in self._entries.values()
            if entry.address not in self._daemons
        ]
        self.runners = tuple(filter(self._addresses.is_named, others))
        holders = self._addresses.holders(others)
        for entry in others:
            is_at_address = holders[entry.address] is entry
            if entry.state is states.MemberState.LEAVING:
                self._departures.record_leaving(
                    entry.runner_id, entry.born_ms, self.as_of_s
                )
            elif is_at_address and self._departures.may_get_work(entry, self.as_of_s):
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {name: tuple(some) for name, some in by_service.items()}


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
