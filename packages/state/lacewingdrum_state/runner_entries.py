"""Entries of runners that register themselves with the platform.

The gateway reads these entries from the platform's store.
"""

import dataclasses

from lacewingdrum_state import fleet, ids, states, store_versions


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


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerList:
    """All runners at one version of the platform's table."""

    version: store_versions.StoreVersion
    entries: tuple[RunnerEntry, ...]
