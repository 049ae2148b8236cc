"""Tests of the coordinators of runners and customers."""

import collections

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import ids

VMS = tuple(ids.VmId(f"vm{number}") for number in range(8))
RUNNERS = tuple(ids.RunnerId(f"r{number}") for number in range(1_000))


def test_coordinators_are_equal_on_all_daemons_and_evenly_spread():
    counts = collections.Counter(
        coordinators.coordinator_of_runner(each, VMS) for each in RUNNERS
    )
    assert set(counts) == set(VMS)
    assert max(counts.values()) < 1.4 * len(RUNNERS) / len(VMS)
    for each in RUNNERS[:50]:
        assert coordinators.coordinator_of_runner(
            each, VMS
        ) == coordinators.coordinator_of_runner(each, VMS[::-1])


def test_a_vm_that_leaves_changes_only_its_own_runners_coordinators():
    remaining = VMS[1:]
    for each in RUNNERS:
        before = coordinators.coordinator_of_runner(each, VMS)
        if before != VMS[0]:
            assert coordinators.coordinator_of_runner(each, remaining) == before


def test_without_vms_there_is_no_coordinator():
    assert coordinators.coordinator_of_runner(RUNNERS[0], ()) is None
    service, customer = ids.ServiceName("s"), ids.CustomerId("c")
    assert coordinators.coordinator_of_customer(service, customer, ()) is None
