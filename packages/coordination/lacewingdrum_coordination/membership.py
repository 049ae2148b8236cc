"""Maintains a daemon's view of the fleet's VMs and runners.

The view is based on the platform's list. The list lags, so heartbeats and the
runners' own refusals correct it. A VM or runner that any source reports as
leaving gets no new work until a later incarnation of it is known.
"""

import dataclasses
from collections.abc import Mapping
from typing import TypeVar

from lacewingdrum_state import fleet, ids, states

HEARTBEAT_TIMEOUT_S = 3.0
# A mark is kept this long without its entry, because the list can omit an
# entry for a while.
MARK_RETENTION_S = 3600.0

_Id = TypeVar("_Id", bound=str)
_Entry = TypeVar("_Entry", fleet.Vm, fleet.Runner)


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingMark:
    """The latest incarnation that is known to be leaving.

    ``last_seen_s`` is when its entry was last in the list, or when it was
    reported as leaving, whichever is later.
    """

    incarnation: ids.Incarnation
    last_seen_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LastHeartbeat:
    """The last heartbeat of a VM.

    Its incarnation is counted by the daemon itself, not by the list.
    """

    at_s: float
    incarnation: ids.Incarnation
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """The fleet as seen by one daemon.

    ``vms`` and ``runners`` are the list's entries, whose state is ``LEAVING``
    if any source reports that they are leaving. The other fields are used
    only by the functions of this module; ``heartbeat_received`` holds the
    last heartbeat of each VM.
    """

    vms: tuple[fleet.Vm, ...] = ()
    runners: tuple[fleet.Runner, ...] = ()
    listed: fleet.Members = fleet.Members()
    listed_since_s: Mapping[ids.VmId, float] = dataclasses.field(default_factory=dict)
    heartbeat_received: Mapping[ids.VmId, LastHeartbeat] = dataclasses.field(
        default_factory=dict
    )
    vm_marks: Mapping[ids.VmId, LeavingMark] = dataclasses.field(default_factory=dict)
    runner_marks: Mapping[ids.RunnerId, LeavingMark] = dataclasses.field(
        default_factory=dict
    )

    def usable_runners(self, service: ids.ServiceName) -> tuple[fleet.Runner, ...]:
        """Return the service's runners that accept new work."""
        return usable_runners(self, service)


def merge(view: View, members: fleet.Members, now_s: float) -> View:
    """Update the view with a newly read list.

    Args:
        view: the view before.
        members: the list.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The updated view.
    """
    vm_marks = dict(view.vm_marks)
    for vm in members.vms:
        _update_mark(vm_marks, vm.vm_id, vm, now_s)
    runner_marks = dict(view.runner_marks)
    for runner in members.runners:
        _update_mark(runner_marks, runner.runner_id, runner, now_s)
    listed_since_s = {
        vm.vm_id: view.listed_since_s.get(vm.vm_id, now_s) for vm in members.vms
    }
    heartbeat_received = {
        vm_id: last
        for vm_id, last in view.heartbeat_received.items()
        if vm_id in listed_since_s or now_s - last.at_s < HEARTBEAT_TIMEOUT_S
    }
    return _with_states(
        dataclasses.replace(
            view,
            listed=members,
            listed_since_s=listed_since_s,
            heartbeat_received=heartbeat_received,
            vm_marks=_without_expired(vm_marks, now_s),
            runner_marks=_without_expired(runner_marks, now_s),
        )
    )


def mark_runner_leaving(
    view: View,
    runner_id: ids.RunnerId,
    incarnation: ids.Incarnation,
    now_s: float,
) -> View:
    """Record that a runner is leaving, as it or a peer reported.

    Args:
        view: the view before.
        runner_id: the runner.
        incarnation: the incarnation that is leaving.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The updated view, or the same object if this was already known.
    """
    mark = view.runner_marks.get(runner_id)
    if mark is not None and mark.incarnation >= incarnation:
        return view
    marks = dict(view.runner_marks)
    marks[runner_id] = LeavingMark(incarnation, now_s)
    return _with_states(dataclasses.replace(view, runner_marks=marks))


def heartbeat_received(
    view: View,
    vm_id: ids.VmId,
    incarnation: ids.Incarnation,
    is_leaving: bool,
    now_s: float,
) -> View:
    """Update the view with a heartbeat.

    Args:
        view: the view before.
        vm_id: the VM of the sender.
        incarnation: the sender's own count of its starts.
        is_leaving: whether the sender accepts no new work.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The updated view. A heartbeat of an earlier incarnation is ignored.
    """
    last = view.heartbeat_received.get(vm_id)
    if last is not None:
        if incarnation < last.incarnation:
            return view
        if incarnation == last.incarnation:
            is_leaving = is_leaving or last.is_leaving
    heartbeats = dict(view.heartbeat_received)
    heartbeats[vm_id] = LastHeartbeat(now_s, incarnation, is_leaving)
    changed = dataclasses.replace(view, heartbeat_received=heartbeats)
    was_leaving = last is not None and last.is_leaving
    return changed if was_leaving == is_leaving else _with_states(changed)


def usable_runners(view: View, service: ids.ServiceName) -> tuple[fleet.Runner, ...]:
    """Return the service's runners that no source reports as leaving."""
    return tuple(
        runner
        for runner in view.runners
        if runner.service == service and runner.state is states.MemberState.LIVE
    )


def live_vms(
    view: View, now_s: float, data_centre: ids.DataCentre | None = None
) -> tuple[fleet.Vm, ...]:
    """Return the VMs whose daemons can be coordinators.

    Args:
        view: the view.
        now_s: the time on the daemon's monotonic clock.
        data_centre: if given, only VMs in this data centre are returned.

    Returns:
        The listed VMs that are not leaving and that sent a heartbeat, or were
        first listed, less than ``HEARTBEAT_TIMEOUT_S`` ago.
    """
    return tuple(
        vm
        for vm in view.vms
        if vm.state is states.MemberState.LIVE
        and (data_centre is None or vm.data_centre == data_centre)
        and now_s - _last_contact_s(view, vm.vm_id) < HEARTBEAT_TIMEOUT_S
    )


def reachable_vms(view: View, now_s: float) -> tuple[ids.VmId, ...]:
    """Return the VMs that can be reached, including those that are leaving.

    Args:
        view: the view.
        now_s: the time on the daemon's monotonic clock.

    Returns:
        The listed VMs whose last heartbeat arrived less than
        ``HEARTBEAT_TIMEOUT_S`` ago.
    """
    return tuple(
        vm.vm_id
        for vm in view.vms
        if (last := view.heartbeat_received.get(vm.vm_id)) is not None
        and now_s - last.at_s < HEARTBEAT_TIMEOUT_S
    )


def unconfirmed_leaving_marks(
    view: View,
) -> tuple[tuple[ids.RunnerId, ids.Incarnation], ...]:
    """Return the leaving marks of runners that the list shows as live."""
    return tuple(
        (runner.runner_id, runner.incarnation)
        for runner in view.listed.runners
        if runner.state is states.MemberState.LIVE
        and _is_marked(view.runner_marks.get(runner.runner_id), runner.incarnation)
    )


def _last_contact_s(view: View, vm_id: ids.VmId) -> float:
    since_s = view.listed_since_s[vm_id]
    last = view.heartbeat_received.get(vm_id)
    return since_s if last is None else max(since_s, last.at_s)


def _is_marked(mark: LeavingMark | None, incarnation: ids.Incarnation) -> bool:
    return mark is not None and mark.incarnation >= incarnation


def _update_mark(
    marks: dict[_Id, LeavingMark],
    entry_id: _Id,
    entry: fleet.Vm | fleet.Runner,
    now_s: float,
) -> None:
    mark = marks.get(entry_id)
    if entry.state is states.MemberState.LEAVING and not _is_marked(
        mark, entry.incarnation
    ):
        marks[entry_id] = LeavingMark(entry.incarnation, now_s)
    elif mark is not None:
        marks[entry_id] = LeavingMark(mark.incarnation, now_s)


def _without_expired(
    marks: dict[_Id, LeavingMark], now_s: float
) -> dict[_Id, LeavingMark]:
    return {
        entry_id: mark
        for entry_id, mark in marks.items()
        if now_s - mark.last_seen_s < MARK_RETENTION_S
    }


def _with_states(view: View) -> View:
    vms = tuple(_with_state(vm, _is_vm_leaving(view, vm)) for vm in view.listed.vms)
    runners = tuple(
        _with_state(
            runner,
            _is_marked(view.runner_marks.get(runner.runner_id), runner.incarnation),
        )
        for runner in view.listed.runners
    )
    return dataclasses.replace(view, vms=vms, runners=runners)


def _is_vm_leaving(view: View, vm: fleet.Vm) -> bool:
    last = view.heartbeat_received.get(vm.vm_id)
    if last is not None and last.is_leaving:
        return True
    return _is_marked(view.vm_marks.get(vm.vm_id), vm.incarnation)


def _with_state(entry: _Entry, is_leaving: bool) -> _Entry:
    if not is_leaving or entry.state is states.MemberState.LEAVING:
        return entry
    return dataclasses.replace(entry, state=states.MemberState.LEAVING)
