import itertools

import hypothesis
from hypothesis import strategies

from lacewingdrum_coordination import feed_turns, store_deadlines
from lacewingdrum_state import ids

LIMITS = store_deadlines.StoreDeadlines(2.0)
FOLLOWERS = tuple(ids.VmId(f"10.0.0.{number}:7") for number in range(3))
TURN_S = LIMITS.feed_turn_s
ROUND_S = len(FOLLOWERS) * TURN_S
LONGEST_S = ROUND_S + feed_turns.CORRECTION_TURNS * TURN_S

offsets = strategies.floats(0.0, ROUND_S)


class Play:
    """Plays feeds of some followers on virtual time."""

    def __init__(self, start_s, late_s, silent=frozenset(), lost=frozenset()):
        self.turns = {own: feed_turns.FeedTurns(own, LIMITS) for own in FOLLOWERS}
        self.next_s = dict(zip(FOLLOWERS, start_s, strict=True))
        self.ends_s: list[float] = []
        self.waits_s: list[float] = []
        # Answers come so much late, in turn.
        self._late_s = itertools.cycle(late_s)
        # These tell nobody; of each of the lost messages nobody hears.
        self._silent, self._lost = silent, lost

    def run(self, until_s):
        while (now_s := min(self.next_s.values())) < until_s:
            own = min(self.next_s, key=self.next_s.get)
            wait_s = self.turns[own].wait_s(FOLLOWERS, False, now_s)
            self.waits_s.append(wait_s)
            self.next_s[own] = now_s + wait_s + next(self._late_s)
            self.ends_s.append(self.next_s[own])
            if own in self._silent or len(self.waits_s) in self._lost:
                continue
            for other in FOLLOWERS:
                if other != own:
                    self.turns[other].record(own, wait_s, now_s)

    def gaps_s(self, after_s):
        ends_s = sorted(end_s for end_s in self.ends_s if end_s > after_s)
        return [later - end for end, later in itertools.pairwise(ends_s)]


@hypothesis.given(
    strategies.tuples(offsets, offsets, offsets),
    strategies.lists(strategies.floats(0.0, 0.05 * TURN_S), min_size=1),
)
def test_feeds_come_to_end_a_turn_apart_wherever_they_begin(start_s, late_s):
    play = Play(start_s, late_s)
    play.run(60.0)
    gaps_s = play.gaps_s(after_s=30.0)
    assert max(gaps_s[:-3]) <= 1.5 * TURN_S
    assert sum(gaps_s) / len(gaps_s) >= 0.95 * TURN_S


@hypothesis.given(
    strategies.tuples(offsets, offsets, offsets),
    strategies.lists(strategies.floats(0.0, 0.3), min_size=1),
    strategies.sets(strategies.integers(1, 100)),
)
def test_no_feed_waits_longer_than_a_round_whatever_is_lost(start_s, late_s, lost):
    play = Play(start_s, late_s, lost=lost)
    play.run(20.0)
    assert min(play.waits_s) > 0 and max(play.waits_s) <= LONGEST_S


def test_daemon_that_hears_no_turns_waits_as_long_as_one_that_follows_alone():
    # Others are turned away by the store, are cut off, or do not take turns.
    play = Play((0.0, 0.1, 0.2), [0.0], silent=frozenset(FOLLOWERS))
    play.run(5.0)
    assert set(play.waits_s) == {LIMITS.feed_wait_s(True)}


def test_follower_whose_turns_are_no_longer_heard_is_left_out():
    play = Play((0.0, TURN_S, 2 * TURN_S), [0.0])
    play.run(10.0)
    left = play.turns[FOLLOWERS[1]]
    left.record(FOLLOWERS[0], 0.1, 20.0)
    assert left.wait_s(FOLLOWERS, False, 20.2) <= 2.1 * TURN_S
    assert left.wait_s(FOLLOWERS, False, 30.0) == LIMITS.feed_wait_s(True)


def test_feeds_that_a_change_has_ended_at_once_end_in_turn():
    play = Play((0.0, 0.0, 0.0), [0.0])
    play.run(10.0)
    now_s = min(play.next_s.values())
    waits_s = [play.turns[own].wait_s(FOLLOWERS, True, now_s) for own in FOLLOWERS]
    assert waits_s == [TURN_S, 2 * TURN_S, 3 * TURN_S]


def test_stated_wait_that_is_far_too_long_is_not_counted_on():
    turns = feed_turns.FeedTurns(FOLLOWERS[1], LIMITS)
    turns.record(FOLLOWERS[0], 1e9, 0.0)
    assert turns.wait_s(FOLLOWERS, False, 5.0) == LIMITS.feed_wait_s(True)
