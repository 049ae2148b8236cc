from lacewingdrum_coordination import retry_allowance
from lacewingdrum_state import ids

MODEL = ids.ServiceName("model")
LEDGER = ids.ServiceName("ledger")


def retries_taken(allowance, daemons: int, now_s: float, attempts: int = 500) -> int:
    return sum(allowance.take(MODEL, daemons, now_s) for _ in range(attempts))


def test_all_daemons_together_stay_under_the_slack():
    for daemons in (1, 3, 6, 60):
        allowances = [
            retry_allowance.RetryAllowance(0.2, 100, 10) for _ in range(daemons)
        ]
        total = sum(retries_taken(item, daemons, 1.0) for item in allowances)
        assert total <= 100


def test_daemon_restarted_once_stays_under_the_slack():
    incarnations = [retry_allowance.RetryAllowance(0.2, 100, 10) for _ in range(2)]
    assert (
        sum(retries_taken(incarnation, 1, 1.0) for incarnation in incarnations) <= 100
    )


def test_requests_add_retries_by_ratio_within_the_window():
    allowance = retry_allowance.RetryAllowance(0.2, 0, 10)
    assert not allowance.take(MODEL, 1, 0.0)
    for number in range(100):
        allowance.record_request(MODEL, number / 100)
    assert retries_taken(allowance, 1, 1.0) == 10
    assert not allowance.has_left(MODEL, 1, 1.5) and not allowance.take(MODEL, 1, 1.5)
    assert not allowance.take(LEDGER, 1, 1.0)
    for number in range(100):
        allowance.record_request(MODEL, 11.5 + number / 100)
    assert allowance.has_left(MODEL, 1, 12.5)
    assert retries_taken(allowance, 1, 12.5) == 10


def test_part_of_the_allowance_is_kept_for_other_retries():
    allowance = retry_allowance.RetryAllowance(0.2, 100, 10)
    late = [allowance.take(MODEL, 1, 1.0, usable_share=0.5) for _ in range(100)]
    assert sum(late) == 25
    assert retries_taken(allowance, 1, 1.0) == 25
