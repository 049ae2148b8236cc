"""Reads and writes the history of documents in the platform's table.

Each version is an immutable row. Version numbers have no gaps: version n + 1
is written only after version n was read. Each service has an index row, which
is written before the first version, so that a poll finds the services without
reading their history.
"""

from collections.abc import Mapping

from result import Err, Ok

from lacewingdrum_coordination import documents
from lacewingdrum_daemon import tables
from lacewingdrum_protocol import row_codec
from lacewingdrum_state import documents as document_types, ids, rows

CATCH_UP_VERSIONS = 8


class DocumentStore:
    """Accesses the rows of all documents."""

    def __init__(self, table: tables.Table) -> None:
        self._table = table

    async def services(self) -> tuple[ids.ServiceName, ...]:
        """Return the names of all services that may have a document.

        Raises:
            ConnectionError: if the table does not answer.
        """
        match await self._table.scan(row_codec.DOCUMENT_INDEX_TABLE, ""):
            case Ok(found):
                return tuple(row_codec.service_of_index(row.row_key) for row in found)
            case Err(error):
                raise ConnectionError(error.detail)
        raise AssertionError

    async def read_version(
        self, service: ids.ServiceName, version: ids.DocumentVersion
    ) -> document_types.StoredDocument | None:
        """Read one version.

        Args:
            service: the service that the document describes.
            version: the version number.

        Returns:
            The version, or None if it is absent or cannot be decoded.

        Raises:
            ConnectionError: if the table does not answer.
        """
        (row,) = await self._read((row_codec.document_key(service, version),))
        return _decode_document(row)

    async def read_after(
        self, held: Mapping[ids.ServiceName, ids.DocumentVersion]
    ) -> tuple[document_types.StoredDocument, ...]:
        """Read the versions that follow the held ones.

        Args:
            held: the version of each service that is held; 0 for none.

        Returns:
            For each service with a later version, the highest one.

        Raises:
            ConnectionError: if the table does not answer.
        """
        newest: dict[ids.ServiceName, document_types.StoredDocument] = {}
        last_versions = dict(held)
        is_first_read = True
        while last_versions:
            versions_by_key = _versions_after(
                last_versions, catches_up=not is_first_read
            )
            found = await self._read(tuple(versions_by_key))
            is_first_read = False
            last_versions = {}
            for row in found:
                if row.row_version == 0:
                    continue
                # A row that cannot be decoded was written by a newer daemon.
                # Later rows may be decodable, so the search continues.
                service, version = versions_by_key[row.row_key]
                last_versions[service] = version
                stored = _decode_document(row)
                if stored is not None:
                    newest[service] = stored
        return tuple(newest.values())

    async def read_history(
        self, wanted: document_types.StoredDocument
    ) -> documents.HistoryRead | documents.HistoryReadFailed:
        """Read the rows that decide whether a version may be committed.

        For a first version, also writes the service's index row.

        Args:
            wanted: the version to commit; its base is the version before.

        Returns:
            What the history holds at the base and at the wanted version.
        """
        base = ids.DocumentVersion(wanted.version - 1)
        keys = (
            row_codec.document_key(wanted.service, base),
            row_codec.document_key(wanted.service, wanted.version),
        )
        try:
            base_row, following_row = await self._read(keys)
            if base == 0:
                await self._write_index(wanted.service)
        except ConnectionError as error:
            return documents.HistoryReadFailed(str(error))
        return documents.HistoryRead(
            base_exists=base == 0 or base_row.row_version > 0,
            following_exists=following_row.row_version > 0,
            following=_decode_document(following_row),
        )

    async def commit(
        self, stored: document_types.StoredDocument
    ) -> documents.CommitReply | documents.CommitFailed:
        """Write a version unless its row already exists.

        Returns:
            The table's reply, or the failure of the call.
        """
        key = row_codec.document_key(stored.service, stored.version)
        write = rows.RowWrite(key, 0, row_codec.encode(stored))
        match await self._table.write((write,)):
            case Ok((outcome,)):
                return documents.CommitReply(
                    outcome.applied, _decode_document(outcome.row)
                )
            case Err(error):
                may_have_applied = tables.may_have_applied(error)
                return documents.CommitFailed(may_have_applied, error.detail)
        return documents.CommitFailed(True, "no outcome")

    async def _write_index(self, service: ids.ServiceName) -> None:
        write = rows.RowWrite(row_codec.index_key(service), 0, service.encode())
        result = await self._table.write((write,))
        if isinstance(result, Err):
            raise ConnectionError(result.err_value.detail)

    async def _read(self, keys: tuple[rows.RowKey, ...]) -> tuple[rows.Row, ...]:
        match await self._table.read(keys):
            case Ok(found):
                return found
            case Err(error):
                raise ConnectionError(error.detail)
        raise AssertionError


def _versions_after(
    held: Mapping[ids.ServiceName, ids.DocumentVersion], catches_up: bool
) -> dict[rows.RowKey, tuple[ids.ServiceName, ids.DocumentVersion]]:
    """Map the row keys to read to their versions, in version order."""
    versions_by_key = {}
    for service, version in held.items():
        version_count = CATCH_UP_VERSIONS if catches_up or version == 0 else 1
        for offset in range(1, version_count + 1):
            next_version = ids.DocumentVersion(version + offset)
            versions_by_key[row_codec.document_key(service, next_version)] = (
                service,
                next_version,
            )
    return versions_by_key


def _decode_document(row: rows.Row) -> document_types.StoredDocument | None:
    stored = row_codec.decode_document(row.value).ok()
    if stored is None:
        return None
    key = row_codec.document_key(stored.service, stored.version)
    return stored if key == row.row_key else None
