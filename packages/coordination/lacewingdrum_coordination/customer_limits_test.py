"""Tests both limits of a customer over several daemons."""

import random

from lacewingdrum_coordination import customer_limits, limits
from lacewingdrum_state import documents, ids

SERVICE = ids.ServiceName("s")
NAME = ids.CustomerId("c")
DAEMONS = 8
WINDOW_S = 10.0
STEP_S = 0.025
MAX_DEVIATION_RATIO = 0.1


def granted_in_window(customer, tokens, offered_per_s):
    """Count requests granted in a window, with unequal load on daemons."""
    rng = random.Random(1)
    coordinator = customer_limits.CoordinatorLimits()
    daemons = [customer_limits.CustomerLimits() for _ in range(DAEMONS)]
    for daemon in daemons:
        daemon.set_limits(SERVICE, customer)
    skew = [1 / (rank + 1) for rank in range(DAEMONS)]
    granted = 0
    window_steps = round(WINDOW_S / STEP_S)
    for step in range(2 * window_steps):
        now_s = step * STEP_S
        for _ in range(round(offered_per_s * STEP_S)):
            daemon = rng.choices(daemons, skew)[0]
            result = daemon.charge(SERVICE, NAME, tokens, now_s)
            if isinstance(result, limits.Granted) and step >= window_steps:
                granted += 1
        for daemon in daemons:
            for resource, request in daemon.due_requests(now_s):
                grant = coordinator.request(resource, request, customer, now_s)
                daemon.granted(resource, grant, now_s)
    return granted


def test_request_limit_holds_within_a_tenth():
    customer = documents.Customer(NAME, "", limit_requests_per_s=40.0)
    granted = granted_in_window(customer, 100, 200)
    assert abs(granted - 40 * WINDOW_S) <= MAX_DEVIATION_RATIO * 40 * WINDOW_S


def test_token_limit_holds_beside_a_higher_request_limit():
    customer = documents.Customer(
        NAME, "", limit_tokens_per_s=20_000, limit_requests_per_s=1_000.0
    )
    granted = granted_in_window(customer, 200, 400)
    assert abs(granted - 100 * WINDOW_S) <= MAX_DEVIATION_RATIO * 100 * WINDOW_S


def test_a_customer_without_limits_is_never_refused():
    customer = documents.Customer(NAME, "")
    assert granted_in_window(customer, 1_000, 400) == 400 * WINDOW_S


def test_stopping_daemon_returns_its_unspent_slices():
    customer = documents.Customer(NAME, "", limit_tokens_per_s=100_000)
    coordinator = customer_limits.CoordinatorLimits()
    daemon = customer_limits.CustomerLimits()
    daemon.set_limits(SERVICE, customer)
    tokens = customer_limits.Resource.TOKENS
    daemon.charge(SERVICE, NAME, 1, 0.0)
    for now_s in (0.0, 1.0):
        for resource, request in daemon.due_requests(now_s):
            daemon.granted(
                resource, coordinator.request(resource, request, customer, now_s), now_s
            )
    returned = daemon.give_back()
    assert [(resource, request.wanted_units) for resource, request in returned] == [
        (tokens, 0)
    ]
    assert returned[0][1].used_units < 0
    assert daemon.give_back() == ()
