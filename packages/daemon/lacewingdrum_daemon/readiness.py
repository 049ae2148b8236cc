"""Whether this daemon takes requests now."""

from collections.abc import Callable


class Readiness:
    """Says whether this daemon takes requests now, and why not.

    Args:
        knows_fleet: whether the membership list was read.
        knows_documents: whether it has the documents in force.
        may_admit: whether they are fresh enough to admit by.
    """

    def __init__(
        self,
        knows_fleet: Callable[[], bool],
        knows_documents: Callable[[], bool],
        may_admit: Callable[[], bool],
    ) -> None:
        self._knows_fleet = knows_fleet
        self._knows_documents = knows_documents
        self._may_admit = may_admit
        self.is_leaving = False

    def not_ready_reason(self) -> str:
        """Returns: why the balancer must not send callers; empty if it may."""
        if self.is_leaving:
            return "leaving"
        return self.not_admitting_reason()

    def not_admitting_reason(self) -> str:
        """Returns: why nothing is admitted; empty if it is.

        A daemon that is leaving still takes what open connections bring,
        until the balancer has noticed.
        """
        if not self._knows_fleet():
            return "the membership list was not read yet"
        if not self._knows_documents():
            return "the documents in force are not known yet"
        if not self._may_admit():
            return "neither the table nor a peer confirms the documents"
        return ""
