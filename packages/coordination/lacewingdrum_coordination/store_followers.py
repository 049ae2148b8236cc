"""Chooses the daemons that follow the changes of the platform's store.

In a large fleet a few daemons of each data centre follow the store. They
announce what they learn, and the others read it once from the store then. All
daemons compute the followers from the daemons that they hear, so that the next
ones take over from followers that have fallen silent.
"""

from collections.abc import Collection

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import ids

# With three, one is left in most cases when a third of all daemons is lost or
# refused by the store.
FOLLOWERS_MAX = 3
# Reads of one change are spread over this time.
READ_SPREAD_S = 0.25
HASH_RANGE = 1 << 64


def is_follower(own: ids.VmId, group: Collection[ids.VmId]) -> bool:
    """Return whether a daemon follows the store.

    Args:
        own: the daemon.
        group: the daemons that it hears in its data centre, and itself.
    """
    own_rank = _rank(own)
    return sum(_rank(other) < own_rank for other in group) < FOLLOWERS_MAX


def pick_holder(own: ids.VmId, holders: Collection[ids.VmId]) -> ids.VmId:
    """Return the daemon to take a change from.

    Daemons pick different ones, so that none has to send to all.

    Args:
        own: the daemon that takes it.
        holders: the daemons that have it, at least one.
    """
    return max(holders, key=lambda holder: coordinators.stable_hash(f"{own} {holder}"))


def read_delay_s(own: ids.VmId) -> float:
    """Return how long a daemon waits before it reads an announced change."""
    return READ_SPREAD_S * coordinators.stable_hash(own) / HASH_RANGE


def _rank(address: ids.VmId) -> tuple[int, ids.VmId]:
    return coordinators.stable_hash(address), address
