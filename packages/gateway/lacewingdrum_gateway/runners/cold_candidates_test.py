"""Tests of which runners may get a request while some are cold."""

import unittest.mock

from lacewingdrum_coordination import (
    cold_limits,
    evacuation_register,
    runner_health,
    runner_limits,
    runner_roster,
    sharing_daemons,
)
from lacewingdrum_coordination.cold_limits_test import (
    entry,
    LIMIT,
    OVERAGE,
    report,
    SERVICE,
)
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.runners import runner_candidates
from lacewingdrum_state import ids, runner_entries, store_versions

OWN = ids.VmId("10.0.0.1:7")
NORTH = ids.DataCentre("north")
SOUTH = ids.DataCentre("south")


class Site:
    """Candidates of a daemon that hears so many that it prefers local ones."""

    def __init__(self, *entries: runner_entries.RunnerEntry) -> None:
        self.now_s = 20.0
        self.roster = runner_roster.RunnerRoster()
        self.health = runner_health.RunnerHealth()
        self.daemons = sharing_daemons.SharingDaemons(OWN, NORTH, 0.0)
        self.cold = cold_limits.ColdLimits(self.daemons, OVERAGE)
        self.cold.set_limits({SERVICE: LIMIT})
        self.candidates = runner_candidates.RunnerCandidates(
            self.roster,
            self.health,
            runner_limits.RunnerLimits(),
            self.cold,
            peer_table.PeerTable(OWN, NORTH),
            NORTH,
            lambda: self.now_s,
            evacuation_register.EvacuationRegister(),
        )
        self.list_runners(1, *entries)

    def list_runners(self, version: int, *entries: runner_entries.RunnerEntry) -> None:
        listed = runner_entries.RunnerList(
            store_versions.StoreVersion(1, version), entries
        )
        self.roster.apply(listed, self.now_s, None)

    def chosen(self) -> set[ids.RunnerId]:
        few = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", -1)
        with few:
            found = self.candidates.of_service(SERVICE, set())
        return {item.runner_id for item in found}


def far(number):
    return runner_entries.RunnerEntry(
        ids.RunnerId(f"e{number}"), SERVICE, SOUTH, *_rest(entry(number))
    )


def _rest(item):
    return item.address, item.slots, item.state, item.born_ms


def test_first_warm_runner_does_not_get_the_requests_of_all_its_data_centre():
    site = Site(*map(entry, range(4)), *map(far, range(4, 8)))
    near, others = {"e0", "e1", "e2", "e3"}, {"e4", "e5", "e6", "e7"}
    assert site.chosen() == near
    for number, left_ms in enumerate((1_000.0, 3_000.0, 3_000.0, 3_000.0)):
        said = report(left_ms=left_ms, number=number)
        site.cold.runners.record(entry(number), said, site.now_s)
    site.now_s = 21.0
    assert site.chosen() == {"e0"} | others
    site.cold.forget_warm(25.0)
    assert site.chosen() == near


def test_wait_for_a_cold_runner_is_that_of_some_daemon():
    site = Site(entry())
    for number in range(2, 30):
        site.daemons.record_heard(ids.VmId(f"10.0.0.{number}:7"), NORTH, site.now_s)
    site.cold.runners.record(entry(), report(), site.now_s)
    assert 0 < site.candidates.pause_left_s(SERVICE) <= 1 / LIMIT.requests_per_s


def test_request_planned_for_an_earlier_incarnation_is_not_sent():
    site = Site(entry())
    assert site.candidates.may_send(entry())
    site.list_runners(2, entry(born_ms=2))
    assert not site.candidates.may_send(entry())
    site.cold.set_limits({})
    assert site.candidates.may_send(entry())


def test_request_to_a_runner_that_was_not_reached_needs_a_token():
    site = Site(entry())
    site.health.record_unconnected(entry().runner_id, site.now_s)
    assert not site.candidates.may_send(entry())
    assert site.cold.is_cold(entry(), site.now_s)
    site.now_s += 1.0
    assert site.candidates.may_send(entry())


def test_cold_engine_does_not_help_others():
    site = Site(entry())
    assert site.candidates.may_help(entry(), site.now_s)
    site.cold.runners.record(entry(), report(), site.now_s)
    assert not site.candidates.may_help(entry(), site.now_s)
