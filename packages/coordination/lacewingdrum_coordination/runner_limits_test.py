"""Tests of how daemons divide the requests that a runner takes."""

import random

from lacewingdrum_coordination import runner_limits
from lacewingdrum_state import (
    fleet as fleet_state,
    ids,
    named_limits,
    runner_entries,
    states,
)

WINDOW_S = 4.0
RUNNER = ids.RunnerId("e1")


def entry(born_ms=1):
    return runner_entries.RunnerEntry(
        RUNNER,
        ids.ServiceName("model"),
        ids.DataCentre("north"),
        fleet_state.Address("10.1.0.1", 80),
        4,
        states.MemberState.LIVE,
        born_ms,
    )


def limit(per_s, at_s=0.0, born_ms=1):
    return named_limits.RunnerLimit(RUNNER, born_ms, per_s, at_s)


def fleet(count, per_s, centres=("",)):
    daemons = tuple(
        (ids.VmId(f"10.0.0.{number}:7"), centres[number % len(centres)])
        for number in range(count)
    )
    found = []
    for daemon, _ in daemons:
        known = runner_limits.RunnerLimits()
        known.set_daemons(daemon, daemons)
        known.record(limit(per_s))
        found.append(known)
    return found


def send_all(known_limits, length_s=30.0, from_s=0.0, step_s=0.01):
    """Let each daemon send whenever it may; return the times of all sends."""
    sent_s = []
    for step in range(int(length_s / step_s)):
        now_s = from_s + step * step_s
        for known in known_limits:
            if not known.wait_s(entry(), now_s):
                known.take(entry(), now_s)
                sent_s.append(now_s)
    return sent_s


def most_in_window(sent_s):
    return max(
        (sum(from_s <= time_s <= from_s + WINDOW_S for time_s in sent_s))
        for from_s in sent_s
    )


def test_daemons_together_send_what_a_runner_takes_and_not_more():
    for count in (1, 3, 30, 195):
        for per_s in (0.25, 1.0, 1.5, 8.0, 40.0):
            sent_s = send_all(fleet(count, per_s), step_s=0.02)
            assert most_in_window(sent_s) <= 1.5 * per_s * WINDOW_S + 5
            assert len(sent_s) >= 0.8 * (30.0 - 1 / per_s) * per_s - 1


def test_limit_holds_while_daemons_come_and_go():
    rng = random.Random(3)
    for per_s in (1.0, 3.0, 8.0):
        known_limits = fleet(12, per_s)
        everyone = known_limits[0]._daemons
        sent_s = []
        for second in range(40):
            heard = tuple(daemon for daemon in everyone if rng.random() < 0.9)
            for known in known_limits:
                known.set_daemons(known._own_address, heard)
            sent_s += send_all(known_limits, 1.0, float(second))
        assert most_in_window(sent_s) <= 1.5 * per_s * WINDOW_S + 5


def test_answer_without_a_limit_or_a_later_incarnation_ends_it():
    (known,) = fleet(1, 1.0)
    assert known.wait_s(entry(), 0.0)
    assert not known.wait_s(entry(2), 0.0)
    assert known.record(limit(None, 5.0)) and not known.wait_s(entry(), 5.0)
    assert known.record(limit(2.0, 6.0)) and known.is_limited(entry())
    assert known.record(limit(None, 5.5, born_ms=2))
    assert not known.record(limit(2.0, 9.0, born_ms=1))


def test_answer_that_overtook_one_with_a_limit_does_not_end_it():
    (known,) = fleet(1, 1.0)
    assert not known.record(limit(None, 0.1))
    assert known.is_limited(entry())


def test_daemons_that_learn_the_same_in_any_order_know_the_same():
    said = [limit(1.0, 1.0), limit(None, 1.1), limit(2.0, 3.0), limit(None, 4.0)]
    digests = set()
    for seed in range(20):
        (known,) = fleet(1, 1.0)
        random.Random(seed).shuffle(said)
        for item in said:
            known.record(item)
        digests.add(known.digest)
    assert len(digests) == 1


def test_any_limit_is_bounded():
    for per_s in (0.0, 1e-9, 1e300, float("inf")):
        (known,) = fleet(1, per_s)
        (found,) = known.all
        assert runner_limits.PER_S_MIN <= found.per_s <= runner_limits.PER_S_MAX
        assert 0.0 <= known.wait_s(entry(), 100.0) <= 1 / runner_limits.PER_S_MIN


def test_daemons_of_the_data_centre_of_a_runner_divide_its_limit_first():
    known_limits = fleet(40, 8.0, centres=("south", "north", "west", "east"))
    for known in known_limits:
        known.wait_s(entry(), 0.0)
    waits_s = [known.wait_s(entry(), 100.0) for known in known_limits]
    dividing = [number for number, wait_s in enumerate(waits_s) if wait_s < 10.0]
    assert len(dividing) == 8 and all(number % 4 == 1 for number in dividing)


def test_limit_is_forgotten_when_its_runner_has_long_not_been_listed():
    (known,) = fleet(1, 2.0)
    kept_s = runner_limits.UNLISTED_KEPT_S
    known.forget_unlisted((), 0.0)
    known.forget_unlisted({entry().runner_id}, kept_s + 1.0)
    known.forget_unlisted((), kept_s + 2.0)
    assert known.is_limited(entry())
    known.forget_unlisted((), 2 * kept_s + 3.0)
    assert not known.is_limited(entry()) and not known.has_any
