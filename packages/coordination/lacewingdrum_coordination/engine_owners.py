"""Divides engines between daemons that cannot hear each other.

While some daemons are silent they may be cut off, and at work. Each engine
then has an owner among all daemons that were heard lately; a daemon keeps to
those that it or a daemon it hears owns, as far as these have room.
"""

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import ids


class EngineOwners:
    """Tells which engines a silent daemon would use."""

    def __init__(self) -> None:
        self._heard: frozenset[ids.VmId] = frozenset()
        self._silent: frozenset[ids.VmId] = frozenset()
        self._foreign: dict[ids.RunnerId, bool] = {}

    def update(self, heard: frozenset[ids.VmId], silent: frozenset[ids.VmId]) -> None:
        """Take the present state of the daemons.

        Args:
            heard: this daemon and those that it hears.
            silent: those that it heard lately, and no more.
        """
        if heard != self._heard or silent != self._silent:
            self._heard, self._silent = heard, silent
            self._foreign.clear()

    def is_foreign(self, runner_id: ids.RunnerId) -> bool:
        """Returns: whether a silent daemon owns the engine."""
        if not self._silent:
            return False
        known = self._foreign.get(runner_id)
        if known is None:
            owner = coordinators.coordinator_of_runner(
                runner_id, (*self._heard, *self._silent)
            )
            known = self._foreign[runner_id] = owner in self._silent
        return known
