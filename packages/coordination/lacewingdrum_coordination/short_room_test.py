"""Tests of the decision when room is short."""

import dataclasses

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import service_room, short_room

NOW_S = 100.0
SHORT = service_room.Room(
    free_slots=1,
    open_slots=1,
    expected_arrivals=5.0,
    has_lower_rank=True,
    taken_ratio=0.9,
    has_queue=False,
    is_idle=False,
    work_ahead_ms=9_000.0,
    engine_count=24,
)
ASKING = short_room.Asking(
    first_event_ms=1_000.0,
    objective_left_ms=5_000.0,
    give_up_left_ms=9_000.0,
    is_too_costly=False,
    costs_urgent=False,
    is_over_share=False,
    may_wait=True,
    put_off_until_s=None,
    room=SHORT,
)


def decide(asking, earlier=False, least=False):
    return short_room.decide(asking, earlier, least, NOW_S)


def at_end(**changes):
    return dataclasses.replace(ASKING, put_off_until_s=NOW_S, **changes)


def test_less_urgent_request_waits_for_half_of_its_spare_time():
    put_off = decide(ASKING)
    assert put_off == short_room.PutOff(
        NOW_S + 2.0, short_room.Reason.MORE_URGENT_FIRST
    )


def test_end_of_the_wait_goes_on_by_the_least_share_or_is_refused():
    assert decide(at_end(), least=True) == short_room.Proceed(uses_least_share=True)
    refused = decide(at_end())
    assert refused == short_room.Refuse(short_room.Reason.MORE_URGENT_FIRST)


def test_request_of_the_same_rank_only_waits():
    room = dataclasses.replace(SHORT, has_lower_rank=False)
    assert isinstance(decide(dataclasses.replace(ASKING, room=room)), short_room.PutOff)
    assert decide(at_end(room=room)) == short_room.Proceed()


def test_costly_prompt_gives_way_only_while_more_urgent_requests_keep_arriving():
    room = dataclasses.replace(SHORT, free_slots=90)
    costly = dataclasses.replace(ASKING, costs_urgent=True, room=room)
    assert isinstance(decide(costly), short_room.PutOff)
    assert decide(at_end(costs_urgent=True, room=room)) == short_room.Proceed()
    for change in ({"taken_ratio": 0.3}, {"expected_arrivals": 0.6}):
        calm = dataclasses.replace(room, **change)
        assert decide(dataclasses.replace(costly, room=calm)) == short_room.Proceed()


def test_customer_over_its_share_is_refused_at_the_end_of_its_wait():
    refused = decide(at_end(is_over_share=True), least=True)
    assert refused == short_room.Refuse(short_room.Reason.OVER_SHARE)


def test_what_comes_after_its_caller_has_given_up_is_refused_at_once():
    late = dataclasses.replace(ASKING, first_event_ms=9_001.0)
    assert decide(late) == short_room.Refuse(short_room.Reason.TOO_LATE)


def test_request_with_idle_engines_goes_on():
    room = dataclasses.replace(SHORT, is_idle=True)
    assert decide(dataclasses.replace(ASKING, room=room), True) == short_room.Proceed()


@settings(derandomize=True, deadline=None, database=None)
@given(
    strategies.floats(0, 20_000),
    strategies.floats(-5_000, 10_000),
    strategies.floats(0, 1),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
    strategies.none() | strategies.floats(NOW_S - 10, NOW_S + 10),
)
def test_no_refusal_while_half_is_free_and_no_wait_without_an_end(
    first_ms, left_ms, taken, costly, over, idle, until_s
):
    room = dataclasses.replace(SHORT, taken_ratio=taken, is_idle=idle)
    decision = decide(
        dataclasses.replace(
            ASKING,
            first_event_ms=first_ms,
            objective_left_ms=left_ms,
            is_too_costly=costly,
            is_over_share=over,
            put_off_until_s=until_s,
            room=room,
        )
    )
    if taken < service_room.HALF_TAKEN_RATIO:
        assert not isinstance(decision, short_room.Refuse)
    if isinstance(decision, short_room.PutOff):
        spare_s = max(left_ms - first_ms, 0.0) / 1_000
        bound_s = NOW_S + short_room.PUT_OFF_RATIO * spare_s
        assert decision.until_s == (bound_s if until_s is None else until_s)
        assert decision.until_s > NOW_S
