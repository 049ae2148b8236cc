"""Tests of which daemons count as those that may send requests."""

import unittest.mock

from lacewingdrum_coordination import sharing_daemons
from lacewingdrum_coordination.cold_limits_test import (
    BOUND,
    entry,
    fleet_of,
    most_in_a_second,
    send_all,
    Vm,
)
from lacewingdrum_state import ids

GONE = ids.VmId("10.0.9.9:7")


def test_daemon_that_others_pass_to_and_fro_is_dropped():
    vms = fleet_of(2)
    for vm in vms:
        vm.daemons.record_heard(GONE, ids.DataCentre("north"), 0.0)
    for now_s in range(1, 700):
        for vm in vms:
            vm.hear(vms, float(now_s))
            vm.daemons.forget_old(float(now_s))
            is_known = GONE in vm.daemons.addresses
            assert is_known is (now_s <= sharing_daemons.KEPT_S)


def test_seed_that_no_longer_runs_is_dropped_and_stays_so():
    vms = fleet_of(2)
    for now_s in range(700):
        for vm in vms:
            vm.hear(vms, float(now_s))
            vm.daemons.record_named([GONE], float(now_s))
            vm.daemons.forget_old(float(now_s))
    assert all(vm.daemons.count == 2 for vm in vms)
    started = Vm(3, 700.0)
    started.daemons.record_named([GONE], 700.0)
    vms[0].hear([started], 700.1)
    assert GONE not in vms[0].daemons.addresses
    vms[0].daemons.record_heard(GONE, ids.DataCentre("north"), 701.0)
    assert GONE in vms[0].daemons.addresses


def test_daemon_that_was_cut_off_for_long_learns_the_others_before_it_sends():
    vms = fleet_of(30)
    chosen = next(vm for vm in vms if vm.daemons.own_place(entry()) == 20)
    chosen.is_cut = True
    for now_s in range(0, 700, 10):
        for vm in vms:
            vm.hear(vms, float(now_s))
            vm.daemons.forget_old(float(now_s))
    chosen.is_cut = False
    other = next(vm for vm in vms if vm is not chosen)
    other.hear([chosen], 700.0)
    chosen.daemons.record_heard(other.address, other.data_centre, 700.0)
    for vm in vms:
        vm.turn_cold([entry()], 701.0)
    assert not send_all([chosen], entry(), 701.0, 2.9)
    assert most_in_a_second(send_all(vms, entry(), 701.0, 2.9)) <= BOUND


def test_daemon_that_is_heard_counts_also_when_too_many_are_named():
    with unittest.mock.patch.object(sharing_daemons, "DAEMONS_MAX", 3):
        vm, *others = fleet_of(5)
        daemons = sharing_daemons.SharingDaemons(vm.address, vm.data_centre, 0.0)
        daemons.record_named([other.address for other in others[:3]], 0.0)
        for other in reversed(others[1:]):
            daemons.record_heard(other.address, other.data_centre, 1.0)
        assert set(daemons.addresses) == {other.address for other in others[1:]}
        assert daemons.knows_all(4.0)
        daemons.record_heard(others[0].address, others[0].data_centre, 4.0)
        assert not daemons.knows_all(100.0)
        for now_s in range(5, 700, 50):
            daemons.record_heard(others[0].address, others[0].data_centre, now_s)
            daemons.forget_old(now_s)
        assert daemons.addresses == (others[0].address,)
        assert daemons.knows_all(660.0)
