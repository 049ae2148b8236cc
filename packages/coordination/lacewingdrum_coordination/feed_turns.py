"""Lets the feeds of a few daemons end in turn, so that each may wait longer.

An open connection to the store may go silent for good, and a feed shows that
only at its end. The daemons that follow the store for others tell each other
when their feeds end. They aim at ends that are one turn apart, in their order,
so that one of them soon notices, however long each waits. A daemon counts on
those only whose turns it has heard.
"""

from collections.abc import Sequence

from lacewingdrum_coordination import store_deadlines, store_followers
from lacewingdrum_state import ids

# How much longer than a round a feed may wait to come closer to its turn.
CORRECTION_TURNS = 0.1


class FeedTurns:
    """When the feeds of the other daemons end, as far as they have told.

    Args:
        own: this daemon.
        deadlines: the deadlines of calls to the store.
    """

    def __init__(
        self, own: ids.VmId, deadlines: store_deadlines.StoreDeadlines
    ) -> None:
        self._own = own
        self._deadlines = deadlines
        self._ends_s: dict[ids.VmId, float] = {}

    def record(self, address: ids.VmId, wait_s: float, now_s: float) -> None:
        """Record that a daemon's feed has begun, and how long it waits."""
        longest_s = (
            store_followers.FOLLOWERS_MAX + CORRECTION_TURNS
        ) * self._deadlines.feed_turn_s
        self._ends_s[address] = now_s + min(wait_s, longest_s)

    def wait_s(
        self, followers: Sequence[ids.VmId], has_changed: bool, now_s: float
    ) -> float:
        """Return how long the feed that begins now waits.

        Args:
            followers: the daemons that follow the store, in order, and this
                one.
            has_changed: whether a change has just ended all feeds.
            now_s: the current time.
        """
        limits = self._deadlines
        heard = [item for item in followers if self._is_heard(item, now_s)]
        self._ends_s = {
            item: end_s for item, end_s in self._ends_s.items() if item in heard
        }
        place = heard.index(self._own)
        if len(heard) == 1:
            return limits.feed_wait_s(True)
        turn_s = limits.feed_turn_s
        round_s = len(heard) * turn_s
        if has_changed:
            return (place + 1) * turn_s
        if place == 0:
            return round_s
        left_s = (self._ends_s[heard[0]] + place * turn_s - now_s) % round_s
        if left_s >= turn_s / 2:
            return left_s
        return round_s + min(left_s, CORRECTION_TURNS * turn_s)

    def _is_heard(self, address: ids.VmId, now_s: float) -> bool:
        """Return whether a daemon's feed waits, or has just ended."""
        if address == self._own:
            return True
        limits = self._deadlines
        end_s = self._ends_s.get(address, float("-inf"))
        return now_s <= end_s + limits.feed_pause_s + limits.feed_turn_s
