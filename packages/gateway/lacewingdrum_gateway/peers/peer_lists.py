"""Decides which daemons get a list of all live daemons.

The list grows with the fleet, and one is enough to find all others. So each
daemon sends a bounded number of lists, also while a whole fleet starts and all
daemons are new to each other.
"""

from collections.abc import Callable

from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_state import ids

# Every so many heartbeats, the list goes to some daemons, in turn.
HEARTBEATS_PER_TURN = 8
LISTS_PER_TURN = 8
# Newcomers that get a list at once, within a second.
NEWCOMERS_PER_S = 8


class PeerLists:
    """Chooses the receivers of lists, in turn and among newcomers."""

    def __init__(self, table: peer_table.PeerTable, clock: Callable[[], float]) -> None:
        self._table = table
        self._clock = clock
        self._heartbeat_count = 0
        self._second_start_s = float("-inf")
        self._newcomer_count = 0

    def next_receivers(self) -> tuple[ids.VmId, ...]:
        """Return who gets the list with the next heartbeat; mostly nobody."""
        self._heartbeat_count += 1
        turn, position = divmod(self._heartbeat_count, HEARTBEATS_PER_TURN)
        if position != 1:
            return ()
        return self._table.in_turn(turn, LISTS_PER_TURN)

    def may_answer_newcomer(self) -> bool:
        """Return whether a newcomer gets a list, and count it."""
        now_s = self._clock()
        if now_s - self._second_start_s >= 1.0:
            self._second_start_s = now_s
            self._newcomer_count = 0
        self._newcomer_count += 1
        return self._newcomer_count <= NEWCOMERS_PER_S
