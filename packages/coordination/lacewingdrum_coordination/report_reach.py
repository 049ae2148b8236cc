"""Decides which daemons of a large fleet hear of each other's work.

Usually the daemons of a data centre use its engines and tell only each other
of their work there. While a data centre is evacuated, its daemons use the
engines of the others, so all daemons have to know the work of all engines.
"""

from lacewingdrum_coordination import evacuation_register

# Work that was begun meanwhile ends within this time, and is reported to all
# daemons until then.
KEPT_S = 20.0


class ReportReach:
    """Says whether work is reported to the daemons of all data centres.

    Args:
        evacuations: the data centres that are evacuated.
    """

    def __init__(self, evacuations: evacuation_register.EvacuationRegister) -> None:
        self._evacuations = evacuations
        self._evacuated_s = float("-inf")

    def is_fleet_wide(self, now_s: float) -> bool:
        """Return whether all daemons are told of work."""
        if self._evacuations.active:
            self._evacuated_s = now_s
        return now_s - self._evacuated_s < KEPT_S
