"""Decides which of the entries with one address has it.

The entry of a crashed runner stays for a while, also after another runner,
perhaps of another service, was started at its address. Others than runners may
write entries too, with an address of a runner. So an entry of a service that
the operators name goes before others, one that was not refuted at the address
before one that was, and the last born before the others.
"""

from collections.abc import Collection, Iterable

from lacewingdrum_state import fleet, ids, runner_entries

_Incarnation = tuple[int, fleet.Address]


class RunnerAddresses:
    """What is known of the addresses of runners.

    ``services`` are those that the operators name, or None if no
    configuration is known.
    """

    def __init__(self) -> None:
        self.services: frozenset[ids.ServiceName] | None = None
        self._refuted: dict[ids.RunnerId, _Incarnation] = {}

    def refute(self, entry: runner_entries.RunnerEntry) -> bool:
        """Record that another runner answered at the address of an entry.

        Returns:
            Whether that was not known.
        """
        is_new = not self._is_refuted(entry)
        self._refuted[entry.runner_id] = (entry.born_ms, entry.address)
        return is_new

    def forget_unlisted(self, listed: Collection[ids.RunnerId]) -> None:
        """Forget what is known of entries that are no longer listed."""
        for runner_id in self._refuted.keys() - set(listed):
            del self._refuted[runner_id]

    def is_named(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether the operators name the service of an entry."""
        return self.services is None or entry.service in self.services

    def holders(
        self, entries: Iterable[runner_entries.RunnerEntry]
    ) -> dict[fleet.Address, runner_entries.RunnerEntry]:
        """Return the entry that has each address."""
        found: dict[fleet.Address, runner_entries.RunnerEntry] = {}
        for entry in entries:
            other = found.get(entry.address)
            if other is None or self._rank(entry) > self._rank(other):
                found[entry.address] = entry
        return found

    def _rank(
        self, entry: runner_entries.RunnerEntry
    ) -> tuple[bool, bool, int, ids.RunnerId]:
        # With the id, all daemons decide alike where all else is the same.
        is_refuted = self._is_refuted(entry)
        return self.is_named(entry), not is_refuted, entry.born_ms, entry.runner_id

    def _is_refuted(self, entry: runner_entries.RunnerEntry) -> bool:
        refuted = self._refuted.get(entry.runner_id)
        return refuted == (entry.born_ms, entry.address)
