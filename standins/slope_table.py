"""Measures the table service's work for orders, documents and polls."""

import asyncio
import functools
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok

from lacewingdrum_coordination import documents as submissions, membership, orders
from lacewingdrum_daemon import document_sync, order_executor
from lacewingdrum_protocol import document_text, peer_messages, table_api
from lacewingdrum_state import fleet, ids, orders as order_rows
from lacewingdrum_transport import http_client, http_messages, table_client
from standins import slope_fit, slope_fleet, table

SIZES = (4, 16, 64)
POLLING_DURATION_S = 6.0
PATIENCE_S = 10.0
ADDRESS = fleet.Address("127.0.0.1", 9001)

Measured = slope_fit.Measured


class CountingTable:
    """Replaces the HTTP client of a table client; counts rows and calls."""

    def __init__(self) -> None:
        self.model = table.TableModel()
        self.call_count = 0
        self.write_count = 0
        self.read_count = 0
        self.body_bytes = 0

    async def request(
        self,
        address: fleet.Address,
        method: str,
        path: str,
        headers: http_messages.Headers,
        body: bytes,
        timeout_s: float,
    ) -> Ok[http_messages.HttpResponse] | Err[http_client.HttpClientError]:
        """Return the model's answer, after one iteration of the event loop."""
        await asyncio.sleep(0)
        self.call_count += 1
        answer = self._answer(path, body)
        self.body_bytes += len(body) + len(answer)
        return Ok(http_messages.HttpResponse(200, (), answer))

    def _answer(self, path: str, body: bytes) -> bytes:
        encode, decode = msgspec.json.encode, msgspec.json.decode
        if path == table_api.WRITE_PATH:
            call = decode(body, type=table_api.WriteCall)
            self.write_count += len(call.writes)
            return encode(self.model.write(call))
        if path == table_api.READ_PATH:
            read = decode(body, type=table_api.ReadCall)
            self.read_count += len(read.keys)
            return encode(self.model.read(read))
        scanned = self.model.scan(decode(body, type=table_api.ScanCall))
        self.read_count += len(scanned.rows)
        return encode(scanned)

    def reset(self) -> None:
        """Set all counts to zero."""
        self.call_count = self.write_count = self.read_count = 0
        self.body_bytes = 0

    def client(self) -> table_client.TableClient:
        """Return a table client that is connected to this table."""
        return table_client.TableClient(self, ADDRESS, 1.0)  # type: ignore[arg-type]


def table_costs(
    sizes: tuple[int, ...] = SIZES, polled_s: float = POLLING_DURATION_S
) -> list[Measured]:
    """Count the table's work for orders, documents and polls.

    Args:
        sizes: The numbers of orders, documents or services.
        polled_s: The time for which a daemon polls.

    Returns:
        The table's rows, calls and bytes.
    """
    poll = functools.partial(_poll, polled_s)
    measurements: list[Measured] = []
    for name, run, fields in (
        ("orders one after another", _orders_in_turn, COUNT_FIELDS),
        ("orders at once in one daemon", _orders_at_once, COUNT_FIELDS[2:3]),
        ("first versions submitted", _first_versions, COUNT_FIELDS),
        ("later versions submitted", _later_versions, COUNT_FIELDS),
        (f"polling for {polled_s:g} s, against services", poll, COUNT_FIELDS[1:]),
    ):
        tables_by_size = {size: asyncio.run(run(size)) for size in sizes}
        for label, unit, read in fields:
            points = tuple(
                slope_fit.Point(size, read(tables_by_size[size])) for size in sizes
            )
            measurements.append(Measured(f"{label}: {name}", unit, (points,)))
    return measurements


COUNT_FIELDS: tuple[tuple[str, str, Callable[[CountingTable], float]], ...] = (
    ("rows written", "rows", lambda counting_table: counting_table.write_count),
    ("rows read", "rows", lambda counting_table: counting_table.read_count),
    ("calls", "calls", lambda counting_table: counting_table.call_count),
    ("bytes of bodies", "bytes", lambda counting_table: counting_table.body_bytes),
)


async def _order(executor: order_executor.OrderExecutor, number: int) -> None:
    async def send() -> orders.SendOutcome:
        answer = order_rows.OrderAnswer(200, "application/json", b'{"done": true}')
        return orders.Answered(answer)

    order_id = order_rows.OrderId(
        ids.ServiceName("ledger"),
        ids.CustomerId("customer-0001"),
        ids.IdempotencyKey(f"key-{number:032x}"),
    )
    attempt_id = ids.new_attempt_id(ids.new_request_id(), 1)
    deadline_s = time.monotonic() + PATIENCE_S
    result = await executor.run(order_id, "0" * 64, attempt_id, deadline_s, send)
    assert isinstance(result, orders.Done), result


async def _orders_in_turn(size: int) -> CountingTable:
    counting_table = CountingTable()
    executor = order_executor.OrderExecutor(counting_table.client(), time.monotonic)
    for number in range(size):
        await _order(executor, number)
    await executor.close(PATIENCE_S)
    return counting_table


async def _orders_at_once(size: int) -> CountingTable:
    counting_table = CountingTable()
    executor = order_executor.OrderExecutor(counting_table.client(), time.monotonic)
    await asyncio.gather(*(_order(executor, number) for number in range(size)))
    await executor.close(PATIENCE_S)
    return counting_table


class _SingleDaemon:
    """Peers and members of the only daemon in a data centre."""

    def __init__(self) -> None:
        self.view = membership.merge(
            membership.View(), fleet.Members(slope_fleet.vms(1)), time.monotonic()
        )

    def on_message(self, body_type: type, handler: Callable[..., None]) -> None:
        """Ignore the handler, which is never called."""

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send nothing."""
        return True

    def broadcast(
        self, body: peer_messages.Body, data_centre: ids.DataCentre | None = None
    ) -> int:
        """Send nothing."""
        return 0


def _make_document_sync(counting_table: CountingTable) -> document_sync.DocumentSync:
    single_daemon: Any = _SingleDaemon()
    return document_sync.DocumentSync(
        counting_table.client(),
        single_daemon,
        document_text.parse,
        time.monotonic,
        vm_id=single_daemon.view.vms[0].vm_id,
        members=single_daemon,
        rng=random.Random(1),
    )


async def _submit(sync: document_sync.DocumentSync, name: str, base: int = 0) -> None:
    result = await sync.submit(
        ids.ServiceName(name),
        ids.DocumentVersion(base),
        ids.new_submission_id(),
        slope_fleet.document(10, name),
    )
    assert isinstance(result, submissions.Accepted), result


async def _first_versions(size: int) -> CountingTable:
    counting_table = CountingTable()
    sync = _make_document_sync(counting_table)
    for index in range(size):
        await _submit(sync, f"model-{index:02d}")
    return counting_table


async def _later_versions(size: int) -> CountingTable:
    counting_table = CountingTable()
    sync = _make_document_sync(counting_table)
    await _submit(sync, "model-00")
    counting_table.reset()
    for index in range(size):
        await _submit(sync, "model-00", index + 1)
    return counting_table


async def _poll(polled_s: float, size: int) -> CountingTable:
    """Return the counts of a daemon that polls documents it already has."""
    counting_table = CountingTable()
    sync = _make_document_sync(counting_table)
    for index in range(size):
        await _submit(sync, f"model-{index:02d}")
    counting_table.reset()
    sync.start()
    await asyncio.sleep(polled_s)
    await sync.close()
    return counting_table
