"""Tests of group reservations and of coordinators' memory reservations."""

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import groups, memory_reservations
from lacewingdrum_state import ids

PARTS = tuple(groups.Part(ids.RunnerId(name), 100) for name in ("c", "a", "b"))


def test_coordinators_are_asked_one_by_one_in_order_of_runner_ids():
    reservation = groups.GroupReservation(PARTS)
    (action,) = reservation.start()
    order = []
    while isinstance(action, groups.ReserveMemory):
        order.append(action.part.runner_id)
        actions = reservation.on_reply(action.part.runner_id, True)
        action = actions[0] if actions else None
    assert order == ["a", "b", "c"]
    assert reservation.state is groups.ReservationState.HELD


def test_a_refusal_releases_everything_that_may_be_held():
    reservation = groups.GroupReservation(PARTS)
    reservation.start()
    reservation.on_reply(ids.RunnerId("a"), True)
    actions = reservation.on_reply(ids.RunnerId("b"), False)
    assert {each.part.runner_id for each in actions} == {"a", "b"}
    assert all(isinstance(each, groups.ReleaseMemory) for each in actions)
    assert reservation.state is groups.ReservationState.REFUSED


def test_a_grant_after_the_release_is_released():
    reservation = groups.GroupReservation(PARTS)
    reservation.start()
    assert len(reservation.release()) == 1
    (late,) = reservation.on_reply(ids.RunnerId("a"), True)
    assert late == groups.ReleaseMemory(PARTS[1])


@settings(derandomize=True, deadline=None, database=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.booleans())
    )
)
def test_whatever_the_coordinators_answer_nothing_stays_reserved(answers):
    reservations_by_engine = {
        name: memory_reservations.MemoryReservations() for name in "abc"
    }
    reservation_id = ids.ReservationId("r")
    reservation = groups.GroupReservation(PARTS)
    actions = list(reservation.start())

    def carry_out(answer):
        action = actions.pop(0)
        runner_id = action.part.runner_id
        if isinstance(action, groups.ReleaseMemory):
            reservations_by_engine[runner_id].release(runner_id, reservation_id)
            return
        free = 100 if answer[1] else 0
        granted = reservations_by_engine[runner_id].reserve(
            runner_id, reservation_id, action.part.tokens, free, 9.0, 0.0
        )
        if answer[0]:
            actions.extend(reservation.on_reply(runner_id, granted))

    for answer in answers:
        if actions:
            carry_out(answer)
    actions.extend(reservation.release())
    while actions:
        carry_out((1, False))
    held = {
        name: reservations.reserved_tokens(ids.RunnerId(name), 0.0)
        for name, reservations in reservations_by_engine.items()
    }
    assert held == {"a": 0, "b": 0, "c": 0}


def test_free_memory_is_granted_once_until_the_reservation_expires():
    reservations = memory_reservations.MemoryReservations()
    runner_id = ids.RunnerId("a")
    first, second = ids.ReservationId("1"), ids.ReservationId("2")
    assert reservations.reserve(runner_id, first, 60, 100, 5.0, 0.0)
    assert reservations.reserve(runner_id, first, 60, 100, 5.0, 0.0)
    assert not reservations.reserve(runner_id, second, 60, 100, 5.0, 1.0)
    assert reservations.reserved_tokens(runner_id, 1.0) == 60
    assert reservations.reserve(runner_id, second, 60, 100, 9.0, 5.0)
