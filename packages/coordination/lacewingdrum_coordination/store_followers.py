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
    return _place(own, group) < FOLLOWERS_MAX


def followers(group: Collection[ids.VmId]) -> tuple[ids.VmId, ...]:
    """Return the daemons of a data centre that follow the store.

    Args:
        group: the daemons that one of them hears, and itself.
    """
    return tuple(sorted(group, key=_rank)[:FOLLOWERS_MAX])


def first_wait_share(own: ids.VmId, following: Collection[ids.VmId]) -> float:
    """Return which share of its usual wait a feed waits after a change.

    A change ends all feeds at once. After it they end in turn, so that one
    daemon soon notices that the store's connections are silent.

    Args:
        own: the daemon.
        following: the daemons that follow the store, and itself.
    """
    return (_place(own, following) + 1) / max(len(following), 1)


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


def _place(own: ids.VmId, group: Collection[ids.VmId]) -> int:
    """Return how many daemons of a group come before a daemon."""
    own_rank = _rank(own)
    return sum(_rank(other) < own_rank for other in group)


def _rank(address: ids.VmId) -> tuple[int, ids.VmId]:
    return coordinators.stable_hash(address), address
