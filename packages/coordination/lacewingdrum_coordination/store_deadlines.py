"""Computes the deadlines of calls to the store from the bound for a change.

An open connection may go silent for good while new ones work. The feed shows
that only when its answer is overdue, so its wait, the limit for the answer and
what follows until all daemons have the change must fit in the bound.
"""

import dataclasses

FEED_WAIT_SHARE = 0.5
# A daemon that follows the feed for others leaves time to pass a change on.
FOLLOWER_FEED_WAIT_SHARE = 0.25
# Feeds of daemons that follow for others end so far apart. Three turns, an
# answer and the way to the other daemons fit in the bound, so that it holds
# also if two of three followers are lost when connections go silent.
FEED_TURN_SHARE = 0.14
ANSWER_SHARE = 0.2
NEAR_ANSWER_SHARE = 0.2
# A peer may have to send a version to a dozen others over a narrow link.
NEAR_ANSWER_MAX_S = 0.8
FOLLOWERS_SILENCE_SHARE = 0.4
FEED_PAUSE_SHARE = 0.125
FEED_PAUSE_MAX_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDeadlines:
    """The deadlines of a daemon.

    ``in_force_s`` is the bound: the time from the store's acknowledgement of a
    change until all daemons act on it.
    """

    in_force_s: float

    def feed_wait_s(self, follows_for_others: bool) -> float:
        """Return how long the store may wait for a change.

        Args:
            follows_for_others: whether other daemons learn changes from this
                one.
        """
        share = FOLLOWER_FEED_WAIT_SHARE if follows_for_others else FEED_WAIT_SHARE
        return share * self.in_force_s

    @property
    def feed_turn_s(self) -> float:
        """The time between ends of feeds that follow for others."""
        return FEED_TURN_SHARE * self.in_force_s

    @property
    def answer_s(self) -> float:
        """The time for an answer on a connection that may have gone silent."""
        return ANSWER_SHARE * self.in_force_s

    @property
    def near_answer_s(self) -> float:
        """The time for a version that a near peer was asked for."""
        return min(NEAR_ANSWER_SHARE * self.in_force_s, NEAR_ANSWER_MAX_S)

    @property
    def followers_silence_s(self) -> float:
        """The silence of all followers after which others read the table."""
        return FOLLOWERS_SILENCE_SHARE * self.in_force_s

    @property
    def feed_pause_s(self) -> float:
        """The time within which changes are read in one call of the feed."""
        return min(FEED_PAUSE_SHARE * self.in_force_s, FEED_PAUSE_MAX_S)
