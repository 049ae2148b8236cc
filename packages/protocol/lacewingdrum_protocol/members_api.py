"""Messages of the platform's HTTP interface for its membership list.

``GET /members`` returns ``MembersAnswer``. The list may be out of date.
"""

import msgspec

from lacewingdrum_state import fleet, ids, states

MEMBERS_PATH = "/members"


class VmEntry(msgspec.Struct, frozen=True):
    """One entry VM in the list."""

    vm_id: str
    data_centre: str
    host: str
    peer_port: int
    operator_port: int
    incarnation: int = 1
    state: states.MemberState = states.MemberState.LIVE


class RunnerEntry(msgspec.Struct, frozen=True):
    """One runner in the list."""

    runner_id: str
    service: str
    data_centre: str
    host: str
    port: int
    incarnation: int = 1
    state: states.MemberState = states.MemberState.LIVE


class MembersAnswer(msgspec.Struct, frozen=True):
    """The list as of the platform's last refresh."""

    vms: tuple[VmEntry, ...] = ()
    runners: tuple[RunnerEntry, ...] = ()


def members_from(answer: MembersAnswer) -> fleet.Members:
    """Convert the list to the types of ``lacewingdrum_state``."""
    vms = tuple(_vm(entry) for entry in answer.vms)
    runners = tuple(_runner(entry) for entry in answer.runners)
    return fleet.Members(vms, runners)


def _vm(entry: VmEntry) -> fleet.Vm:
    return fleet.Vm(
        vm_id=ids.VmId(entry.vm_id),
        data_centre=ids.DataCentre(entry.data_centre),
        peer_address=fleet.Address(entry.host, entry.peer_port),
        operator_address=fleet.Address(entry.host, entry.operator_port),
        incarnation=ids.Incarnation(entry.incarnation),
        state=entry.state,
    )


def _runner(entry: RunnerEntry) -> fleet.Runner:
    return fleet.Runner(
        runner_id=ids.RunnerId(entry.runner_id),
        service=ids.ServiceName(entry.service),
        data_centre=ids.DataCentre(entry.data_centre),
        address=fleet.Address(entry.host, entry.port),
        incarnation=ids.Incarnation(entry.incarnation),
        state=entry.state,
    )
