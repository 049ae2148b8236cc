"""Synchronizes service documents with the platform's table and with peers.

The decisions are made in ``coordination.documents`` (submission) and
``coordination.document_versions`` (which version is held or served, and when
the table is polled). This module carries them out.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from lacewingdrum_coordination import (
    coordinators,
    document_versions,
    documents,
    membership,
)
from lacewingdrum_daemon import (
    document_store,
    held_documents,
    membership_sync,
    peering,
    submissions,
    tables,
)
from lacewingdrum_protocol import document_messages, peer_messages
from lacewingdrum_runtime import decision_log, tasks
from lacewingdrum_state import documents as document_types, ids

POLL_CHECK_INTERVAL_S = 0.25

_log = logging.getLogger(f"{decision_log.ROOT_LOGGER}.documents")


class DocumentSync:
    """Submits documents, adopts accepted versions and sends them to peers."""

    def __init__(
        self,
        table: tables.Table,
        peers: peering.Peering,
        parse: held_documents.Parse,
        clock: Callable[[], float],
        *,
        vm_id: ids.VmId,
        members: membership_sync.MembershipSync,
        rng: random.Random,
    ) -> None:
        """Create the sync; ``start`` begins the polling.

        Args:
            table: the platform's table service.
            peers: the connections to the other daemons.
            parse: parses a document's text; returns None and the errors if
                it is invalid.
            clock: monotonic seconds.
            vm_id: this daemon's VM.
            members: the membership list.
            rng: source of the jitter between the daemons' polls.
        """
        self._store = document_store.DocumentStore(table)
        self._peers = peers
        self._held = held_documents.HeldDocuments(parse)
        self._clock = clock
        self._vm_id = vm_id
        self._members = members
        self._rng = rng
        self._tasks = tasks.TaskSet()
        self._is_reachable = True
        self._freshness = document_versions.Freshness(clock())

    def start(self) -> None:
        """Start polling the table and handling messages from peers."""
        self._freshness = document_versions.Freshness(self._clock())
        self._peers.on_message(peer_messages.Heartbeat, self._on_heartbeat)
        self._peers.on_message(peer_messages.DocumentPush, self._on_document_push)
        self._peers.on_message(peer_messages.DocumentRequest, self._on_document_request)
        self._tasks.spawn(self._poll_forever())

    async def close(self) -> None:
        """Stop polling."""
        await self._tasks.close()

    def in_force(
        self, service: ids.ServiceName
    ) -> document_types.StoredDocument | None:
        """Return the document version of a service that is in force here."""
        entry = self._held.get(service)
        return None if entry is None else entry.served

    def parsed(self, service: ids.ServiceName) -> document_types.ServiceDocument | None:
        """Return the parsed form of the version that ``in_force`` returns."""
        entry = self._held.get(service)
        return None if entry is None else entry.parsed

    def services(self) -> tuple[ids.ServiceName, ...]:
        """Return the services that have a document in force."""
        return tuple(stored.service for stored in self._held.served())

    def digests(self) -> tuple[peer_messages.DocumentVersionEntry, ...]:
        """Return the digests to send in heartbeats; none until ready."""
        if not self.ready():
            return ()
        return tuple(map(document_messages.heartbeat_entry, self._held.served()))

    def ready(self) -> bool:
        """Return whether this daemon knows the versions in force."""
        self._check_ready()
        return self._freshness.was_ready

    def _check_ready(self) -> None:
        self._freshness = document_versions.check_ready(
            self._freshness, self._clock(), self._held.lacks_announced_version
        )

    def may_admit(self) -> bool:
        """Return whether the versions served here are recent enough."""
        self._check_ready()
        return document_versions.may_admit(self._freshness, self._clock())

    async def submit(
        self,
        service: ids.ServiceName,
        base_version: ids.DocumentVersion,
        submission_id: ids.SubmissionId,
        text: str,
    ) -> documents.SubmitResult:
        """Submit ``text`` as the version after ``base_version``.

        Args:
            service: the service that the document describes.
            base_version: the version that the operator edited; 0 for none.
            submission_id: identifies the submission; a retry uses the same
                id.
            text: the document's text, already validated by the caller.

        Returns:
            The outcome; ``Accepted`` only after the commit is confirmed.
        """
        submission = documents.new_submission(
            service, base_version, submission_id, text, self._clock()
        )
        result = await submissions.resolve(self._store, submission, self._clock)
        match result:
            case documents.Accepted(stored):
                self._held.adopt(stored)
                self._peers.broadcast(document_messages.push(stored))
            case documents.Conflict():
                return documents.Conflict(await self._read_newest(service))
        return result

    async def read_version(
        self, service: ids.ServiceName, version: ids.DocumentVersion
    ) -> document_types.StoredDocument | None:
        """Read any version from the table.

        Args:
            service: the service that the document describes.
            version: the version number.

        Returns:
            The version, or None if it does not exist.

        Raises:
            ConnectionError: if the table does not answer.
        """
        return await self._store.read_version(service, version)

    async def _read_newest(
        self, service: ids.ServiceName
    ) -> document_types.StoredDocument | None:
        """Return the highest version; the held one if the table is down."""
        try:
            await self._read_newer((service,))
        except ConnectionError as error:
            self._set_reachable(False, str(error))
        entry = self._held.get(service)
        return None if entry is None else entry.held

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self._poll_if_due()
            except Exception:
                # Without polls, this daemon could miss a version permanently.
                _log.exception("document poll failed")
            await asyncio.sleep(POLL_CHECK_INTERVAL_S)

    async def _poll_if_due(self) -> None:
        if document_versions.poll_due(
            self._freshness, self._clock(), self._is_poller()
        ):
            await self._poll()

    async def _poll(self) -> None:
        poll_start_s = self._clock()
        self._freshness = document_versions.on_poll_started(
            self._freshness, poll_start_s, self._rng.random()
        )
        try:
            table_services = await self._store.services()
            adopted = await self._read_newer((*table_services, *self._held.services))
        except ConnectionError as error:
            self._set_reachable(False, str(error))
            return
        self._set_reachable(True, "")
        self._freshness = document_versions.on_table_read(self._freshness, poll_start_s)
        for stored in adopted:
            self._peers.broadcast(document_messages.push(stored), self._data_centre())

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            state_text = "can be read again" if is_reachable else "cannot be read:"
            _log.warning("document table %s %s", state_text, detail)

    async def _read_newer(
        self, services: tuple[ids.ServiceName, ...]
    ) -> tuple[document_types.StoredDocument, ...]:
        """Read and apply the versions that follow those held.

        Returns:
            For each service with a newer version, the highest one.
        """
        held = {service: self._held.version_of(service) for service in services}
        newest = await self._store.read_after(held)
        return tuple(stored for stored in newest if self._held.adopt(stored))

    def _on_heartbeat(self, sender: ids.VmId, body: peer_messages.Heartbeat) -> None:
        if not any(vm.vm_id == sender for vm in self._members.view.vms):
            return
        if self._held.record_announced(body.documents):
            self._peers.send(
                sender, peer_messages.DocumentRequest(self._held.digests())
            )
        self._freshness = document_versions.on_peer_heartbeat(
            self._freshness, self._clock(), bool(body.documents)
        )

    def _on_document_push(
        self, sender: ids.VmId, body: peer_messages.DocumentPush
    ) -> None:
        self._held.adopt(document_messages.stored_document(body))

    def _on_document_request(
        self, sender: ids.VmId, body: peer_messages.DocumentRequest
    ) -> None:
        for stored in self._held.newer_than(body.documents):
            self._peers.send(sender, document_messages.push(stored))

    def _data_centre(self) -> ids.DataCentre | None:
        for vm in self._members.view.vms:
            if vm.vm_id == self._vm_id:
                return vm.data_centre
        return None

    def _is_poller(self) -> bool:
        """Return whether this daemon polls for its data centre."""
        local_vms = membership.live_vms(
            self._members.view, self._clock(), self._data_centre()
        )
        poller = coordinators.pick_vm("documents", [vm.vm_id for vm in local_vms])
        return poller in (self._vm_id, None)
