"""Caches the runners' coordinators until the set of live VMs changes."""

from collections.abc import Iterable

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import fleet, ids


class RunnerCoordinators:
    """The runners' coordinators, computed from one daemon's view.

    Args:
        vm_id: this daemon's VM, which always counts as live.
        data_centre: this daemon's data centre.
    """

    def __init__(self, vm_id: ids.VmId, data_centre: ids.DataCentre) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._vms_by_data_centre: dict[ids.DataCentre, tuple[ids.VmId, ...]] = {}
        self._all_vms: tuple[ids.VmId, ...] = ()
        self._coordinators: dict[
            tuple[ids.RunnerId, ids.DataCentre], ids.VmId | None
        ] = {}
        self.set_live_vms(())

    def set_live_vms(self, live_vms: Iterable[fleet.Vm]) -> None:
        """Set the live VMs, and clear the cache if they changed."""
        ids_by_data_centre: dict[ids.DataCentre, set[ids.VmId]] = {
            self._data_centre: {self._vm_id}
        }
        for vm in live_vms:
            ids_by_data_centre.setdefault(vm.data_centre, set()).add(vm.vm_id)
        vms_by_data_centre = {
            data_centre: tuple(sorted(vm_ids))
            for data_centre, vm_ids in ids_by_data_centre.items()
        }
        if vms_by_data_centre == self._vms_by_data_centre:
            return
        self._vms_by_data_centre = vms_by_data_centre
        self._all_vms = tuple(
            sorted(
                {vm_id for vm_ids in ids_by_data_centre.values() for vm_id in vm_ids}
            )
        )
        self._coordinators.clear()

    def coordinator_of(self, runner: fleet.Runner) -> ids.VmId | None:
        """Return the VM whose daemon coordinates a runner.

        Args:
            runner: the runner.

        Returns:
            A live VM of the runner's data centre, or any live VM if that
            data centre has none.
        """
        key = (runner.runner_id, runner.data_centre)
        if key not in self._coordinators:
            candidates = self._vms_by_data_centre.get(runner.data_centre, self._all_vms)
            self._coordinators[key] = coordinators.coordinator_of_runner(
                runner.runner_id, candidates
            )
        return self._coordinators[key]
