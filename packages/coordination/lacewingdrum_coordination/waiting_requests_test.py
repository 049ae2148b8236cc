"""Tests of the requests that wait for room, and of promised returns."""

import random

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import (
    least_share,
    promised_returns,
    waiting_requests,
)

MANY = 10_000


def make(rank, arrived_s, is_new=True, until_s=1e9, is_over=False):
    order = waiting_requests.Order(rank, is_over, False, 300.0, is_new, arrived_s)
    return waiting_requests.Waiting(order, until_s, 100, 25.0)


def test_order_is_rank_then_share_then_returned_then_arrival():
    queue = waiting_requests.WaitingRequests(MANY * 100)
    expected = [
        make(0, 5.0),
        make(1, 4.0, is_new=False),
        make(1, 1.0),
        make(1, 0.0, is_over=True),
        make(2, 0.0),
    ]
    for item in expected[::-1]:
        assert not queue.add(item)
    assert queue.work_before_ms(expected[3].order) == 75.0
    assert [queue.take_first()[0] for _ in expected] == expected


def test_bodies_and_count_are_bounded_and_the_least_urgent_are_refused():
    queue = waiting_requests.WaitingRequests(MANY * 100)
    rng = random.Random(1)
    dropped = []
    for number in range(MANY + 500):
        dropped += queue.add(make(rng.randrange(3), float(number)))
    assert len(queue) == MANY and queue.body_bytes == MANY * 100
    assert len(dropped) == 500 and {item.order.rank for item in dropped} == {2}


@settings(derandomize=True, deadline=None, database=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.integers(0, 9)),
        max_size=40,
    )
)
def test_each_request_leaves_once_by_its_end_at_the_latest(steps):
    queue = waiting_requests.WaitingRequests(MANY)
    left, added = [], []
    for now, (rank, span) in enumerate(steps):
        item = make(rank, float(now), until_s=float(now + span))
        added.append(item)
        left += queue.add(item)
        if rank == 3:
            queue.remove(item)
            left.append(item)
        left += queue.take_ended(float(now))
        if now % 2:
            left += queue.take_first()
        assert all(item in left for item in added if item.until_s <= now)
    while queue:
        left += queue.take_first()
    assert sorted(map(id, left)) == sorted(map(id, added)) and not queue.body_bytes


def test_promised_returns_come_after_each_other_in_order_of_rank():
    returns = promised_returns.PromisedReturns()
    rng = random.Random(1)
    times_s = [
        returns.promise(2, 2_600.0, 500.0, 0.0, 4.0, 0.0, rng) for _ in range(50)
    ]
    spread = 1 + promised_returns.SPREAD_RATIO
    assert all(
        0.5 + 0.65 * (number + 1) <= time_s <= (0.5 + 0.65 * (number + 1)) * spread
        for number, time_s in enumerate(times_s)
    )
    assert returns.promise(0, 25.0, 100.0, 0.0, 4.0, 0.0, rng) < 0.2
    # A clock that paused finds all promises kept.
    assert returns.promise(2, 2_600.0, 500.0, 0.0, 4.0, 900.0, rng) < 1.5
    assert len(returns) == 1


def test_least_share_is_a_share_of_the_engines_after_a_pause_of_the_clock_too():
    share, used_ms = least_share.LeastShare(), 0.0
    for step in range(1_000):
        now_s = step / 100 + (3_600.0 if step > 500 else 0.0)
        while share.has_any(8.0, now_s):
            share.use(2_600.0)
            used_ms += 2_600.0
    engine_ms_per_s = 8_000.0 * least_share.LEAST_SHARE_RATIO
    unused_ms = 2 * engine_ms_per_s * least_share.UNUSED_S
    assert 10 * engine_ms_per_s <= used_ms <= 10 * engine_ms_per_s + unused_ms + 2_600
