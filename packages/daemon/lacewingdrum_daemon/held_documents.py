"""The document versions that this daemon holds, and those it has heard of."""

import logging
from collections.abc import Callable
from typing import Any

from lacewingdrum_coordination import document_versions
from lacewingdrum_protocol import document_messages, peer_messages
from lacewingdrum_runtime import decision_log
from lacewingdrum_state import documents as document_types, ids

Parse = Callable[[str], tuple[document_types.ServiceDocument | None, tuple[Any, ...]]]
_log = logging.getLogger(f"{decision_log.ROOT_LOGGER}.documents")


class HeldDocuments:
    """Holds the highest version of each service, and the one that is served.

    Args:
        parse: parses a document's text; returns None and the errors if it is
            invalid.
    """

    def __init__(self, parse: Parse) -> None:
        self._parse = parse
        self._entries: dict[ids.ServiceName, document_versions.Entry] = {}
        self._announced_versions: dict[ids.ServiceName, int] = {}

    @property
    def services(self) -> tuple[ids.ServiceName, ...]:
        """The services of which a version is held."""
        return tuple(self._entries)

    @property
    def lacks_announced_version(self) -> bool:
        """Whether a peer has a higher version than the one held."""
        return any(
            version > self.version_of(service)
            for service, version in self._announced_versions.items()
        )

    def get(self, service: ids.ServiceName) -> document_versions.Entry | None:
        """Return what is held and served of a service, or None."""
        return self._entries.get(service)

    def version_of(self, service: ids.ServiceName) -> ids.DocumentVersion:
        """Return the version of a service that is held, or 0."""
        entry = self._entries.get(service)
        return ids.DocumentVersion(0) if entry is None else entry.held.version

    def served(self) -> tuple[document_types.StoredDocument, ...]:
        """Return the versions in force."""
        return tuple(
            entry.served for entry in self._entries.values() if entry.served is not None
        )

    def adopt(self, stored: document_types.StoredDocument) -> bool:
        """Apply a version if it is newer than the held one.

        Returns:
            Whether it was newer and is not corrupt.
        """
        if stored.version <= self.version_of(stored.service):
            return False
        entry, change = document_versions.apply_version(
            self._entries.get(stored.service), stored, self._parse(stored.text)[0]
        )
        if entry is not None:
            self._entries[stored.service] = entry
        _log.info(
            "document version",
            extra={
                "event": f"document_{change.value}",
                "service": stored.service,
                "version": stored.version,
                "digest": stored.digest,
            },
        )
        return change is not document_versions.Change.CORRUPT

    def record_announced(
        self, digests: tuple[peer_messages.DocumentVersionEntry, ...]
    ) -> bool:
        """Record the versions that a peer has.

        Returns:
            Whether one of them is higher than the one held.
        """
        for digest in digests:
            service = ids.ServiceName(digest.service)
            self._announced_versions[service] = max(
                self._announced_versions.get(service, 0), digest.version
            )
        return any(
            digest.version > self.version_of(ids.ServiceName(digest.service))
            for digest in digests
        )

    def newer_than(
        self, digests: tuple[peer_messages.DocumentVersionEntry, ...]
    ) -> tuple[document_types.StoredDocument, ...]:
        """Return the versions held that are higher than those of a peer."""
        peer_versions = {digest.service: digest.version for digest in digests}
        return tuple(
            entry.held
            for service, entry in self._entries.items()
            if entry.held.version > peer_versions.get(service, 0)
        )

    def digests(self) -> tuple[peer_messages.DocumentVersionEntry, ...]:
        """Return the digests of the versions held."""
        return tuple(
            document_messages.heartbeat_entry(entry.held)
            for entry in self._entries.values()
        )
