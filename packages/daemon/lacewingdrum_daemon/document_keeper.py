"""Keeps the documents in force: the driver of the document decisions.

See ``coordination.documents`` for submitting and
``coordination.document_versions`` for what is held, served and polled.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from lacewingdrum_coordination import (
    coordinators,
    document_versions,
    documents,
    membership,
)
from lacewingdrum_daemon import (
    decision_log,
    document_store,
    members_keeper,
    peering,
    submitting,
    tables,
    tasks,
)
from lacewingdrum_protocol import document_messages, peer_messages
from lacewingdrum_state import documents as document_types, ids

TICK_S = 0.25

Parse = Callable[[str], tuple[document_types.ServiceDocument | None, tuple[Any, ...]]]
_log = logging.getLogger(f"{decision_log.ROOT_LOGGER}.documents")


class DocumentKeeper:
    """Submits documents, adopts accepted versions and passes them on."""

    def __init__(
        self,
        table: tables.Table,
        peers: peering.Peering,
        parse: Parse,
        clock: Callable[[], float],
        *,
        vm_id: ids.VmId,
        members: members_keeper.MembersKeeper,
        rng: random.Random,
    ) -> None:
        """Prepare to keep documents.

        Args:
            table: the platform's table service.
            peers: the other daemons.
            parse: reads a document's text; None where it has errors.
            clock: monotonic seconds.
            vm_id: this daemon's VM.
            members: the platform's list.
            rng: spreads the daemons' polls.
        """
        self._store = document_store.DocumentStore(table)
        self._peers = peers
        self._parse = parse
        self._clock = clock
        self._vm_id = vm_id
        self._members = members
        self._rng = rng
        self._tasks = tasks.TaskSet()
        self._entries: dict[ids.ServiceName, document_versions.Entry] = {}
        self._is_reachable = True
        self._named: dict[ids.ServiceName, int] = {}
        self._freshness = document_versions.Freshness(clock())

    def start(self) -> None:
        """Begin to poll the table and to listen to peers."""
        self._freshness = document_versions.Freshness(self._clock())
        self._peers.on(peer_messages.Heartbeat, self._on_heartbeat)
        self._peers.on(peer_messages.DocumentPush, self._on_push)
        self._peers.on(peer_messages.DocumentRequest, self._on_ask)
        self._tasks.spawn(self._poll_forever())

    async def close(self) -> None:
        """End the polling."""
        await self._tasks.close()

    def in_force(
        self, service: ids.ServiceName
    ) -> document_types.StoredDocument | None:
        """Args: service: its name. Returns: the version acted on here."""
        entry = self._entries.get(service)
        return None if entry is None else entry.served

    def parsed(self, service: ids.ServiceName) -> document_types.ServiceDocument | None:
        """Args: service: its name. Returns: ``in_force``, parsed."""
        entry = self._entries.get(service)
        return None if entry is None else entry.parsed

    def services(self) -> tuple[ids.ServiceName, ...]:
        """Returns: the services with a document in force."""
        return tuple(
            service
            for service, entry in self._entries.items()
            if entry.served is not None
        )

    def digests(self) -> tuple[peer_messages.DocumentVersionEntry, ...]:
        """Returns: what heartbeats say; nothing before this is ready."""
        if not self.ready():
            return ()
        served = (entry.served for entry in self._entries.values())
        return tuple(
            document_messages.heartbeat_entry(stored)
            for stored in served
            if stored is not None
        )

    def ready(self) -> bool:
        """Returns: whether this daemon knows the versions in force."""
        self._check_ready()
        return self._freshness.was_ready

    def _check_ready(self) -> None:
        self._freshness = document_versions.check_ready(
            self._freshness, self._clock(), self._misses_any()
        )

    def may_admit(self) -> bool:
        """Returns: whether the versions in force here are fresh enough."""
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
            service: whose document it is.
            base_version: the version that the operator has edited; 0 for
                none.
            submission_id: the same whenever the same submission is repeated.
            text: the document, which the caller has parsed.

        Returns:
            What became of it; ``Accepted`` only once that is confirmed.
        """
        submission = documents.new_submission(
            service, base_version, submission_id, text, self._clock()
        )
        result = await submitting.settle(self._store, submission, self._clock)
        match result:
            case documents.Accepted(stored):
                self._learn(stored)
                self._peers.broadcast(document_messages.push(stored))
            case documents.Conflict():
                return documents.Conflict(await self._newest(service))
        return result

    async def read_version(
        self, service: ids.ServiceName, version: ids.DocumentVersion
    ) -> document_types.StoredDocument | None:
        """Read any version from the table.

        Args:
            service: whose document it is.
            version: its number.

        Returns:
            The version, or None if there is none.

        Raises:
            ConnectionError: when the table gave no answer.
        """
        return await self._store.read_version(service, version)

    async def _newest(
        self, service: ids.ServiceName
    ) -> document_types.StoredDocument | None:
        """Returns: the highest version; what is held if the table is out."""
        try:
            await self._read_on((service,))
        except ConnectionError as error:
            self._note_reachable(False, str(error))
        entry = self._entries.get(service)
        return None if entry is None else entry.held

    def _learn(self, stored: document_types.StoredDocument) -> bool:
        """Returns: whether ``stored`` is newer than what was held."""
        if stored.version <= self._held_version(stored.service):
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

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self._poll_if_due()
            except Exception:
                # Without polls a version could be missed for good.
                _log.exception("document poll failed")
            await asyncio.sleep(TICK_S)

    async def _poll_if_due(self) -> None:
        if document_versions.poll_due(
            self._freshness, self._clock(), self._is_poller()
        ):
            await self._poll()

    async def _poll(self) -> None:
        asked_s = self._clock()
        self._freshness = document_versions.on_poll_started(
            self._freshness, asked_s, self._rng.random()
        )
        try:
            listed = await self._store.services()
            found = await self._read_on((*listed, *self._entries))
        except ConnectionError as error:
            self._note_reachable(False, str(error))
            return
        self._note_reachable(True, "")
        self._freshness = document_versions.on_table_read(self._freshness, asked_s)
        for stored in found:
            self._peers.broadcast(document_messages.push(stored), self._data_centre())

    def _note_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            words = "can be read again" if is_reachable else "cannot be read"
            _log.warning("document table %s %s", words, detail)

    async def _read_on(
        self, services: tuple[ids.ServiceName, ...]
    ) -> tuple[document_types.StoredDocument, ...]:
        """Read the versions after those held, and take them in.

        Returns:
            The highest version of each service that was newer.
        """
        held = {service: self._held_version(service) for service in services}
        newest = await self._store.read_after(held)
        return tuple(stored for stored in newest if self._learn(stored))

    def _held_version(self, service: ids.ServiceName) -> ids.DocumentVersion:
        entry = self._entries.get(service)
        return ids.DocumentVersion(0) if entry is None else entry.held.version

    def _on_heartbeat(self, sender: ids.VmId, body: peer_messages.Heartbeat) -> None:
        if not any(vm.vm_id == sender for vm in self._members.view.vms):
            return
        for digest in body.documents:
            service = ids.ServiceName(digest.service)
            self._named[service] = max(self._named.get(service, 0), digest.version)
        if any(self._misses(digest) for digest in body.documents):
            self._peers.send(
                sender, peer_messages.DocumentRequest(self._held_digests())
            )
        self._freshness = document_versions.on_peer_heartbeat(
            self._freshness, self._clock(), bool(body.documents)
        )

    def _on_push(self, sender: ids.VmId, body: peer_messages.DocumentPush) -> None:
        self._learn(document_messages.stored_document(body))

    def _on_ask(self, sender: ids.VmId, body: peer_messages.DocumentRequest) -> None:
        theirs = {digest.service: digest.version for digest in body.documents}
        for service, entry in self._entries.items():
            if entry.held.version > theirs.get(service, 0):
                self._peers.send(sender, document_messages.push(entry.held))

    def _held_digests(self) -> tuple[peer_messages.DocumentVersionEntry, ...]:
        return tuple(
            document_messages.heartbeat_entry(entry.held)
            for entry in self._entries.values()
        )

    def _misses(self, digest: peer_messages.DocumentVersionEntry) -> bool:
        return digest.version > self._held_version(ids.ServiceName(digest.service))

    def _misses_any(self) -> bool:
        return any(
            version > self._held_version(service)
            for service, version in self._named.items()
        )

    def _data_centre(self) -> ids.DataCentre | None:
        for vm in self._members.view.vms:
            if vm.vm_id == self._vm_id:
                return vm.data_centre
        return None

    def _is_poller(self) -> bool:
        """Returns: whether this daemon polls for its data centre."""
        near = membership.live_vms(
            self._members.view, self._clock(), self._data_centre()
        )
        poller = coordinators.pick_vm("documents", [vm.vm_id for vm in near])
        return poller in (self._vm_id, None)
