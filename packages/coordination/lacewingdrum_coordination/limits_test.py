"""Tests of budgets that are lent in slices."""

import heapq
import itertools
import random

from lacewingdrum_coordination import limits
from lacewingdrum_state import ids

SERVICE = ids.ServiceName("sommelier-llm")
CUSTOMER = ids.CustomerId("broker")
LIMIT = 20_000
MESSAGE_S = 0.005
ROUND_S = 0.025
DAEMONS = 8
SKEW = (50, 20, 10, 8, 5, 4, 2, 1)


def spend_for(
    seconds, offered_ratio, request_tokens, home_dies_s=None, seed=1, limit=LIMIT
):
    """Replay daemons of one customer; returns what was granted, and when."""
    rng = random.Random(seed)
    daemons = [limits.DaemonBudget() for _ in range(DAEMONS)]
    for daemon in daemons:
        daemon.set_limit(SERVICE, CUSTOMER, limit)
    home = limits.CoordinatorBudget()
    order = itertools.count()
    events = []
    now_s = 0.0
    while now_s < seconds:
        now_s += rng.expovariate(LIMIT * offered_ratio / request_tokens)
        chosen = rng.choices(range(DAEMONS), SKEW)[0]
        heapq.heappush(events, (now_s, next(order), "spend", chosen))
    for number in range(DAEMONS):
        for turn in range(int(seconds / ROUND_S)):
            heapq.heappush(events, (turn * ROUND_S, next(order), "round", number))
    granted = []
    while events:
        now_s, _, what, value = heapq.heappop(events)
        alive = home_dies_s is None or now_s < home_dies_s
        if what == "spend":
            tokens = rng.randint(1, 2 * request_tokens - 1)
            answer = daemons[value].spend(SERVICE, CUSTOMER, tokens, now_s)
            if answer == limits.Granted():
                granted.append((now_s, tokens))
        elif what == "round":
            for request in daemons[value].due_requests(now_s):
                arrival = (now_s + MESSAGE_S, next(order), "ask", (value, request))
                heapq.heappush(events, arrival)
        elif what == "ask" and alive:
            number, request = value
            grant = home.request(request, LIMIT, now_s)
            arrival = (now_s + MESSAGE_S, next(order), "grant", (number, grant))
            heapq.heappush(events, arrival)
        elif what == "grant":
            number, grant = value
            daemons[number].granted(grant, now_s)
    return granted


def windows(granted, seconds, width_s=10.0):
    """Yields the tokens granted in each window, moved by half a second."""
    for step in range(int((seconds - width_s) * 2) + 1):
        start_s = step / 2
        yield sum(t for at_s, t in granted if start_s <= at_s < start_s + width_s)


def test_a_limit_holds_within_a_tenth_over_skewed_daemons():
    for offered_ratio in (1.5, 4.0):
        granted = spend_for(40, offered_ratio, 300)
        used = list(windows(granted, 40))
        assert max(used) <= 1.1 * LIMIT * 10
        assert min(used[4:]) >= 0.9 * LIMIT * 10


def test_a_customer_below_its_limit_gets_all_it_asks_for():
    granted = spend_for(40, 0.5, 200)
    unlimited = spend_for(40, 0.5, 200, limit=0)
    assert granted == unlimited


def test_with_the_home_dead_each_daemon_goes_over_by_one_slice_at_most():
    largest_tokens = 600
    granted = spend_for(40, 4.0, 300, home_dies_s=20.0)
    after = sum(tokens for at_s, tokens in granted if at_s >= 20.0 + MESSAGE_S)
    slice_tokens = LIMIT * limits.SLICE_DURATION_S
    lent = slice_tokens + largest_tokens
    assert after <= DAEMONS * (slice_tokens + lent)


def test_an_overdraft_is_paid_before_more_is_spent():
    granted = []
    daemon, home = limits.DaemonBudget(), limits.CoordinatorBudget()
    daemon.set_limit(SERVICE, CUSTOMER, LIMIT)
    whole = 3 * LIMIT
    for step in range(200):
        now_s = step * ROUND_S
        tokens = whole if not granted else 1
        if daemon.spend(SERVICE, CUSTOMER, tokens, now_s) == limits.Granted():
            granted.append(now_s)
        for request in daemon.due_requests(now_s):
            daemon.granted(home.request(request, LIMIT, now_s), now_s)
    assert granted[0] == 0.0
    assert 2.8 <= granted[1] <= 3.3


def test_what_was_not_spent_is_given_back():
    daemon, home = limits.DaemonBudget(), limits.CoordinatorBudget()
    daemon.set_limit(SERVICE, CUSTOMER, LIMIT)
    daemon.spend(SERVICE, CUSTOMER, 1, 0.0)
    home.request(limits.SliceRequest(SERVICE, CUSTOMER, 0, 0), LIMIT, -1.0)
    (request,) = daemon.due_requests(0.0)
    daemon.granted(home.request(request, LIMIT, 0.0), 0.0)
    (back,) = daemon.due_requests(limits.SLICE_EXPIRY_S)
    assert back.wanted_tokens == 0
    assert back.used_tokens == -int(LIMIT * limits.SLICE_DURATION_S)


def test_without_a_limit_everything_is_granted():
    daemon = limits.DaemonBudget()
    assert daemon.spend(SERVICE, CUSTOMER, 10**9, 0.0) == limits.Granted()
    assert daemon.due_requests(0.0) == ()
