"""Which daemon has which document version in force, from heartbeats."""

import dataclasses
import types
from collections.abc import Iterable, Mapping

from lacewingdrum_protocol import operators_api, peer_messages
from lacewingdrum_state import fleet, ids, states, units

SILENT_AFTER_S = 5.0
NEVER_HEARD_MS = -1


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    heartbeat: peer_messages.Heartbeat
    at_s: float


class DocumentStatus:
    """Remembers each peer's last heartbeat and says who lags behind."""

    def __init__(self, vm_id: ids.VmId, data_centre: ids.DataCentre) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._heard: dict[ids.VmId, _Heard] = {}

    def hear(
        self, vm_id: ids.VmId, heartbeat: peer_messages.Heartbeat, now_s: float
    ) -> None:
        """Take in a peer's heartbeat.

        Args:
            vm_id: its sender.
            heartbeat: what it says.
            now_s: when it came, monotonic.
        """
        self._heard[vm_id] = _Heard(heartbeat, now_s)

    def vms(
        self,
        listed: Iterable[fleet.Vm],
        own: tuple[peer_messages.DocumentVersionEntry, ...],
        now_s: float,
        listed_since_s: Mapping[ids.VmId, float] = types.MappingProxyType({}),
    ) -> tuple[operators_api.VmStatus, ...]:
        """Describe every VM.

        Args:
            listed: the membership list's VMs.
            own: this daemon's own documents in force.
            now_s: the present, monotonic.
            listed_since_s: when each VM came onto the list.

        Returns:
            One entry for each listed VM, by data centre and name.
        """
        by_id = {vm.vm_id: vm for vm in listed}
        self._forget(set(by_id), now_s)
        entries = [
            self._vm(vm, own, now_s, listed_since_s.get(vm.vm_id))
            for vm in by_id.values()
        ]
        return tuple(sorted(entries, key=lambda vm: (vm.data_centre, vm.vm_id)))

    def _vm(
        self,
        vm: fleet.Vm,
        own: tuple[peer_messages.DocumentVersionEntry, ...],
        now_s: float,
        listed_since_s: float | None,
    ) -> operators_api.VmStatus:
        heard = self._heard.get(vm.vm_id)
        age_ms, digests = NEVER_HEARD_MS, ()  # type: int, tuple
        leaving = vm.state is states.MemberState.LEAVING
        # A VM that is new on the list has had no time to be heard, and must
        # not be passed over by those who wait for all daemons.
        is_new = listed_since_s is not None and (
            now_s - listed_since_s <= SILENT_AFTER_S
        )
        if vm.vm_id == self._vm_id:
            age_ms, digests = 0, own
        elif heard is not None:
            age_ms = int((now_s - heard.at_s) * units.MS_PER_S)
            digests = heard.heartbeat.documents
            leaving = leaving or heard.heartbeat.leaving
        return operators_api.VmStatus(
            vm.vm_id,
            vm.data_centre,
            str(vm.operator_address),
            _state(age_ms, leaving, is_new),
            age_ms,
            tuple(
                operators_api.DocumentInForce(item.service, item.version, item.digest)
                for item in digests
            ),
        )

    def _forget(self, listed: set[ids.VmId], now_s: float) -> None:
        """Drop peers that left the list and were not heard for long."""
        for vm_id, heard in list(self._heard.items()):
            if vm_id not in listed and now_s - heard.at_s > SILENT_AFTER_S:
                del self._heard[vm_id]


def services(
    vms: tuple[operators_api.VmStatus, ...],
) -> tuple[operators_api.ServiceStatus, ...]:
    """Say of each document how far its newest version has come.

    Args:
        vms: every VM; those that are silent or leaving need not confirm.

    Returns:
        One entry a service, by name.
    """
    names = sorted({item.service for vm in vms for item in vm.documents})
    return tuple(_service(name, vms) for name in names)


def _state(age_ms: int, leaving: bool, is_new: bool) -> operators_api.VmState:
    was_never_heard = age_ms < 0
    if was_never_heard and not is_new or age_ms > SILENT_AFTER_S * units.MS_PER_S:
        return operators_api.VmState.SILENT
    if leaving:
        return operators_api.VmState.LEAVING
    return operators_api.VmState.LIVE


def _service(
    name: str, vms: tuple[operators_api.VmStatus, ...]
) -> operators_api.ServiceStatus:
    held = {vm.vm_id: _document(vm, name) for vm in vms}
    newest = max((item for item in held.values() if item), key=lambda it: it.version)
    digests = {
        item.digest
        for item in held.values()
        if item is not None and item.version == newest.version
    }
    confirmed: dict[str, list[str]] = {}
    missing: dict[str, list[str]] = {}
    for vm in vms:
        if vm.state is not operators_api.VmState.LIVE:
            continue
        item = held[vm.vm_id]
        has_it = item is not None and item.version == newest.version
        into, other = (confirmed, missing) if has_it else (missing, confirmed)
        into.setdefault(vm.data_centre, []).append(vm.vm_id)
        other.setdefault(vm.data_centre, [])
    return operators_api.ServiceStatus(
        name,
        newest.version,
        newest.digest,
        tuple(
            operators_api.DataCentreStatus(
                centre, tuple(confirmed[centre]), tuple(missing[centre])
            )
            for centre in sorted(confirmed)
        ),
        len(digests) == 1 and not any(missing.values()),
        tuple(sorted(digests)) if len(digests) > 1 else (),
    )


def _document(
    vm: operators_api.VmStatus, name: str
) -> operators_api.DocumentInForce | None:
    for item in vm.documents:
        if item.service == name:
            return item
    return None
