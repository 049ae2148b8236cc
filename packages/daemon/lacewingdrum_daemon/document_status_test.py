"""Tests of the report on which VM serves which document version."""

from lacewingdrum_daemon import document_status
from lacewingdrum_protocol import operators_api, peer_messages
from lacewingdrum_state import fleet, ids

NORTH, EAST = ids.DataCentre("north"), ids.DataCentre("east")


def vm(name: str, centre: ids.DataCentre) -> fleet.Vm:
    address = fleet.Address("127.0.0.1", 1)
    return fleet.Vm(ids.VmId(name), centre, address, address, ids.Incarnation(1))


def digest(version: int, text: str = "") -> peer_messages.DocumentVersionEntry:
    return peer_messages.DocumentVersionEntry("reader", version, text or f"d{version}")


def heartbeat(*digests: peer_messages.DocumentVersionEntry) -> peer_messages.Heartbeat:
    return peer_messages.Heartbeat(1, "east", False, digests)


VMS = (vm("a", NORTH), vm("b", EAST), vm("c", EAST))


def status():
    made = document_status.DocumentStatus(ids.VmId("a"), NORTH)
    made.record_heartbeat(ids.VmId("b"), heartbeat(digest(2)), 10.0)
    made.record_heartbeat(ids.VmId("c"), heartbeat(digest(1)), 10.0)
    yield made


def test_vms_without_the_newest_version_are_listed_by_data_centre(status):
    (service,) = document_status.service_statuses(status.vms(VMS, (digest(2),), 11.0))
    assert service.version == 2 and not service.in_force_everywhere
    east, north = service.data_centres
    assert east.confirmed == ("b",) and east.missing == ("c",)
    assert north.confirmed == ("a",)


def test_silent_vm_need_not_confirm(status):
    status.record_heartbeat(ids.VmId("b"), heartbeat(digest(2)), 20.0)
    vms = status.vms(VMS, (digest(2),), 20.0)
    assert [item.state.value for item in vms] == ["live", "silent", "live"]
    assert document_status.service_statuses(vms)[0].in_force_everywhere


def test_vm_without_any_heartbeat_is_silent():
    status = document_status.DocumentStatus(ids.VmId("a"), NORTH)
    vms = status.vms(VMS, (), 1.0)
    ages = [item.heard_age_ms for item in vms if item.vm_id != "a"]
    assert ages == [-1, -1]
    assert vms[0].state is operators_api.VmState.SILENT


def test_newly_listed_vm_must_confirm():
    status = document_status.DocumentStatus(ids.VmId("a"), NORTH)
    since = {ids.VmId("b"): 8.0, ids.VmId("c"): 1.0}
    vms = status.vms(VMS, (digest(1),), 10.0, since)
    states_now = {item.vm_id: item.state.value for item in vms}
    assert states_now == {"a": "live", "b": "live", "c": "silent"}
    assert not document_status.service_statuses(vms)[0].in_force_everywhere


def test_different_texts_of_one_version_are_reported(status):
    status.record_heartbeat(ids.VmId("c"), heartbeat(digest(2, "other")), 10.0)
    (service,) = document_status.service_statuses(status.vms(VMS, (digest(2),), 11.0))
    assert service.conflicting_digests == ("d2", "other")
    assert not service.in_force_everywhere
