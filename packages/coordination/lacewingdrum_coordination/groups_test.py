"""Tests of group reservations and of the homes' memory books."""

from hypothesis import given, settings, strategies

from lacewingdrum_coordination import groups, memory_book
from lacewingdrum_state import ids

PARTS = tuple(groups.Part(ids.RunnerId(name), 100) for name in ("c", "a", "b"))


def test_homes_are_asked_one_by_one_in_runner_order():
    reservation = groups.GroupReservation(PARTS)
    (ask,) = reservation.start()
    order = []
    while isinstance(ask, groups.AskHome):
        order.append(ask.part.runner_id)
        actions = reservation.answered(ask.part.runner_id, True)
        ask = actions[0] if actions else None
    assert order == ["a", "b", "c"]
    assert reservation.state is groups.ReservationState.HELD


def test_a_refusal_gives_back_everything_that_may_be_held():
    reservation = groups.GroupReservation(PARTS)
    reservation.start()
    reservation.answered(ids.RunnerId("a"), True)
    actions = reservation.answered(ids.RunnerId("b"), False)
    assert {each.part.runner_id for each in actions} == {"a", "b"}
    assert all(isinstance(each, groups.ReleaseHome) for each in actions)
    assert reservation.state is groups.ReservationState.REFUSED


def test_a_grant_after_the_end_is_released():
    reservation = groups.GroupReservation(PARTS)
    reservation.start()
    assert len(reservation.release()) == 1
    (late,) = reservation.answered(ids.RunnerId("a"), True)
    assert late == groups.ReleaseHome(PARTS[1])


@settings(derandomize=True, deadline=None, database=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.booleans())
    )
)
def test_whatever_the_homes_answer_nothing_stays_set_aside(answers):
    books = {name: memory_book.MemoryBook() for name in "abc"}
    reservation_id = ids.ReservationId("r")
    reservation = groups.GroupReservation(PARTS)
    actions = list(reservation.start())

    def carry_out(turn):
        action = actions.pop(0)
        runner_id = action.part.runner_id
        if isinstance(action, groups.ReleaseHome):
            books[runner_id].release(runner_id, reservation_id)
            return
        free = 100 if turn[1] else 0
        granted = books[runner_id].reserve(
            runner_id, reservation_id, action.part.tokens, free, 9.0, 0.0
        )
        if turn[0]:
            actions.extend(reservation.answered(runner_id, granted))

    for turn in answers:
        if actions:
            carry_out(turn)
    actions.extend(reservation.release())
    while actions:
        carry_out((1, False))
    held = {
        name: book.reserved_tokens(ids.RunnerId(name), 0.0)
        for name, book in books.items()
    }
    assert held == {"a": 0, "b": 0, "c": 0}


def test_a_book_grants_what_is_free_once_and_lets_it_lapse():
    book = memory_book.MemoryBook()
    runner_id = ids.RunnerId("a")
    first, second = ids.ReservationId("1"), ids.ReservationId("2")
    assert book.reserve(runner_id, first, 60, 100, 5.0, 0.0)
    assert book.reserve(runner_id, first, 60, 100, 5.0, 0.0)
    assert not book.reserve(runner_id, second, 60, 100, 5.0, 1.0)
    assert book.reserved_tokens(runner_id, 1.0) == 60
    assert book.reserve(runner_id, second, 60, 100, 9.0, 5.0)
