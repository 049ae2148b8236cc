"""Tests of which runners count as cold."""

import dataclasses

from lacewingdrum_coordination import cold_runners
from lacewingdrum_coordination.cold_limits_test import entry, LIMIT, report, SERVICE


def known():
    runners = cold_runners.ColdRunners(1.5)
    runners.set_limits({SERVICE: LIMIT})
    return runners


def left_s(runners, now_s, born_ms=1):
    cold = runners.get(entry(born_ms=born_ms))
    return cold.left_s(now_s) if cold else 0.0


def test_incarnations_that_start_during_traffic_are_cold_and_those_before_are_not():
    runners = known()
    assert not runners.record_list([entry()], 10.0)
    assert not runners.record_list([entry()], 11.0)
    (turned,) = runners.record_list([entry(born_ms=2)], 12.0)
    assert turned.left_s(13.0) == 2.0
    (joined,) = runners.record_list([entry(born_ms=2), entry(1)], 13.0)
    assert joined.entry == entry(1)
    assert not runners.record_list([], 14.0)
    assert not runners.record_list([entry(born_ms=2), entry(1)], 20.0)


def test_runner_turns_cold_again_within_one_incarnation():
    runners = known()
    runners.record_list([entry()], 0.0)
    assert runners.record(entry(), report(), 10.0) is not None
    assert runners.record(entry(), report(left_ms=2_500.0), 10.5) is None
    assert left_s(runners, 13.0) == 0.0 and runners.has_any
    assert runners.record(entry(), report(left_ms=900.0), 14.0) is not None
    assert left_s(runners, 14.5) > 0.3


def test_later_end_wins_when_reports_disagree():
    runners = known()
    for left_ms in (500.0, 2_000.0, 0.0, -7.0, 100.0):
        runners.record(entry(), report(left_ms=left_ms), 10.0)
    assert left_s(runners, 10.0) == 2.0


def test_absurd_times_do_not_keep_a_runner_cold():
    for left_ms in (1e300, float("inf"), 1e12):
        runners = known()
        runners.record(entry(), report(left_ms=left_ms), 10.0)
        assert left_s(runners, 10.0) == LIMIT.duration_s
        assert runners.forget_warm(14.5) and not runners.has_any
    runners = known()
    for left_ms in (-1e300, float("nan"), 0.0):
        assert runners.record(entry(), report(left_ms=left_ms), 10.0) is None


def test_reports_of_another_incarnation_or_service_change_nothing():
    runners = known()
    assert runners.record(entry(born_ms=2), report(born_ms=1), 10.0) is None
    runners.set_limits({})
    assert runners.record(entry(), report(), 10.0) is None
    assert not runners.record_list([entry(born_ms=9)], 10.0)


def test_service_without_a_limit_ends_the_cold_time_of_its_runners():
    runners = known()
    runners.record(entry(), report(), 10.0)
    runners.set_limits({})
    assert not runners.has_any


def test_row_that_stays_unchanged_keeps_a_runner_cold_once():
    runners = known()
    said = dataclasses.replace(report(left_ms=400.0), seq=7)
    assert runners.record(entry(), said, 10.0) is not None
    for step in range(20):
        assert runners.record(entry(), said, 10.5 + step / 2) is None
    assert left_s(runners, 20.5) == 0.0
    for again in (dataclasses.replace(said, seq=8), report(left_ms=400.0)):
        assert runners.record(entry(), again, 21.0 + (again.seq is None)) is not None
    assert runners.record(entry(born_ms=2), report(born_ms=2), 30.0) is not None


def test_runner_that_is_still_cold_is_kept_when_there_are_too_many():
    runners = known()
    runners.record(entry(), report(), 10.0)
    for number in range(1, cold_runners.RUNNERS_MAX + 9):
        said = report(left_ms=100.0, number=number)
        runners.record(entry(number), said, 10.0)
    assert left_s(runners, 11.0) == 2.0
    assert len(runners.all) == cold_runners.RUNNERS_MAX
