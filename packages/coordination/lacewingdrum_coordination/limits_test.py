"""Tests budgets that are lent in slices."""

import heapq
import itertools
import random

from lacewingdrum_coordination import limits
from lacewingdrum_state import ids

SERVICE = ids.ServiceName("sommelier-llm")
CUSTOMER = ids.CustomerId("broker")
LIMIT_TOKENS_PER_S = 20_000
MESSAGE_DELAY_S = 0.005
ROUND_S = 0.025
DAEMONS = 8
SKEW = (50, 20, 10, 8, 5, 4, 2, 1)


def spend_for(
    seconds,
    offered_ratio,
    request_tokens,
    coordinator_fails_s=None,
    seed=1,
    limit=LIMIT_TOKENS_PER_S,
):
    """Simulate one customer at all daemons; return grant times and tokens."""
    rng = random.Random(seed)
    daemons = [limits.DaemonBudget() for _ in range(DAEMONS)]
    for daemon in daemons:
        daemon.set_limit(SERVICE, CUSTOMER, limit)
    coordinator = limits.CoordinatorBudget()
    order = itertools.count()
    events = []
    now_s = 0.0
    while now_s < seconds:
        now_s += rng.expovariate(LIMIT_TOKENS_PER_S * offered_ratio / request_tokens)
        chosen = rng.choices(range(DAEMONS), SKEW)[0]
        heapq.heappush(events, (now_s, next(order), "spend", chosen))
    for number in range(DAEMONS):
        for turn in range(int(seconds / ROUND_S)):
            heapq.heappush(events, (turn * ROUND_S, next(order), "round", number))
    granted = []
    while events:
        now_s, _, event_type, value = heapq.heappop(events)
        is_coordinator_alive = (
            coordinator_fails_s is None or now_s < coordinator_fails_s
        )
        if event_type == "spend":
            tokens = rng.randint(1, 2 * request_tokens - 1)
            answer = daemons[value].spend(SERVICE, CUSTOMER, tokens, now_s)
            if answer == limits.Granted():
                granted.append((now_s, tokens))
        elif event_type == "round":
            for request in daemons[value].due_requests(now_s):
                arrival = (
                    now_s + MESSAGE_DELAY_S,
                    next(order),
                    "ask",
                    (value, request),
                )
                heapq.heappush(events, arrival)
        elif event_type == "ask" and is_coordinator_alive:
            number, request = value
            grant = coordinator.request(request, LIMIT_TOKENS_PER_S, now_s)
            arrival = (now_s + MESSAGE_DELAY_S, next(order), "grant", (number, grant))
            heapq.heappush(events, arrival)
        elif event_type == "grant":
            number, grant = value
            daemons[number].granted(grant, now_s)
    return granted


def windows(granted, seconds, width_s=10.0):
    """Yield the tokens granted in windows that start every half second."""
    for step in range(int((seconds - width_s) * 2) + 1):
        start_s = step / 2
        yield sum(t for at_s, t in granted if start_s <= at_s < start_s + width_s)


def test_limit_holds_within_a_tenth_when_load_is_skewed_over_daemons():
    for offered_ratio in (1.5, 4.0):
        granted = spend_for(40, offered_ratio, 300)
        used = list(windows(granted, 40))
        assert max(used) <= 1.1 * LIMIT_TOKENS_PER_S * 10
        assert min(used[4:]) >= 0.9 * LIMIT_TOKENS_PER_S * 10


def test_customer_below_its_limit_is_never_refused():
    granted = spend_for(40, 0.5, 200)
    unlimited = spend_for(40, 0.5, 200, limit=0)
    assert granted == unlimited


def test_daemons_spend_at_most_a_slice_and_an_overdraft_after_the_coordinator_fails():
    largest_tokens = 600
    granted = spend_for(40, 4.0, 300, coordinator_fails_s=20.0)
    # A request is granted while the overdraft is less than one slice, so the
    # last one may exceed that by its own size.
    after = sum(tokens for at_s, tokens in granted if at_s >= 20.0 + MESSAGE_DELAY_S)
    slice_tokens = LIMIT_TOKENS_PER_S * limits.SLICE_DURATION_S
    max_overdraft_tokens = slice_tokens + largest_tokens
    assert after <= DAEMONS * (slice_tokens + max_overdraft_tokens)


def test_overdraft_is_repaid_before_more_is_granted():
    granted = []
    daemon, coordinator = limits.DaemonBudget(), limits.CoordinatorBudget()
    daemon.set_limit(SERVICE, CUSTOMER, LIMIT_TOKENS_PER_S)
    overdraft_tokens = 3 * LIMIT_TOKENS_PER_S
    for step in range(200):
        now_s = step * ROUND_S
        tokens = overdraft_tokens if not granted else 1
        if daemon.spend(SERVICE, CUSTOMER, tokens, now_s) == limits.Granted():
            granted.append(now_s)
        for request in daemon.due_requests(now_s):
            daemon.granted(
                coordinator.request(request, LIMIT_TOKENS_PER_S, now_s), now_s
            )
    assert granted[0] == 0.0
    assert 2.8 <= granted[1] <= 3.3


def test_unspent_tokens_are_returned_when_a_slice_expires():
    daemon, coordinator = limits.DaemonBudget(), limits.CoordinatorBudget()
    daemon.set_limit(SERVICE, CUSTOMER, LIMIT_TOKENS_PER_S)
    daemon.spend(SERVICE, CUSTOMER, 1, 0.0)
    coordinator.request(
        limits.SliceRequest(SERVICE, CUSTOMER, 0, 0), LIMIT_TOKENS_PER_S, -1.0
    )
    (request,) = daemon.due_requests(0.0)
    daemon.granted(coordinator.request(request, LIMIT_TOKENS_PER_S, 0.0), 0.0)
    (unspent,) = daemon.due_requests(limits.SLICE_EXPIRY_S)
    assert unspent.wanted_units == 0
    assert unspent.used_units == -int(LIMIT_TOKENS_PER_S * limits.SLICE_DURATION_S)


def test_without_a_limit_everything_is_granted():
    daemon = limits.DaemonBudget()
    assert daemon.spend(SERVICE, CUSTOMER, 10**9, 0.0) == limits.Granted()
    assert daemon.due_requests(0.0) == ()
