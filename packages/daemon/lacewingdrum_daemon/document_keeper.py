"""Keeps the documents in force: the driver of ``coordination.documents``."""

import random
import typing
from collections.abc import Callable

from lacewingdrum_coordination import documents
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import documents as document_types, ids

if typing.TYPE_CHECKING:
    from lacewingdrum_daemon import members_keeper, peering
    from lacewingdrum_transport import table_client

Parse = Callable[
    [str], tuple[document_types.ServiceDocument | None, tuple[typing.Any, ...]]
]


class DocumentKeeper:
    """Submits documents, adopts accepted versions and passes them on."""

    def __init__(
        self,
        table: "table_client.TableClient",
        peers: "peering.Peering",
        parse: Parse,
        clock: Callable[[], float],
        *,
        vm_id: ids.VmId,
        members: "members_keeper.MembersKeeper",
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self._peers = peers
        self._parse = parse
        self._clock = clock
        self._vm_id = vm_id
        self._members = members
        self._rng = rng or random.Random()

    def start(self) -> None:
        """Begin to poll the table and to listen to peers."""

    async def close(self) -> None:
        """End the polling."""

    def in_force(
        self, service: ids.ServiceName
    ) -> document_types.StoredDocument | None:
        """Returns: the version that this daemon acts on."""
        raise NotImplementedError

    def parsed(self, service: ids.ServiceName) -> document_types.ServiceDocument | None:
        """Returns: the document of ``in_force``, parsed."""
        raise NotImplementedError

    def services(self) -> tuple[ids.ServiceName, ...]:
        """Returns: the services with a document in force."""
        raise NotImplementedError

    def digests(self) -> tuple[peer_messages.Digest, ...]:
        """Returns: what heartbeats say of the documents in force."""
        raise NotImplementedError

    def ready(self) -> bool:
        """Returns: whether this daemon knows the versions in force."""
        raise NotImplementedError

    def may_admit(self) -> bool:
        """Returns: whether its versions are known to be fresh enough."""
        raise NotImplementedError

    async def submit(
        self,
        service: ids.ServiceName,
        base_version: ids.DocumentVersion,
        submission_id: ids.SubmissionId,
        text: str,
    ) -> documents.SubmitResult:
        """Submit ``text`` as the version after ``base_version``."""
        raise NotImplementedError
