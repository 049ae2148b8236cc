"""Tests of outlier ejection."""

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import outliers
from lacewingdrum_state import ids

NAMES = tuple(ids.RunnerId(f"r{number}") for number in range(9))


def ejections():
    made = outliers.Ejections()
    made.set_runners(NAMES)
    return made


def rates(made, slow, now_s):
    for name in NAMES:
        made.observe_rate(name, 1_000.0 if name in slow else 10_000.0, now_s)


def test_a_slow_runner_goes_after_some_strikes_and_returns_by_a_probe():
    made = ejections()
    rates(made, (), -1.0)
    for turn in range(3):
        assert made.ejected(turn) == frozenset()
        rates(made, NAMES[:1], float(turn))
    assert made.ejected(3.0) == {NAMES[0]}
    back_s = 3.0 + outliers.EJECTION_S
    assert made.ejected(back_s) == frozenset()
    rates(made, NAMES[:1], back_s)
    assert made.ejected(back_s + outliers.EJECTION_S + 1) == {NAMES[0]}
    healed_s = back_s + 2 * outliers.EJECTION_S
    rates(made, (), healed_s)
    assert made.ejected(healed_s) == frozenset()


def test_one_failure_ejects_nobody():
    made = ejections()
    made.observe_failure(NAMES[0], 0.0)
    made.observe_success(NAMES[0], 0.1)
    made.observe_failure(NAMES[0], 0.2)
    made.observe_failure(NAMES[0], 0.3)
    assert made.ejected(0.3) == frozenset()


@settings(derandomize=True, deadline=None, database=None)
@given(strategies.lists(strategies.integers(0, 8), max_size=200))
def test_never_more_than_a_third_is_out(failures):
    made = ejections()
    for turn, number in enumerate(failures):
        made.observe_failure(NAMES[number], turn * 0.5)
        assert len(made.ejected(turn * 0.5)) <= len(NAMES) // 3
