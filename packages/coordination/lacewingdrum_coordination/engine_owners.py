"""Divides engines between daemons that cannot hear each other.

While some daemons are silent they may be cut off, and at work. Each engine
then has an owner among all daemons that were heard lately; a daemon keeps to
those that it or a daemon it hears owns, as far as these have room.
"""

from lacewingdrum_coordination import homes
from lacewingdrum_state import ids


class EngineOwners:
    """Tells which engines a silent daemon would use."""

    def __init__(self) -> None:
        self._reachable: frozenset[ids.VmId] = frozenset()
        self._silent: frozenset[ids.VmId] = frozenset()
        self._owned_by_silent_peer: dict[ids.RunnerId, bool] = {}

    def update(
        self, reachable: frozenset[ids.VmId], silent: frozenset[ids.VmId]
    ) -> None:
        """Take the present state of the daemons.

        Args:
            heard: this daemon and those that it hears.
            silent: those that it heard lately, and no more.
        """
        if reachable != self._reachable or silent != self._silent:
            self._reachable, self._silent = reachable, silent
            self._owned_by_silent_peer.clear()

    def is_owned_by_silent_peer(self, runner_id: ids.RunnerId) -> bool:
        """Returns: whether a silent daemon owns the engine."""
        if not self._silent:
            return False
        is_owned = self._owned_by_silent_peer.get(runner_id)
        if is_owned is None:
            owner = homes.home_of_runner(runner_id, (*self._reachable, *self._silent))
            is_owned = self._owned_by_silent_peer[runner_id] = owner in self._silent
        return is_owned
