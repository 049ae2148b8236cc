"""An in-memory table service that injects faults into reads and writes.

It uses the event loop's clock and draws faults from a seeded generator, so a
run is reproducible.
"""

import asyncio
import dataclasses
import random

from result import Err, Ok

from lacewingdrum_state import rows
from lacewingdrum_transport import table_client

TIMEOUT_S = 0.5
LATENCY_MAX_S = 0.02
LATE_WRITE_MAX_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """The probability of each fault of a call.

    A write may be refused, dropped with its reply lost, applied with its reply
    lost, or applied late with its reply lost. At most one of these faults
    applies to a write.
    """

    refused: float = 0.0
    dropped: float = 0.0
    reply_lost: float = 0.0
    late: float = 0.0
    read_lost: float = 0.0


class FaultyTable:
    """Stores the rows; each daemon calls it through a ``Link``."""

    def __init__(self, rng: random.Random) -> None:
        self.faults = Faults()
        self.is_down = False
        self.rows: dict[rows.RowKey, rows.Row] = {}
        self.rng = rng

    def row(self, key: rows.RowKey) -> rows.Row:
        """Return the row of ``key``, with version 0 if it is absent."""
        return self.rows.get(key, rows.Row(key, 0, b""))

    def apply(self, write: rows.RowWrite) -> rows.WriteOutcome:
        """Apply a compare-and-set write and return its outcome."""
        row = self.row(write.row_key)
        if row.row_version != write.if_version:
            return rows.WriteOutcome(False, row)
        row = rows.Row(write.row_key, row.row_version + 1, write.value)
        self.rows[write.row_key] = row
        return rows.WriteOutcome(True, row)


class Link:
    """One daemon's client of the table; it can be partitioned or frozen."""

    def __init__(self, table: FaultyTable) -> None:
        self._table = table
        self.is_partitioned = False
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def write(
        self, writes: tuple[rows.RowWrite, ...]
    ) -> table_client.WriteResult:
        """Write rows, subject to the table's faults."""
        result = await self._write(writes)
        await self.thawed.wait()
        return result

    async def read(self, keys: tuple[rows.RowKey, ...]) -> table_client.RowsResult:
        """Read rows; an absent row has version 0."""
        error = await self._read_fault()
        await self.thawed.wait()
        if error is not None:
            return Err(error)
        return Ok(tuple(self._table.row(key) for key in keys))

    async def scan(self, table: str, prefix: str) -> table_client.RowsResult:
        """Read the rows of a table whose keys start with ``prefix``."""
        error = await self._read_fault()
        await self.thawed.wait()
        if error is not None:
            return Err(error)
        found = [
            row
            for key, row in self._table.rows.items()
            if key.table == table and key.key.startswith(prefix)
        ]
        return Ok(tuple(sorted(found, key=lambda row: row.row_key.key)))

    async def _write(
        self, writes: tuple[rows.RowWrite, ...]
    ) -> table_client.WriteResult:
        table = self._table
        await asyncio.sleep(table.rng.uniform(0.0, LATENCY_MAX_S))
        faults = table.faults
        draw = table.rng.random()
        if table.is_down or self.is_partitioned or draw < faults.refused:
            return Err(_error(table_client.TableErrorReason.NOT_APPLIED))
        draw -= faults.refused
        loop = asyncio.get_running_loop()
        if draw < faults.dropped:
            return await _lose_reply()
        draw -= faults.dropped
        if draw < faults.late:
            for write in writes:
                loop.call_later(
                    table.rng.uniform(0.0, LATE_WRITE_MAX_S), table.apply, write
                )
            return await _lose_reply()
        draw -= faults.late
        outcomes = tuple(table.apply(write) for write in writes)
        if draw < faults.reply_lost:
            return await _lose_reply()
        await asyncio.sleep(table.rng.uniform(0.0, LATENCY_MAX_S))
        return Ok(outcomes)

    async def _read_fault(self) -> table_client.TableError | None:
        table = self._table
        await asyncio.sleep(table.rng.uniform(0.0, LATENCY_MAX_S))
        if table.is_down or self.is_partitioned:
            return _error(table_client.TableErrorReason.NOT_APPLIED)
        if table.rng.random() < table.faults.read_lost:
            await asyncio.sleep(TIMEOUT_S)
            return _error(table_client.TableErrorReason.UNKNOWN)
        return None


async def _lose_reply() -> table_client.WriteResult:
    await asyncio.sleep(TIMEOUT_S)
    return Err(_error(table_client.TableErrorReason.UNKNOWN))


def _error(reason: table_client.TableErrorReason) -> table_client.TableError:
    return table_client.TableError(reason, "fault of the test")
