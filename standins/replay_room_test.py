"""Tests of who is served without room for all, on the engine model."""

import functools

from standins import replay_room

SEED = 3
RANKED = ("5k", "45k", "190k")


@functools.cache
def played(load, has_control, **changes):
    return replay_room.play(load, has_control, seed=SEED, span_s=12.0, **changes)


def worth(result):
    return sum(result.in_time[kind] + 0.2 * result.late[kind] for kind in RANKED)


def test_more_urgent_kinds_are_served_at_least_as_often_and_none_starves():
    served = [played(3.0, True).served(kind) for kind in RANKED]
    assert served[0] >= served[1] - 0.05 and served[1] >= served[2] - 0.05
    assert served[2] > 0.25 * served[0]


def test_small_customers_are_served_beside_one_that_bursts():
    without = played(1.0, False, large_ratio=1.0)
    controlled = played(1.0, True, large_ratio=1.0)
    assert controlled.share("small") > without.share("small") + 0.1
    assert controlled.share("small") > controlled.share(replay_room.LARGE)
    assert controlled.served(replay_room.LARGE) > 0.25 * controlled.served("small")


def test_calm_load_is_served_as_without_control():
    assert worth(played(0.6, True)) >= 0.99 * worth(played(0.6, False))


def test_served_worth_does_not_fall_as_load_grows():
    assert worth(played(3.0, True)) >= 0.95 * worth(played(1.5, True))


def test_gateways_that_hear_no_other_still_serve_by_rank():
    cut = played(2.0, True, is_cut=True)
    assert cut.served("5k") >= cut.served("190k") - 0.05
    assert worth(cut) >= 0.95 * worth(played(2.0, False, is_cut=True))


def test_callers_that_return_after_a_loss_together_are_served():
    result = played(1.0, True, down=(4.0, 6.0))
    assert all(result.served(kind) > 0.8 for kind in RANKED)
