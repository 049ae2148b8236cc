"""Tests of the retry budget."""

from lacewingdrum_coordination import retries


def test_retries_are_a_tenth_of_the_requests_after_the_burst():
    budget = retries.Budget()
    taken = 0
    for _ in range(10_000):
        budget.note_request()
        taken += budget.take(0.0)
    assert taken <= 0.1 * 10_000 + retries.BURST_RETRIES
    assert taken >= 0.1 * 10_000


def test_asking_takes_nothing():
    budget = retries.Budget(burst_retries=1.0)
    assert budget.may_retry(0.0) and budget.may_retry(0.0)
    assert budget.take(0.0)
    assert not budget.may_retry(0.0)
    assert not budget.take(0.0)
