"""Tests of outlier ejection."""

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import outliers
from lacewingdrum_state import ids

NAMES = tuple(ids.RunnerId(f"r{number}") for number in range(9))


def make_ejections():
    ejections = outliers.Ejections()
    ejections.set_runners(NAMES)
    return ejections


def observe_rates(ejections, slow, now_s):
    for name in NAMES:
        ejections.observe_rate(name, 1_000.0 if name in slow else 10_000.0, now_s)


def test_a_slow_runner_is_ejected_after_three_strikes_and_returns_after_a_probe():
    ejections = make_ejections()
    observe_rates(ejections, (), -1.0)
    for turn in range(3):
        assert ejections.ejected(turn) == frozenset()
        observe_rates(ejections, NAMES[:1], float(turn))
    assert ejections.ejected(3.0) == {NAMES[0]}
    probe_s = 3.0 + outliers.EJECTION_S
    assert ejections.ejected(probe_s) == frozenset()
    observe_rates(ejections, NAMES[:1], probe_s)
    assert ejections.ejected(probe_s + outliers.EJECTION_S + 1) == {NAMES[0]}
    recovered_s = probe_s + 2 * outliers.EJECTION_S
    observe_rates(ejections, (), recovered_s)
    assert ejections.ejected(recovered_s) == frozenset()


def test_fewer_than_three_strikes_in_a_row_do_not_eject():
    ejections = make_ejections()
    ejections.observe_failure(NAMES[0], 0.0)
    ejections.observe_success(NAMES[0], 0.1)
    ejections.observe_failure(NAMES[0], 0.2)
    ejections.observe_failure(NAMES[0], 0.3)
    assert ejections.ejected(0.3) == frozenset()


@settings(derandomize=True, deadline=None, database=None)
@given(strategies.lists(strategies.integers(0, 8), max_size=200))
def test_at_most_a_third_of_the_runners_is_ejected(failures):
    ejections = make_ejections()
    for turn, number in enumerate(failures):
        ejections.observe_failure(NAMES[number], turn * 0.5)
        assert len(ejections.ejected(turn * 0.5)) <= len(NAMES) // 3
