"""Computes how often daemons send heartbeats, by the size of the fleet.

The intervals grow with the number of peers, so that the cost of heartbeats
for a daemon stays constant. A receiver derives from its own intervals when a
sender is silent.
"""

import dataclasses

WORK_PEERS_MIN_S = 0.25
WORK_PEERS_S_PER_PEER = 0.03
# In a large fleet, heartbeats to other data centres are sent at an interval
# that grows with the number of all daemons, which is the same for all of them.
REMOTE_MIN_S = 1.0
REMOTE_S_PER_PEER = 0.05
# Reads of the socket grow rarer with the number of all daemons too. The work
# that peers report is not seen before the next read, so they are bounded.
RECEIVE_S_PER_PEER = 0.0004
RECEIVE_MAX_S = 0.02
# A peer is lost after a silence of this many heartbeat intervals.
MISSED_HEARTBEATS_MAX = 5
# Before that, a connection on which this many intervals brought no
# acknowledgement is replaced, so that heartbeats arrive in time on a new one.
UNACKNOWLEDGED_INTERVALS_MAX = 2.5
# A peer that is suspended for a moment still reads what waits for it then.
LINK_SILENCE_MIN_S = 2.0
# A daemon that has been silent for this time is forgotten.
FORGET_SILENCE_MIN_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Intervals:
    """The intervals of a daemon.

    ``work_peers_s`` is between heartbeats to peers that exchange reports of
    work, ``remote_s`` between those to other data centres of a large fleet,
    and ``receive_s`` between reads of the socket.
    """

    work_peers_s: float
    remote_s: float
    receive_s: float

    @property
    def work_peer_silence_s(self) -> float:
        """The silence after which a peer with reports of work is lost."""
        return MISSED_HEARTBEATS_MAX * self.work_peers_s

    @property
    def forget_silence_s(self) -> float:
        """The silence after which any peer is forgotten."""
        return max(FORGET_SILENCE_MIN_S, 2 * self.remote_silence_s)

    @property
    def remote_silence_s(self) -> float:
        """The silence after which a peer of another data centre is lost."""
        return MISSED_HEARTBEATS_MAX * (self.remote_s + self.work_peers_s)

    @property
    def work_peer_link_silence_s(self) -> float:
        """The silence after which a connection to a work peer is replaced."""
        return _link_silence_s(self.work_peers_s)

    @property
    def remote_link_silence_s(self) -> float:
        """The silence after which any other connection is replaced."""
        return _link_silence_s(self.remote_s + self.work_peers_s)


def intervals(work_peer_count: int, known_count: int) -> Intervals:
    """Return the intervals of a daemon.

    Args:
        work_peer_count: the peers that exchange reports of work with it.
        known_count: all other daemons that it knows.
    """
    return Intervals(
        max(WORK_PEERS_MIN_S, WORK_PEERS_S_PER_PEER * work_peer_count),
        max(REMOTE_MIN_S, REMOTE_S_PER_PEER * known_count),
        min(RECEIVE_S_PER_PEER * known_count, RECEIVE_MAX_S),
    )


def _link_silence_s(interval_s: float) -> float:
    return max(UNACKNOWLEDGED_INTERVALS_MAX * interval_s, LINK_SILENCE_MIN_S)
