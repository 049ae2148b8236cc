import dataclasses

from lacewingdrum_coordination import runner_pauses
from lacewingdrum_state import fleet, ids, runner_entries, states

ENTRY = runner_entries.RunnerEntry(
    runner_id=ids.RunnerId("r"),
    service=ids.ServiceName("s"),
    data_centre=ids.DataCentre("north"),
    address=fleet.Address("10.0.0.1", 80),
    slots=4,
    state=states.MemberState.LIVE,
    born_ms=5,
)


def of_start(born_ms: int) -> runner_entries.RunnerEntry:
    return dataclasses.replace(ENTRY, born_ms=born_ms)


def test_pause_lasts_until_its_end_and_is_not_shortened():
    pauses = runner_pauses.RunnerPauses()
    assert pauses.left_s(ENTRY, 1.0) == 0.0
    pauses.record(ENTRY, 31.0, 1.0)
    pauses.record(ENTRY, 3.0, 2.0)
    assert pauses.left_s(ENTRY, 30.0) == 1.0
    assert pauses.left_s(ENTRY, 31.0) == 0.0


def test_pause_ends_with_a_later_incarnation_only():
    pauses = runner_pauses.RunnerPauses()
    pauses.record(ENTRY, 31.0, 1.0)
    assert pauses.left_s(of_start(4), 2.0) == 29.0
    assert pauses.left_s(of_start(6), 2.0) == 0.0
    pauses.record(of_start(6), 11.0, 2.0)
    pauses.record(ENTRY, 60.0, 3.0)
    assert pauses.left_s(of_start(6), 3.0) == 8.0


def test_pauses_that_have_ended_are_dropped_first():
    pauses = runner_pauses.RunnerPauses()
    for number in range(runner_pauses.PAUSES_MAX):
        name = ids.RunnerId(f"r{number}")
        until_s = 9.0 if number else 90.0
        pauses.record(dataclasses.replace(ENTRY, runner_id=name), until_s, 1.0)
    first = dataclasses.replace(ENTRY, runner_id=ids.RunnerId("r0"))
    pauses.record(ENTRY, 90.0, 20.0)
    assert pauses.left_s(first, 20.0) == pauses.left_s(ENTRY, 20.0) == 70.0
