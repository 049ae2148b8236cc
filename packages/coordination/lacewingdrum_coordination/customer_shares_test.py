"""Tests of customers' shares, and of the room for more urgent requests."""

from lacewingdrum_coordination import (
    customer_shares,
    engine_costs,
    engine_load,
    engine_work_registry,
    runner_roster_test,
    service_room,
    usual_patience,
)
from lacewingdrum_state import ids
from standins import engine_model

NOW_S = 100.0
SMALL = [f"small{number}" for number in range(23)]


def offer(large_per_s, span_s=customer_shares.WINDOW_S):
    shares = customer_shares.CustomerShares()
    for step in range(int(span_s * 10)):
        now_s = NOW_S + step / 10
        for _ in range(large_per_s // 10):
            shares.record("large", 25.0, now_s)
        shares.record(SMALL[step % len(SMALL)], 25.0, now_s)
    return shares


def over(shares, now_s):
    return {name for name in ("large", *SMALL) if shares.share(name, now_s).is_over}


def test_customer_that_bursts_is_over_its_share_and_no_other_is():
    assert over(offer(40), NOW_S + 10) == {"large"}


def test_customers_with_equal_work_and_one_alone_are_within_their_share():
    shares = customer_shares.CustomerShares()
    for step in range(230):
        shares.record(SMALL[step % 23], 25.0, NOW_S + step / 23)
    assert not over(shares, NOW_S + 10)
    alone = customer_shares.CustomerShares()
    for _ in range(50):
        alone.record("large", 25.0, NOW_S)
    assert not over(alone, NOW_S)


def test_one_long_prompt_puts_no_customer_over_its_share():
    shares = offer(0)
    shares.record("large", 9_000.0, NOW_S + 9.9)
    assert not over(shares, NOW_S + 10)


def test_window_ends_also_after_a_pause_of_the_clock():
    shares = offer(40)
    assert not over(shares, NOW_S + 3_600)
    assert shares.share("large", NOW_S + 3_600).offered_ratio == 0.0


def test_room_is_short_when_the_expected_urgent_requests_find_no_slot():
    entries = [runner_roster_test.entry(f"e{number}") for number in range(4)]
    full = engine_load.EngineLoad()
    for number in range(engine_model.MODEL.slots):
        part = engine_load.Work(
            ids.RunnerId("e0"), 20.0, True, 200.0, 300.0, 1.0, 5e3, 5_300
        )
        active = engine_load.ActiveWork(part, NOW_S - 1, NOW_S + 9)
        full.add(str(number), active)
    urgent = [
        engine_work_registry.Arrival(
            NOW_S, 300.0, 1.0, ids.RunnerId("e0"), 20.0, 0, "small"
        )
        for _ in range(40)
    ]
    unknown = engine_work_registry.Arrival(NOW_S, 300.0, 1.0, ids.RunnerId("e0"), 20.0)
    arrivals = [*urgent, unknown]
    assert service_room.more_urgent(arrivals, 1, "") == urgent
    assert not service_room.more_urgent(arrivals, 0, "")
    assert service_room.more_urgent(arrivals, 0, "large") == urgent
    assert not service_room.more_urgent(arrivals, 0, "small")
    for free_engines, is_short in ((0, True), (1, False), (2, False)):
        loads = [full] * (4 - free_engines) + [engine_load.IDLE] * free_engines
        candidates = [
            engine_costs.Candidate(entry, load)
            for entry, load in zip(entries, loads, strict=True)
        ]
        room = service_room.measure(
            engine_model.MODEL,
            candidates,
            {ids.RunnerId("e0")},
            urgent,
            1,
            NOW_S,
        )
        assert room.is_short is is_short and room.has_lower_rank


def test_caller_that_states_less_time_than_is_usual_has_come_back():
    patience = usual_patience.UsualPatience()
    usual = [patience.has_returned("r", 10_000.0 - step) for step in range(100)]
    assert not any(usual)
    assert patience.has_returned("r", 6_600.0)
    assert not patience.has_returned("r", None)
    # A route whose time was lowered by its operator is learnt anew.
    lowered = [patience.has_returned("r", 5_000.0) for _ in range(1_000)]
    assert not lowered[-1]
