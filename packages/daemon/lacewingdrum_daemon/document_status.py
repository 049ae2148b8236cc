"""Tracks which daemon serves which document version, from heartbeats."""

import dataclasses
import types
from collections.abc import Iterable, Mapping

from lacewingdrum_protocol import operators_api, peer_messages
from lacewingdrum_state import fleet, ids, states, units

SILENT_AFTER_S = 5.0
NO_HEARTBEAT_AGE_MS = -1


@dataclasses.dataclass(frozen=True, slots=True)
class _LastHeartbeat:
    heartbeat: peer_messages.Heartbeat
    received_s: float


class DocumentStatus:
    """Stores the peers' heartbeats and reports which versions VMs serve."""

    def __init__(self, vm_id: ids.VmId, data_centre: ids.DataCentre) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._last_heartbeats: dict[ids.VmId, _LastHeartbeat] = {}

    def record_heartbeat(
        self, vm_id: ids.VmId, heartbeat: peer_messages.Heartbeat, now_s: float
    ) -> None:
        """Store a peer's heartbeat.

        Args:
            vm_id: the sender.
            heartbeat: the message.
            now_s: the time of receipt, monotonic.
        """
        self._last_heartbeats[vm_id] = _LastHeartbeat(heartbeat, now_s)

    def vms(
        self,
        listed: Iterable[fleet.Vm],
        own_digests: tuple[peer_messages.DocumentVersionEntry, ...],
        now_s: float,
        listed_since_s: Mapping[ids.VmId, float] = types.MappingProxyType({}),
    ) -> tuple[operators_api.VmStatus, ...]:
        """Return the status of every listed VM.

        Args:
            listed: the VMs of the membership list.
            own_digests: the digests of this daemon's documents in force.
            now_s: the current time, monotonic.
            listed_since_s: the time at which each VM was first listed.

        Returns:
            One entry per VM, sorted by data centre and name.
        """
        by_id = {vm.vm_id: vm for vm in listed}
        self._drop_unlisted(set(by_id), now_s)
        entries = [
            self._vm_status(vm, own_digests, now_s, listed_since_s.get(vm.vm_id))
            for vm in by_id.values()
        ]
        return tuple(sorted(entries, key=lambda vm: (vm.data_centre, vm.vm_id)))

    def _vm_status(
        self,
        vm: fleet.Vm,
        own_digests: tuple[peer_messages.DocumentVersionEntry, ...],
        now_s: float,
        listed_since_s: float | None,
    ) -> operators_api.VmStatus:
        last = self._last_heartbeats.get(vm.vm_id)
        age_ms, digests = NO_HEARTBEAT_AGE_MS, ()  # type: int, tuple
        leaving = vm.state is states.MemberState.LEAVING
        # A newly listed VM has not had time to send a heartbeat. It counts as
        # live, so that operators who wait until all daemons serve a version
        # also wait for this VM.
        is_new = listed_since_s is not None and (
            now_s - listed_since_s <= SILENT_AFTER_S
        )
        if vm.vm_id == self._vm_id:
            age_ms, digests = 0, own_digests
        elif last is not None:
            age_ms = int((now_s - last.received_s) * units.MS_PER_S)
            digests = last.heartbeat.documents
            leaving = leaving or last.heartbeat.leaving
        return operators_api.VmStatus(
            vm.vm_id,
            vm.data_centre,
            str(vm.operator_address),
            _vm_state(age_ms, leaving, is_new),
            age_ms,
            tuple(
                operators_api.DocumentInForce(item.service, item.version, item.digest)
                for item in digests
            ),
        )

    def _drop_unlisted(self, listed: set[ids.VmId], now_s: float) -> None:
        """Drop peers that are no longer listed and have become silent."""
        for vm_id, last in list(self._last_heartbeats.items()):
            if vm_id not in listed and now_s - last.received_s > SILENT_AFTER_S:
                del self._last_heartbeats[vm_id]


def service_statuses(
    vms: tuple[operators_api.VmStatus, ...],
) -> tuple[operators_api.ServiceStatus, ...]:
    """Return for each document which VMs serve its newest version.

    Args:
        vms: every VM; silent and leaving ones are neither in ``confirmed``
            nor in ``missing``.

    Returns:
        One entry per service, sorted by name.
    """
    names = sorted({item.service for vm in vms for item in vm.documents})
    return tuple(_service_status(name, vms) for name in names)


def _vm_state(age_ms: int, leaving: bool, is_new: bool) -> operators_api.VmState:
    has_no_heartbeat = age_ms < 0
    if has_no_heartbeat and not is_new or age_ms > SILENT_AFTER_S * units.MS_PER_S:
        return operators_api.VmState.SILENT
    if leaving:
        return operators_api.VmState.LEAVING
    return operators_api.VmState.LIVE


def _service_status(
    name: str, vms: tuple[operators_api.VmStatus, ...]
) -> operators_api.ServiceStatus:
    held = {vm.vm_id: _find_document(vm, name) for vm in vms}
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
        has_newest = item is not None and item.version == newest.version
        into, other = (confirmed, missing) if has_newest else (missing, confirmed)
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


def _find_document(
    vm: operators_api.VmStatus, name: str
) -> operators_api.DocumentInForce | None:
    for item in vm.documents:
        if item.service == name:
            return item
    return None
