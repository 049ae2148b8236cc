"""The homes of all runners, kept until the set of live VMs changes."""

from collections.abc import Iterable

from lacewingdrum_coordination import homes
from lacewingdrum_state import fleet, ids


class RunnerHomes:
    """Homes as one daemon sees them.

    Args:
        vm_id: this daemon's VM, which always counts as live.
        data_centre: where it is.
    """

    def __init__(self, vm_id: ids.VmId, data_centre: ids.DataCentre) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._near: dict[ids.DataCentre, tuple[ids.VmId, ...]] = {}
        self._all: tuple[ids.VmId, ...] = ()
        self._known: dict[tuple[ids.RunnerId, ids.DataCentre], ids.VmId | None] = {}
        self.set_live(())

    def set_live(self, live: Iterable[fleet.Vm]) -> None:
        """Take over the live VMs; homes are worked out anew if they differ."""
        found: dict[ids.DataCentre, set[ids.VmId]] = {self._data_centre: {self._vm_id}}
        for vm in live:
            found.setdefault(vm.data_centre, set()).add(vm.vm_id)
        near = {centre: tuple(sorted(vm_ids)) for centre, vm_ids in found.items()}
        if near == self._near:
            return
        self._near = near
        self._all = tuple(
            sorted({vm_id for vm_ids in found.values() for vm_id in vm_ids})
        )
        self._known.clear()

    def home_of(self, runner: fleet.Runner) -> ids.VmId | None:
        """Find a runner's home.

        Args:
            runner: the runner.

        Returns:
            A live VM of its data centre, or of any where that has none.
        """
        key = (runner.runner_id, runner.data_centre)
        if key not in self._known:
            candidates = self._near.get(runner.data_centre, self._all)
            self._known[key] = homes.home_of_runner(runner.runner_id, candidates)
        return self._known[key]
