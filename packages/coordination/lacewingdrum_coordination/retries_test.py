"""Tests of the retry budget."""

from lacewingdrum_coordination import retries


def test_retries_are_limited_to_a_tenth_of_the_requests_after_the_burst():
    budget = retries.RetryBudget()
    spent = 0
    for _ in range(10_000):
        budget.record_request()
        spent += budget.spend(0.0)
    assert spent <= 0.1 * 10_000 + retries.BURST_RETRIES
    assert spent >= 0.1 * 10_000


def test_may_retry_does_not_spend_a_retry():
    budget = retries.RetryBudget(burst_retries=1.0)
    assert budget.may_retry(0.0) and budget.may_retry(0.0)
    assert budget.spend(0.0)
    assert not budget.may_retry(0.0)
    assert not budget.spend(0.0)
