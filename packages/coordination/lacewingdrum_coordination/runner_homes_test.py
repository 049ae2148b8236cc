"""Tests of the kept homes of runners."""

from lacewingdrum_coordination import homes, runner_homes
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


def test_homes_follow_the_live_vms_of_the_data_centre():
    found = runner_homes.RunnerHomes(OWN, CENTRE)
    assert found.home_of(runner("r", "b")) == OWN
    found.set_live([vm("x", "b"), vm("y", "b"), vm("z", "a")])
    assert found.home_of(runner("r", "b")) == homes.home_of_runner("r", ("x", "y"))
    assert found.home_of(runner("r", "a")) == homes.home_of_runner("r", (OWN, "z"))
    found.set_live([vm("y", "b")])
    assert found.home_of(runner("r", "b")) == "y"


def test_a_data_centre_without_vms_is_looked_after_from_any_other():
    found = runner_homes.RunnerHomes(OWN, CENTRE)
    found.set_live([vm("x", "b")])
    assert found.home_of(runner("r", "c")) == homes.home_of_runner("r", (OWN, "x"))
