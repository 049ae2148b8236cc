"""Determines whether this daemon accepts requests."""

from collections.abc import Callable


class Readiness:
    """Reports whether this daemon accepts requests, and if not, why.

    Args:
        knows_fleet: returns whether the membership list was read.
        knows_documents: returns whether this daemon has the documents in
            force.
        may_admit: returns whether the documents were confirmed recently
            enough to admit requests.
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
        """Return why the load balancer must not send requests to this daemon.

        The text is empty if the load balancer may send requests.
        """
        if self.is_leaving:
            return "leaving"
        return self.not_admitting_reason()

    def not_admitting_reason(self) -> str:
        """Return why no request is admitted; empty if requests are admitted.

        A leaving daemon still admits requests that arrive on open
        connections, until the load balancer has noticed that it is leaving.
        """
        if not self._knows_fleet():
            return "the membership list was not read yet"
        if not self._knows_documents():
            return "the documents in force are not known yet"
        if not self._may_admit():
            return "neither the table nor a peer confirms the documents"
        return ""
