"""Tests of when a daemon takes itself for cut off from all runners."""

import random

from lacewingdrum_coordination import runner_reach
from lacewingdrum_state import fleet, ids, runner_entries, states


def entry(number, service, data_centre):
    return runner_entries.RunnerEntry(
        ids.RunnerId(f"r{number}"),
        ids.ServiceName(service),
        ids.DataCentre(data_centre),
        fleet.Address("10.0.0.1", 1_000 + number),
        8,
        states.MemberState.LIVE,
    )


ENTRIES = [entry(number, "model", f"c{number % 3}") for number in range(20)]
ENTRIES += [entry(20 + number, "ledger", "c0") for number in range(3)]


def test_daemon_is_cut_off_only_if_no_checked_runner_accepts():
    reach = runner_reach.RunnerReach()
    assert not reach.apply_check((False, True, False), 1.0)
    assert not reach.apply_check((), 2.0)
    assert reach.apply_check((False, False, False), 3.0) and reach.is_cut_off
    assert reach.cut_off_since_s == 3.0
    assert not reach.apply_check((False, False), 4.0)
    assert reach.apply_check((False, True), 5.0) and not reach.is_cut_off


def test_runners_of_all_services_and_several_data_centres_are_checked():
    for seed in range(50):
        chosen = runner_reach.pick_for_check(ENTRIES, frozenset(), random.Random(seed))
        assert len(chosen) == runner_reach.CHECK_RUNNERS
        assert {item.service for item in chosen} == {"model", "ledger"}
        assert len({item.data_centre for item in chosen}) >= 2


def test_suspected_runners_are_checked_only_without_others():
    suspects = frozenset(item.runner_id for item in ENTRIES[1:])
    chosen = runner_reach.pick_for_check(ENTRIES, suspects, random.Random(1))
    assert chosen == ENTRIES[:1]
    everyone = frozenset(item.runner_id for item in ENTRIES)
    chosen = runner_reach.pick_for_check(ENTRIES, everyone, random.Random(1))
    assert len(chosen) == runner_reach.CHECK_RUNNERS
    assert not runner_reach.pick_for_check([], frozenset(), random.Random(1))
