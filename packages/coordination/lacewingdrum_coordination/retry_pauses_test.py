import itertools
import random

from lacewingdrum_coordination import retry_pauses

BOUND_S = 2.0
OUTAGE_S = 60.0


def calls_in_outage(daemon_count: int, limit_s: float) -> list[float]:
    """Return when the daemons call a store that fails from second 0 on."""
    calls_s = []
    for seed in range(daemon_count):
        pauses = retry_pauses.RetryPauses(0.25, random.Random(seed))
        now_s = 0.0
        while now_s < OUTAGE_S:
            calls_s.append(now_s)
            now_s += pauses.take_s(limit_s)
    return sorted(calls_s)


def test_pause_stays_within_the_bound_however_large_the_fleet():
    for factor in (1.0, 8.0, 100.0):
        limit_s = retry_pauses.limit_s(factor, BOUND_S)
        pauses = retry_pauses.RetryPauses(0.25, random.Random(1))
        taken_s = [pauses.take_s(limit_s) for _ in range(50)]
        assert max(taken_s) <= BOUND_S - retry_pauses.CALL_RESERVE_S
        assert min(taken_s[3:]) >= 0.5 * limit_s
    assert retry_pauses.limit_s(1.0, 0.1) == retry_pauses.PAUSE_LIMIT_MIN_S


def test_first_pause_comes_again_after_a_success():
    pauses = retry_pauses.RetryPauses(0.25, random.Random(1))
    for _ in range(5):
        pauses.take_s(8.0)
    assert pauses.take_s(8.0) > 2.0
    pauses.reset()
    assert pauses.take_s(8.0) <= 0.25


def test_daemons_that_failed_together_do_not_call_together_again():
    limit_s = retry_pauses.limit_s(1.0, BOUND_S)
    later_s = [call_s for call_s in calls_in_outage(6, limit_s) if call_s > 10.0]
    gaps_s = [after - before for before, after in itertools.pairwise(later_s)]
    # In step, the six would call once a second and be silent in between.
    assert max(gaps_s) < 0.8 and sum(gaps_s) / len(gaps_s) < 0.2


def test_calls_in_a_long_outage_are_bounded():
    for daemon_count, factor, bound_s in ((6, 1.0, BOUND_S), (360, 30.0, 16.0)):
        limit_s = retry_pauses.limit_s(factor, bound_s)
        calls_s = calls_in_outage(daemon_count, limit_s)
        # By then the pauses have grown to the limit.
        late = [call_s for call_s in calls_s if call_s > OUTAGE_S / 2]
        assert len(late) / (OUTAGE_S / 2) < 1.5 * daemon_count / limit_s
