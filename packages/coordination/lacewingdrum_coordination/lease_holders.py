"""Decides whether an engine is still the incarnation that a lease depends on.

Another incarnation, or another runner, may answer at the address of an engine
that has crashed. It knows nothing of the request that the memory is held for.
"""

import dataclasses
import enum

from lacewingdrum_state import runner_entries


class HolderState(enum.Enum):
    """Whether the incarnation that a lease depends on is alive."""

    ALIVE = "alive"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class StatedIdentity:
    """What the process at an engine's address says of itself.

    ``born_ms`` is 0 if it does not say when it was started.
    """

    is_other_runner: bool
    born_ms: int = 0


def find_state(
    entry: runner_entries.RunnerEntry,
    stated: StatedIdentity | None,
    listed: runner_entries.RunnerEntry | None,
) -> HolderState:
    """Return whether an incarnation of an engine is alive.

    The engine's own answer decides, because the list may be behind.

    Args:
        entry: the incarnation.
        stated: the answer at its address, or None if there is none.
        listed: the newest entry of its id, or None if it is not listed. An
            engine that is not listed any more may still serve requests.
    """
    if stated is not None and stated.is_other_runner:
        return HolderState.REPLACED
    if stated is not None and _is_comparable(entry, stated):
        is_same = stated.born_ms == entry.born_ms
        return HolderState.ALIVE if is_same else HolderState.REPLACED
    if listed is not None and 0 < entry.born_ms < listed.born_ms:
        return HolderState.REPLACED
    return HolderState.UNKNOWN


def _is_comparable(entry: runner_entries.RunnerEntry, stated: StatedIdentity) -> bool:
    """Return whether an answer tells the incarnations of an id apart.

    They cannot be where neither the entry nor the engine states a time.
    """
    return bool(stated.born_ms) == bool(entry.born_ms)
