"""Caches the directory that is built from the documents in force.

The directory finds the service of a model, the customer of a credential and
the document of a service.
"""

from lacewingdrum_coordination import customer_limits, directory
from lacewingdrum_daemon import document_sync
from lacewingdrum_protocol import peer_messages


class DirectoryCache:
    """Rebuilds the directory when a document in force has changed.

    Args:
        documents: provides the documents in force.
        daemon_limits: receives each customer's limits.
    """

    def __init__(
        self,
        documents: document_sync.DocumentSync,
        daemon_limits: customer_limits.CustomerLimits,
    ) -> None:
        self._documents = documents
        self._daemon_limits = daemon_limits
        self._digests: tuple[peer_messages.DocumentVersionEntry, ...] = ()
        self._current = directory.EMPTY

    def current(self) -> directory.Directory:
        """Return the directory of the documents that are in force now."""
        digests = self._documents.digests()
        if digests != self._digests:
            self._rebuild()
            self._digests = digests
        return self._current

    def _rebuild(self) -> None:
        parsed = (self._documents.parsed(name) for name in self._documents.services())
        self._current = directory.build(d for d in parsed if d is not None)
        for document in self._current.services.values():
            for customer in document.customers:
                self._daemon_limits.set_limits(document.service, customer)
