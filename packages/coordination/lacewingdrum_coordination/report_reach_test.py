from lacewingdrum_coordination import evacuation_register, report_reach
from lacewingdrum_state import evacuations, ids, store_versions

NORTH = ids.DataCentre("north")


def change(is_active: bool, version: int) -> evacuations.Evacuation:
    stated = store_versions.StoreVersion(1, version)
    return evacuations.Evacuation(NORTH, is_active, stated)


def test_work_is_reported_to_all_until_what_began_in_an_evacuation_has_ended():
    register = evacuation_register.EvacuationRegister()
    reach = report_reach.ReportReach(register)
    assert not reach.is_fleet_wide(10.0)
    register.apply([change(True, 5)])
    assert reach.is_fleet_wide(20.0) and reach.is_fleet_wide(400.0)
    register.apply([change(False, 6)])
    assert reach.is_fleet_wide(400.0 + report_reach.KEPT_S - 0.1)
    assert not reach.is_fleet_wide(400.0 + report_reach.KEPT_S)
