"""Client of the platform's table service, with group commit.

Writes requested in one iteration of the event loop are sent as one batch, so
that a burst of orders needs a single call. The client never retries a write:
its caller knows how to resolve an unknown outcome.
"""

import asyncio
import collections
import dataclasses
import enum

import msgspec
from result import Err, Ok, Result

from lacewingdrum_protocol import table_api
from lacewingdrum_state import decoding, fleet, rows
from lacewingdrum_transport import http_client, http_messages

BATCH_WRITES_MAX = 256
SCAN_ROWS_MAX = 10_000
JSON_HEADERS = (("Content-Type", "application/json"),)
# The service answers 503 only if nothing was applied.
STATUS_NOT_APPLIED = 503

_writes_decoder = msgspec.json.Decoder(table_api.WriteAnswer)
_rows_decoder = msgspec.json.Decoder(table_api.RowsAnswer)


class TableErrorReason(enum.Enum):
    """Why a call failed, and whether it may have been applied.

    ``NOT_APPLIED`` means that a write was not applied, and ``UNKNOWN`` that it
    may have been. ``MALFORMED`` means that the service rejected the call or
    that the answer to a read is invalid or may be incomplete.
    """

    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class TableError:
    """Why a call of the table service failed."""

    reason: TableErrorReason
    detail: str


WriteResult = Result[tuple[rows.WriteOutcome, ...], TableError]
RowsResult = Result[tuple[rows.Row, ...], TableError]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingWrites:
    writes: tuple[rows.RowWrite, ...]
    outcome: asyncio.Future[WriteResult]


class TableClient:
    """Reads and writes rows."""

    def __init__(
        self, http: http_client.HttpClient, address: fleet.Address, timeout_s: float
    ) -> None:
        self._http = http
        self._address = address
        self._timeout_s = timeout_s
        self._pending: collections.deque[_PendingWrites] = collections.deque()
        self._tasks: set[asyncio.Task[None]] = set()

    async def write(self, writes: tuple[rows.RowWrite, ...]) -> WriteResult:
        """Apply compare-and-set writes independently of each other.

        Args:
            writes: the rows to write.

        Returns:
            One outcome for each write, or an error that applies to all of
            them.
        """
        if not writes:
            return Ok(())
        loop = asyncio.get_running_loop()
        if not self._pending:
            loop.call_soon(self._flush)
        pending = _PendingWrites(writes, loop.create_future())
        self._pending.append(pending)
        return await pending.outcome

    async def read(self, keys: tuple[rows.RowKey, ...]) -> RowsResult:
        """Read rows.

        Args:
            keys: the keys of the rows.

        Returns:
            One row for each key; version 0 means that the row does not exist.
        """
        pairs = tuple((key.table, key.key) for key in keys)
        call = msgspec.json.encode(table_api.ReadCall(pairs))
        answer = await self._call_rows(table_api.READ_PATH, call)
        if isinstance(answer, Err):
            return answer
        if tuple(row.row_key for row in answer.ok_value) != keys:
            return _malformed("rows other than those asked for")
        return answer

    async def scan(self, table: str, prefix: str) -> RowsResult:
        """Read all rows of a table whose keys have a prefix.

        Args:
            table: the table's name.
            prefix: the prefix of the keys.

        Returns:
            The rows, ordered by key.
        """
        scan = table_api.ScanCall(table, prefix, SCAN_ROWS_MAX)
        call = msgspec.json.encode(scan)
        answer = await self._call_rows(table_api.SCAN_PATH, call)
        if isinstance(answer, Ok) and len(answer.ok_value) >= SCAN_ROWS_MAX:
            return _malformed(f"{SCAN_ROWS_MAX} rows or more below {table}/{prefix}")
        return answer

    async def close(self) -> None:
        """Cancel the calls in progress; their outcome is unknown."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _flush(self) -> None:
        while self._pending:
            batch: list[_PendingWrites] = []
            free_writes = BATCH_WRITES_MAX
            while self._pending and (
                not batch or len(self._pending[0].writes) <= free_writes
            ):
                free_writes -= len(self._pending[0].writes)
                batch.append(self._pending.popleft())
            task = asyncio.get_running_loop().create_task(self._commit(batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _commit(self, batch: list[_PendingWrites]) -> None:
        result: WriteResult = _unknown("the client was closed")
        try:
            writes = [write for pending in batch for write in pending.writes]
            result = await self._send_writes(writes)
        finally:
            _resolve(batch, result)

    async def _send_writes(self, writes: list[rows.RowWrite]) -> WriteResult:
        entries = tuple(_write_entry(write) for write in writes)
        call = msgspec.json.encode(table_api.WriteCall(entries))
        answer = await self._call(table_api.WRITE_PATH, call)
        if isinstance(answer, Err):
            return answer
        decoded = decoding.decode(_writes_decoder, answer.ok_value)
        if isinstance(decoded, Err):
            return _unknown(decoded.err_value)
        outcomes = tuple(
            rows.WriteOutcome(entry.applied, _row(entry.row))
            for entry in decoded.ok_value.results
        )
        answered_keys = [outcome.row.row_key for outcome in outcomes]
        if answered_keys != [write.row_key for write in writes]:
            return _unknown("outcomes of other writes than those sent")
        return Ok(outcomes)

    async def _call_rows(self, path: str, call: bytes) -> RowsResult:
        answer = await self._call(path, call)
        if isinstance(answer, Err):
            return answer
        decoded = decoding.decode(_rows_decoder, answer.ok_value)
        if isinstance(decoded, Err):
            return _malformed(decoded.err_value)
        return Ok(tuple(_row(entry) for entry in decoded.ok_value.rows))

    async def _call(self, path: str, call: bytes) -> Result[bytes, TableError]:
        answer = await self._http.request(
            self._address, "POST", path, JSON_HEADERS, call, self._timeout_s
        )
        if isinstance(answer, Err):
            return Err(_transport_error(answer.err_value))
        response = answer.ok_value
        if response.status == http_messages.STATUS_OK:
            return Ok(response.body)
        return Err(_status_error(response.status))


def _resolve(batch: list[_PendingWrites], result: WriteResult) -> None:
    position = 0
    for pending in batch:
        end = position + len(pending.writes)
        result_part = result
        if isinstance(result, Ok):
            result_part = Ok(result.ok_value[position:end])
        position = end
        if not pending.outcome.done():
            pending.outcome.set_result(result_part)


def _write_entry(write: rows.RowWrite) -> table_api.WriteEntry:
    key = write.row_key
    return table_api.WriteEntry(key.table, key.key, write.if_version, write.value)


def _row(entry: table_api.RowEntry) -> rows.Row:
    key = rows.RowKey(entry.table, entry.key)
    return rows.Row(key, entry.row_version, entry.value)


def _transport_error(error: http_client.HttpClientError) -> TableError:
    detail = f"{error.reason.value} {error.detail}"
    if error.may_have_been_sent:
        return TableError(TableErrorReason.UNKNOWN, detail)
    return TableError(TableErrorReason.NOT_APPLIED, detail)


def _status_error(status: int) -> TableError:
    detail = f"status {status}"
    if status == STATUS_NOT_APPLIED:
        return TableError(TableErrorReason.NOT_APPLIED, detail)
    if http_messages.is_client_error(status):
        return TableError(TableErrorReason.MALFORMED, detail)
    return TableError(TableErrorReason.UNKNOWN, detail)


def _unknown(detail: str) -> Err[TableError]:
    return Err(TableError(TableErrorReason.UNKNOWN, detail))


def _malformed(detail: str) -> Err[TableError]:
    return Err(TableError(TableErrorReason.MALFORMED, detail))
