import dataclasses

from lacewingdrum_coordination import lease_holders, runner_roster_test

HolderState = lease_holders.HolderState
ENTRY = runner_roster_test.entry("a", born_ms=5)
LATER = dataclasses.replace(ENTRY, born_ms=9)
UNSTATED = dataclasses.replace(ENTRY, born_ms=0)


def stated(born_ms=0, is_other_runner=False):
    return lease_holders.StatedIdentity(is_other_runner, born_ms)


def test_own_answer_of_an_engine_decides_also_against_the_list():
    for listed in (ENTRY, LATER, None):
        alive = lease_holders.find_state(ENTRY, stated(5), listed)
        assert alive is HolderState.ALIVE
        for other in (stated(9), stated(4), stated(5, is_other_runner=True)):
            found = lease_holders.find_state(ENTRY, other, listed)
            assert found is HolderState.REPLACED


def test_lease_is_not_taken_for_alive_without_an_answer_that_names_its_holder():
    for answer in (None, stated()):
        for listed in (ENTRY, None, dataclasses.replace(ENTRY, born_ms=4)):
            found = lease_holders.find_state(ENTRY, answer, listed)
            assert found is HolderState.UNKNOWN
        found = lease_holders.find_state(ENTRY, answer, LATER)
        assert found is HolderState.REPLACED
    assert lease_holders.find_state(UNSTATED, stated(5), None) is HolderState.UNKNOWN


def test_id_alone_names_a_holder_whose_start_nobody_states():
    alive = lease_holders.find_state(UNSTATED, stated(), UNSTATED)
    assert alive is HolderState.ALIVE
