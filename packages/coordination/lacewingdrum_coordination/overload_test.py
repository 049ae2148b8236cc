"""Tests of overload control."""

import random

from lacewingdrum_coordination import overload, routing
from lacewingdrum_state import ids, requests

SERVICE = ids.ServiceName("sommelier-llm")
RATE = 10_000.0


def make_request(customer, tokens, worth, now_s):
    return requests.Request(
        ids.RequestId("r"),
        SERVICE,
        ids.CustomerId(customer),
        ids.KindName("k"),
        tokens,
        10,
        now_s,
        now_s + 60,
        worth,
    )


def offer(control, rates, seconds, backlog_s, seed=1):
    """Offer work of several customers; return admitted and offered tokens."""
    rng = random.Random(seed)
    admitted, offered = dict.fromkeys(rates, 0), dict.fromkeys(rates, 0)
    now_s = 0.0
    while now_s < seconds:
        now_s += 0.02
        for customer, rate in rates.items():
            if rng.random() >= rate * 0.02 / 2_000:
                continue
            tokens = rng.randint(1_000, 3_000)
            asked = make_request(customer, tokens, rng.choice((1.0, 4.0)), now_s)
            supply = routing.Supply(RATE, backlog_s)
            decision = control.evaluate(asked, 1.0, supply, 1, now_s)
            offered[customer] += tokens
            if not decision.shed:
                admitted[customer] += tokens
    return admitted, offered


def test_no_requests_are_shed_while_the_backlog_is_short():
    admitted, offered = offer(overload.OverloadControl(), {"a": 30_000}, 60, 2.0)
    assert admitted == offered


def test_requests_with_the_least_worth_per_token_are_shed_first():
    control = overload.OverloadControl()
    supply = routing.Supply(RATE, overload.TARGET_BACKLOG_S)
    shed = {1.0: 0, 4.0: 0}
    for step in range(3_000):
        worth = 4.0 if step % 2 else 1.0
        asked = make_request("a", 400, worth, step * 0.02)
        shed[worth] += control.evaluate(asked, 1.0, supply, 1, step * 0.02).shed
    assert shed[4.0] == 0
    assert shed[1.0] > 1_000


def test_only_the_flooding_customer_is_limited():
    rates = {"flood": 40_000, "a": 2_000, "b": 2_000, "c": 2_000}
    admitted, offered = offer(
        overload.OverloadControl(), rates, 120, overload.TARGET_BACKLOG_S
    )
    for customer in ("a", "b", "c"):
        assert admitted[customer] >= 0.95 * offered[customer]
    assert admitted["flood"] < 0.3 * offered["flood"]
    assert 0.6 * RATE <= sum(admitted.values()) / 120 <= 1.3 * RATE
