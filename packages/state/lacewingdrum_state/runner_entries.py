"""Entries of runners that register themselves with the platform.

The gateway reads these entries from the platform's store.
"""

import dataclasses

from lacewingdrum_state import addresses, fleet, ids, states, store_versions

SLOTS_MAX = 1_000_000
# The last millisecond of the year 9999.
BORN_MAX_MS = 253_402_300_799_999
NAME_CHARACTERS_MAX = 256


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerEntry:
    """One runner's entry.

    ``slots`` is the number of requests that the runner serves at the same
    time. ``born_ms`` distinguishes incarnations that use the same id. It is 0
    if it is not stated.
    """

    runner_id: ids.RunnerId
    service: ids.ServiceName
    data_centre: ids.DataCentre
    address: fleet.Address
    slots: int
    state: states.MemberState
    born_ms: int = 0


def find_fault(entry: RunnerEntry) -> str | None:
    """Return why an entry can name no runner, or None if it can.

    Anyone may have written it.
    """
    names = (entry.runner_id, entry.service, entry.data_centre)
    if not all(0 < len(name) <= NAME_CHARACTERS_MAX for name in names):
        return "a name that is empty or too long"
    # The id is sent to the runner in a header, which cannot carry others.
    if not entry.runner_id.isprintable() or entry.runner_id.strip() != entry.runner_id:
        return "an id with characters that no header has"
    if not addresses.is_unicast(entry.address):
        return "an address that is none of a runner's"
    if not 1 <= entry.slots <= SLOTS_MAX:
        return "an impossible number of slots"
    if not 0 <= entry.born_ms <= BORN_MAX_MS:
        return "an impossible time of its start"
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerList:
    """All runners at one version of the platform's table."""

    version: store_versions.StoreVersion
    entries: tuple[RunnerEntry, ...]
