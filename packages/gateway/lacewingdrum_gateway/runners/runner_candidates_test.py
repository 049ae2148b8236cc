"""Tests of which data centres' runners a large fleet's daemons consider."""

from hypothesis import given, strategies

from lacewingdrum_coordination import (
    cold_limits,
    evacuation_register,
    runner_health,
    runner_limits,
    runner_roster,
    runner_roster_test,
    sharing_daemons,
)
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.runners import runner_candidates
from lacewingdrum_state import fleet, ids

NOW_S = 100.0
OWN = ids.DataCentre("dc0")


def considered(runner_counts, suspect_count: int = 0) -> list[ids.DataCentre]:
    """Return the data centres of candidates, of which dc0 is the own one."""
    entries = [
        runner_roster_test.entry(
            f"e{number}-{index}",
            data_centre=ids.DataCentre(f"dc{number}"),
            address=fleet.Address(f"10.0.{number}.1", 8_000 + index),
        )
        for number, count in enumerate(runner_counts)
        for index in range(count)
    ]
    roster, health = runner_roster.RunnerRoster(), runner_health.RunnerHealth()
    roster.apply(runner_roster_test.listed(1, *entries), NOW_S)
    for item in entries[:suspect_count]:
        health.suspect(item.runner_id, NOW_S)
    peers = peer_table.PeerTable(ids.VmId("10.0.0.1:7"), OWN)
    # As in a fleet too large for all daemons to report their work to all.
    peers.__class__ = type(
        "LargeFleet", (peer_table.PeerTable,), {"exchanges_all_work_reports": False}
    )
    daemons = sharing_daemons.SharingDaemons(peers.own_address, OWN, 0.0)
    candidates = runner_candidates.RunnerCandidates(
        roster,
        health,
        runner_limits.RunnerLimits(),
        cold_limits.ColdLimits(daemons, cold_limits.Overage(1.0, 0.0)),
        peers,
        OWN,
        lambda: NOW_S,
        evacuation_register.EvacuationRegister(),
    )
    found = candidates.of_service(runner_roster_test.MODEL, set())
    return [item.data_centre for item in found]


def test_own_runners_are_preferred():
    assert set(considered((8, 8, 8))) == {OWN}


def test_runners_of_all_data_centres_are_considered_if_the_own_ones_are_lost():
    for suspect_count in (6, 8):
        assert len(considered((8, 8, 8), suspect_count)) == 24 - suspect_count
    assert len(considered((2, 8, 8))) == 18


@given(strategies.lists(strategies.integers(0, 12), min_size=1, max_size=4))
def test_runners_are_considered_if_there_are_any(runner_counts):
    found = considered(runner_counts)
    assert bool(found) == any(runner_counts)
    if runner_counts[0] * len(runner_counts) >= sum(runner_counts) > 0:
        assert set(found) == {OWN}
