"""Divides the engines between daemons during a network partition.

A silent daemon may be partitioned and still send work to engines. While there
are silent daemons, each engine has an owner among the reachable and the silent
ones. A daemon prefers the engines that it or a reachable daemon owns, as long
as these have free capacity.
"""

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import ids


class EngineOwners:
    """Determines which engines a silent daemon is expected to use."""

    def __init__(self) -> None:
        self._reachable: frozenset[ids.VmId] = frozenset()
        self._silent: frozenset[ids.VmId] = frozenset()
        self._owned_by_silent_peer: dict[ids.RunnerId, bool] = {}

    def update(
        self, reachable: frozenset[ids.VmId], silent: frozenset[ids.VmId]
    ) -> None:
        """Set the present state of the daemons.

        Args:
            reachable: this daemon and those that it receives messages from.
            silent: those from which it received messages until recently.
        """
        if reachable != self._reachable or silent != self._silent:
            self._reachable, self._silent = reachable, silent
            self._owned_by_silent_peer.clear()

    def is_owned_by_silent_peer(self, runner_id: ids.RunnerId) -> bool:
        """Return whether a silent daemon owns the engine."""
        if not self._silent:
            return False
        is_owned = self._owned_by_silent_peer.get(runner_id)
        if is_owned is None:
            owner = coordinators.coordinator_of_runner(
                runner_id, (*self._reachable, *self._silent)
            )
            is_owned = self._owned_by_silent_peer[runner_id] = owner in self._silent
        return is_owned
