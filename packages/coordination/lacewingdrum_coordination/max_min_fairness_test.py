"""Tests of the max-min division."""

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import max_min_fairness
from lacewingdrum_state import ids

AMOUNTS = strategies.lists(
    strategies.tuples(strategies.floats(1, 1_000), strategies.floats(0.1, 10)),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True, deadline=None, database=None)
@given(AMOUNTS, strategies.floats(1, 5_000))
def test_fair_grants_use_all_capacity_and_never_exceed_the_offer(amounts, affordable):
    offered = {ids.CustomerId(str(n)): asked for n, (asked, _) in enumerate(amounts)}
    shares = {ids.CustomerId(str(n)): share for n, (_, share) in enumerate(amounts)}
    granted = max_min_fairness.fair_grants(offered, shares, affordable)
    assert granted.keys() == offered.keys()
    for customer, tokens in granted.items():
        assert tokens <= offered[customer] + 1e-6
    expected = min(affordable, sum(offered.values()))
    assert abs(sum(granted.values()) - expected) < 1e-6 * max(1, expected)
