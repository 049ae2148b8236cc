import hypothesis
from hypothesis import strategies

from lacewingdrum_coordination import evacuation_register
from lacewingdrum_state import evacuations, ids, store_versions

NORTH, SOUTH = ids.DataCentre("north"), ids.DataCentre("south")
DAEMONS = 4
st_bool = strategies.booleans()


def at(version: int, era: int = 1) -> store_versions.StoreVersion:
    return store_versions.StoreVersion(era, version)


def row(version: int, is_active: bool, era: int = 1, name=NORTH, is_read=False):
    return evacuations.Evacuation(name, is_active, at(version, era), is_read)


def settled() -> evacuation_register.EvacuationRegister:
    register = evacuation_register.EvacuationRegister()
    register.apply_read(at(1), ())
    register.end_return()
    return register


def test_read_ends_evacuations_that_it_lacks_and_no_newer_ones():
    register = settled()
    register.apply([row(5, True), row(9, True, name=SOUTH)])
    changed = register.apply_read(at(7), ())
    assert [(item.data_centre, item.is_active) for item in changed] == [(NORTH, False)]
    assert register.active == {SOUTH}


def test_an_end_is_news_of_the_first_read_that_lacks_the_row_alone():
    register = settled()
    register.apply([row(5, True)])
    assert register.apply_read(at(7), ())
    digest = register.digest
    assert register.apply_read(at(8), ()) == ()
    assert register.apply_read(at(10), ()) == ()
    assert register.apply([row(6, False, is_read=True)]) == ()
    assert register.digest == digest


def test_older_news_that_arrives_after_a_read_begins_nothing():
    register = settled()
    register.apply_read(at(7), ())
    register.apply([row(5, True)])
    assert not register.active and register.digest, "peers are not told that it ended"


def test_evacuation_lasts_while_a_returned_store_lacks_its_row():
    register = settled()
    register.apply([row(5, True)])
    register.apply_read(at(3, 2), ())
    assert register.active == {NORTH}
    register.apply([row(4, True, 2)])
    register.end_return()
    assert register.active == {NORTH}


def test_evacuation_that_was_taken_away_does_not_return_with_the_store():
    register = settled()
    register.apply([row(5, True)])
    register.apply([row(8, False)])
    register.apply_read(at(6, 2), [row(5, True, 2, is_read=True)])
    register.apply([row(5, True, 2, is_read=True)])
    assert not register.active
    register.apply([row(7, False, 2)])
    register.end_return()
    assert not register.active


def test_row_written_after_the_return_counts_at_once():
    register = settled()
    register.apply([row(5, True)])
    register.apply_read(at(3, 2), ())
    register.apply([row(4, False, 2)])
    assert not register.active
    register.apply([row(6, True, 2)])
    assert register.active == {NORTH}


def test_row_that_a_later_read_shows_first_counts_at_once_after_a_return():
    register = settled()
    register.apply([row(5, True), row(8, False)])
    register.apply_read(at(6, 2), [row(5, True, 2, is_read=True)])
    assert not register.active
    register.apply_read(at(12, 2), [row(11, True, 2, is_read=True)])
    assert register.active == {NORTH}


def test_rows_of_the_copy_count_once_nobody_has_written_others():
    register = settled()
    register.apply([row(5, True)])
    register.apply_read(at(3, 2), [row(2, True, 2, SOUTH, is_read=True)])
    assert register.active == {NORTH, SOUTH}
    register.end_return()
    assert register.active == {SOUTH}


def test_daemon_that_starts_after_a_return_takes_the_belief_of_its_peers():
    register = evacuation_register.EvacuationRegister()
    register.apply_read(at(6, 2), [row(5, True, 2, is_read=True)])
    assert register.active == {NORTH}
    register.apply([row(8, False)])
    assert not register.active


def test_two_returns_at_once_keep_the_belief_of_before_both():
    register = settled()
    register.apply([row(5, True)])
    register.apply_read(at(3, 2), ())
    register.apply_read(at(2, 3), ())
    assert register.active == {NORTH}
    register.end_return()
    assert not register.active


def test_row_of_a_copy_that_a_peer_believed_does_not_outlive_a_second_return():
    register, fresh = settled(), evacuation_register.EvacuationRegister()
    register.apply([row(5, True), row(8, False)])
    for one in (register, fresh):
        one.apply_read(at(6, 2), [row(5, True, 2, is_read=True)])
        one.apply_read(at(6, 3), [row(5, True, 3, is_read=True)])
    assert fresh.active == {NORTH}
    register.apply(fresh.all)
    assert not register.active
    fresh.apply(register.all)
    assert not fresh.active


def test_end_found_by_a_read_outlives_a_second_return_beside_such_a_row():
    register = settled()
    register.apply([row(5, True)])
    register.apply_read(at(8), ())
    register.apply_read(at(6, 2), [row(5, True, 2, is_read=True)])
    register.apply_read(at(6, 3), [row(5, True, 3, is_read=True)])
    register.apply([row(5, True, 2, is_read=True)])
    assert not register.active


def test_older_news_after_a_return_begins_nothing_that_a_read_before_lacked():
    register = settled()
    register.apply_read(at(9), ())
    register.apply_read(at(3, 2), ())
    register.apply([row(5, True)])
    assert not register.active


@hypothesis.given(strategies.data())
def test_any_order_of_rows_reads_and_news_ends_in_the_same_state(data):
    steps = data.draw(
        strategies.lists(
            strategies.tuples(strategies.sampled_from((NORTH, SOUTH)), st_bool),
            min_size=1,
            max_size=8,
        )
    )
    return_after = data.draw(strategies.integers(0, len(steps)))
    copied_at = data.draw(strategies.integers(0, return_after))
    seen, last, active = _observe(steps, return_after, copied_at)
    registers = [evacuation_register.EvacuationRegister() for _ in range(DAEMONS)]
    for number, register in enumerate(registers):
        part = seen if number == 0 else data.draw(strategies.lists(_of(seen)))
        for take in data.draw(strategies.permutations([*part, last])):
            take(register)
    for _ in range(2):
        _exchange(registers, data)
        for register in registers:
            register.end_return()
    _exchange(registers, data)
    assert {register.active for register in registers} == {active}
    assert len({register.digest for register in registers}) == 1


def test_oldest_ended_evacuations_make_room_for_further_ones():
    register, limit = settled(), evacuation_register.DATA_CENTRES_MAX
    names = [ids.DataCentre(f"d{number}") for number in range(limit)]
    for number, name in enumerate(names):
        register.apply([row(2 * number + 2, True, name=name)])
        register.apply([row(2 * number + 3, False, name=name)])
    register.apply([row(9_000, True)])
    assert register.active == {NORTH}
    assert {item.data_centre for item in register.all} == {NORTH, *names[1:]}


def test_evacuations_beyond_the_limit_are_counted():
    register, limit = settled(), evacuation_register.DATA_CENTRES_MAX
    register.apply(
        row(number + 2, True, name=ids.DataCentre(f"d{number}"))
        for number in range(limit + 1)
    )
    assert len(register.active) == limit
    assert register.refused_count == 1


def _of(seen):
    return strategies.sampled_from(seen)


def _observe(steps, return_after: int, copied_at: int):
    """Return all that can be seen, the last read, and what is in force."""
    era, version, rows, copied, seen = 1, 10, {}, ({}, 10), []
    seen.append(_reading(era, version, rows))
    for number, (name, is_active) in enumerate(steps):
        if number == copied_at:
            copied = (dict(rows), version)
        if number == return_after:
            rows, version, era = dict(copied[0]), copied[1], 2
            seen.append(_reading(era, version, rows))
        version += 1
        rows[name] = version
        if not is_active:
            del rows[name]
        item = row(version, is_active, era, name)
        seen.append(lambda register, item=item: register.apply([item]))
        seen.append(_reading(era, version, rows))
    return seen, _reading(era, version, rows), frozenset(rows)


def _reading(era: int, version: int, rows: dict):
    found = [row(at_, True, era, name, is_read=True) for name, at_ in rows.items()]
    return lambda register: register.apply_read(at(version, era), found)


def _exchange(registers, data) -> None:
    for _ in range(3):
        for register in data.draw(strategies.permutations(registers)):
            for other in registers:
                other.apply(register.all)
