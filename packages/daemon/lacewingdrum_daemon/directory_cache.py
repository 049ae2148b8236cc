"""Keeps the callers' directory in step with the documents in force."""

from lacewingdrum_coordination import customer_limits, directory
from lacewingdrum_daemon import document_keeper
from lacewingdrum_protocol import peer_messages


class DirectoryCache:
    """Rebuilds the directory when a document version has changed.

    Args:
        keeper: has the documents in force.
        budget: is told each customer's limit.
    """

    def __init__(
        self,
        keeper: document_keeper.DocumentKeeper,
        budget: customer_limits.CustomerLimits,
    ) -> None:
        self._keeper = keeper
        self._budget = budget
        self._seen: tuple[peer_messages.DocumentVersionEntry, ...] = ()
        self._current = directory.EMPTY

    def current(self) -> directory.Directory:
        """Returns: the directory of the documents in force now."""
        digests = self._keeper.digests()
        if digests != self._seen:
            self._rebuild()
            self._seen = digests
        return self._current

    def _rebuild(self) -> None:
        parsed = (self._keeper.parsed(name) for name in self._keeper.services())
        self._current = directory.build(d for d in parsed if d is not None)
        for document in self._current.services.values():
            for customer in document.customers:
                self._budget.set_limits(document.service, customer)
