"""Tests of the cached coordinators of runners."""

from lacewingdrum_coordination import coordinators, runner_coordinators
from lacewingdrum_state import fleet, ids

ADDRESS = fleet.Address("127.0.0.1", 1)
OWN = ids.VmId("own")
CENTRE = ids.DataCentre("a")


def vm(name, centre):
    return fleet.Vm(
        ids.VmId(name), ids.DataCentre(centre), ADDRESS, ADDRESS, ids.Incarnation(1)
    )


def runner(name, centre):
    return fleet.Runner(
        ids.RunnerId(name),
        ids.ServiceName("m"),
        ids.DataCentre(centre),
        ADDRESS,
        ids.Incarnation(1),
    )


def test_coordinators_follow_the_live_vms_of_the_data_centre():
    cache = runner_coordinators.RunnerCoordinators(OWN, CENTRE)
    assert cache.coordinator_of(runner("r", "b")) == OWN
    cache.set_live_vms([vm("x", "b"), vm("y", "b"), vm("z", "a")])
    assert cache.coordinator_of(runner("r", "b")) == coordinators.coordinator_of_runner(
        "r", ("x", "y")
    )
    assert cache.coordinator_of(runner("r", "a")) == coordinators.coordinator_of_runner(
        "r", (OWN, "z")
    )
    cache.set_live_vms([vm("y", "b")])
    assert cache.coordinator_of(runner("r", "b")) == "y"


def test_runners_of_a_data_centre_without_vms_get_any_live_vm():
    cache = runner_coordinators.RunnerCoordinators(OWN, CENTRE)
    cache.set_live_vms([vm("x", "b")])
    assert cache.coordinator_of(runner("r", "c")) == coordinators.coordinator_of_runner(
        "r", (OWN, "x")
    )
