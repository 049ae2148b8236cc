"""Tests of homes."""

import collections

from lacewingdrum_coordination import homes
from lacewingdrum_state import ids

VMS = tuple(ids.VmId(f"vm{number}") for number in range(8))
RUNNERS = tuple(ids.RunnerId(f"r{number}") for number in range(1_000))


def test_homes_are_alike_on_all_daemons_and_spread():
    counts = collections.Counter(homes.home_of_runner(each, VMS) for each in RUNNERS)
    assert set(counts) == set(VMS)
    assert max(counts.values()) < 1.4 * len(RUNNERS) / len(VMS)
    for each in RUNNERS[:50]:
        assert homes.home_of_runner(each, VMS) == homes.home_of_runner(each, VMS[::-1])


def test_a_vm_that_goes_moves_its_own_homes_only():
    left = VMS[1:]
    for each in RUNNERS:
        before = homes.home_of_runner(each, VMS)
        if before != VMS[0]:
            assert homes.home_of_runner(each, left) == before


def test_without_vms_there_is_no_home():
    assert homes.home_of_runner(RUNNERS[0], ()) is None
    service, customer = ids.ServiceName("s"), ids.CustomerId("c")
    assert homes.home_of_customer(service, customer, ()) is None
