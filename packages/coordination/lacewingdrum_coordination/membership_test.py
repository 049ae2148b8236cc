"""Tests the view of the fleet: list lag, leaving marks and lost heartbeats."""

import dataclasses

from lacewingdrum_coordination import membership
from lacewingdrum_state import fleet, ids, states

LEAVING = states.MemberState.LEAVING
NORTH = ids.DataCentre("almaty-north")
EAST = ids.DataCentre("almaty-east")
LLM = ids.ServiceName("sommelier-llm")
RUNNER = fleet.Runner(
    ids.RunnerId("runner-1"),
    LLM,
    NORTH,
    fleet.Address("10.0.0.9", 80),
    ids.Incarnation(3),
)
OTHER = dataclasses.replace(RUNNER, runner_id=ids.RunnerId("runner-2"))
LEDGER = dataclasses.replace(
    RUNNER,
    runner_id=ids.RunnerId("ledger-1"),
    service=ids.ServiceName("vault-ledger"),
)


def vm(name, data_centre=NORTH, incarnation=1, state=states.MemberState.LIVE):
    address = fleet.Address("10.0.0.1", 1)
    return fleet.Vm(ids.VmId(name), data_centre, address, address, incarnation, state)


def listed(*entries, view=None, now_s=0.0):
    members = fleet.Members(
        tuple(entry for entry in entries if isinstance(entry, fleet.Vm)),
        tuple(entry for entry in entries if isinstance(entry, fleet.Runner)),
    )
    return membership.merge(view or membership.View(), members, now_s)


def names(vms):
    return [found.vm_id for found in vms]


def test_usable_runners_are_the_services_live_ones():
    leaving = dataclasses.replace(OTHER, state=LEAVING)
    view = listed(RUNNER, leaving, LEDGER)
    assert membership.usable_runners(view, LLM) == (RUNNER,)
    assert view.usable_runners(LEDGER.service) == (LEDGER,)


def test_leaving_mark_is_cleared_only_by_a_later_incarnation():
    view = listed(RUNNER, OTHER)
    view = membership.mark_runner_leaving(view, RUNNER.runner_id, 3, 1.0)
    assert view.usable_runners(LLM) == (OTHER,)
    view = listed(RUNNER, OTHER, view=view, now_s=2.0)
    assert view.usable_runners(LLM) == (OTHER,), "the list still shows it as live"
    view = listed(OTHER, view=view, now_s=3.0)
    view = listed(RUNNER, OTHER, view=view, now_s=4.0)
    assert view.usable_runners(LLM) == (OTHER,), "it was not listed for a while"
    later = dataclasses.replace(RUNNER, incarnation=4)
    view = listed(later, OTHER, view=view, now_s=5.0)
    assert view.usable_runners(LLM) == (later, OTHER)
    view = membership.mark_runner_leaving(view, RUNNER.runner_id, 3, 6.0)
    assert view.usable_runners(LLM) == (later, OTHER), (
        "a mark of an earlier incarnation"
    )
    view = listed(RUNNER, OTHER, view=view, now_s=7.0)
    assert view.usable_runners(LLM) == (OTHER,), "an older list"


def test_listed_as_leaving_stays_leaving_when_an_older_list_follows():
    leaving = dataclasses.replace(RUNNER, state=LEAVING)
    view = listed(leaving)
    view = listed(RUNNER, view=view, now_s=1.0)
    assert view.usable_runners(LLM) == ()


def test_marks_are_reported_to_peers_until_the_list_shows_them():
    view = listed(RUNNER, OTHER)
    view = membership.mark_runner_leaving(view, RUNNER.runner_id, 3, 1.0)
    assert membership.unconfirmed_leaving_marks(view) == ((RUNNER.runner_id, 3),)
    again = membership.mark_runner_leaving(view, RUNNER.runner_id, 3, 2.0)
    assert again is view
    leaving = dataclasses.replace(RUNNER, state=LEAVING)
    assert (
        membership.unconfirmed_leaving_marks(listed(leaving, view=view, now_s=2.0))
        == ()
    )
    later = dataclasses.replace(RUNNER, incarnation=4)
    assert (
        membership.unconfirmed_leaving_marks(listed(later, view=view, now_s=2.0)) == ()
    )


def test_mark_made_before_the_runner_is_listed_takes_effect():
    view = membership.mark_runner_leaving(membership.View(), RUNNER.runner_id, 3, 0.0)
    assert listed(RUNNER, view=view, now_s=1.0).usable_runners(LLM) == ()


def test_marks_of_runners_no_longer_listed_expire():
    view = membership.mark_runner_leaving(membership.View(), RUNNER.runner_id, 3, 0.0)
    view = listed(OTHER, view=view, now_s=membership.MARK_RETENTION_S + 1)
    assert view.runner_marks == {}


def test_vm_is_live_while_it_sends_heartbeats_or_is_newly_listed():
    view = listed(vm("a"), vm("b", EAST))
    assert names(membership.live_vms(view, 2.9)) == ["a", "b"]
    assert names(membership.live_vms(view, 2.9, EAST)) == ["b"]
    assert membership.live_vms(view, 3.0) == ()
    view = membership.heartbeat_received(view, ids.VmId("a"), 1, False, 5.0)
    view = listed(vm("a"), vm("b", EAST), view=view, now_s=6.0)
    assert names(membership.live_vms(view, 7.9)) == ["a"]
    assert membership.reachable_vms(view, 7.9) == ("a",)
    assert membership.live_vms(view, 8.0) == ()


def test_vm_that_is_not_listed_is_not_live():
    view = membership.heartbeat_received(
        membership.View(), ids.VmId("a"), 1, False, 0.0
    )
    assert membership.live_vms(view, 0.1) == ()
    assert membership.reachable_vms(view, 0.1) == ()
    view = listed(vm("b"), view=view, now_s=10.0)
    assert view.heartbeat_received == {}, "heartbeats of unlisted VMs are dropped"


def test_leaving_vm_is_reachable_but_not_live():
    view = listed(vm("a"), vm("b", state=LEAVING))
    view = membership.heartbeat_received(view, ids.VmId("a"), 7, True, 1.0)
    view = membership.heartbeat_received(view, ids.VmId("b"), 7, False, 1.0)
    assert membership.live_vms(view, 1.0) == ()
    assert membership.reachable_vms(view, 1.0) == ("a", "b")
    view = membership.heartbeat_received(view, ids.VmId("a"), 7, False, 1.5)
    assert membership.live_vms(view, 1.5) == (), "the same incarnation cannot undo it"
    view = membership.heartbeat_received(view, ids.VmId("a"), 6, False, 1.6)
    assert membership.live_vms(view, 1.6) == ()
    view = membership.heartbeat_received(view, ids.VmId("a"), 8, False, 2.0)
    assert names(membership.live_vms(view, 2.0)) == ["a"]
    view = membership.heartbeat_received(view, ids.VmId("a"), 7, True, 2.1)
    assert names(membership.live_vms(view, 2.1)) == ["a"], (
        "a heartbeat of an earlier incarnation"
    )
