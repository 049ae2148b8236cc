"""Tests of the table client against a scripted service."""

import asyncio
import contextlib

import msgspec

from lacewingdrum_protocol import table_api
from lacewingdrum_state import fleet, rows
from lacewingdrum_transport import http_client, http_messages, http_server, table_client

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.05
Reason = table_client.TableErrorReason


def row_write(key, value=b"v"):
    return rows.RowWrite(rows.RowKey("orders", key), 0, value)


def applied(call):
    """Return an answer that reports every write of a batch as applied."""
    results = tuple(
        table_api.WriteResult(
            True, table_api.RowEntry(entry.table, entry.key, 1, entry.value)
        )
        for entry in call.writes
    )
    return table_api.WriteAnswer(results)


class Service:
    """Stores each batch; ``status`` and ``body`` override its answers."""

    def __init__(self):
        self.batches = []
        self.status = 200
        self.body = None

    async def __call__(self, request, responder):
        if request.path == table_api.WRITE_PATH:
            call = msgspec.json.decode(request.body, type=table_api.WriteCall)
            self.batches.append(call)
            body = msgspec.json.encode(applied(call))
        else:
            body = msgspec.json.encode(table_api.RowsAnswer(()))
        if self.status == 0:
            responder.abort()
            return
        body = body if self.body is None else self.body
        await responder.send(http_messages.HttpResponse(self.status, (), body))


@contextlib.asynccontextmanager
async def table(service, timeout_s=TIMEOUT_S):
    server = http_server.HttpServer(service)
    http = http_client.HttpClient()
    address = fleet.Address(HOST, await server.start(HOST, 0))
    client = table_client.TableClient(http, address, timeout_s)
    try:
        yield client
    finally:
        await client.close()
        await http.close()
        await server.close()


async def test_writes_of_one_loop_iteration_are_sent_as_one_batch():
    service = Service()
    async with table(service) as client:
        keys = [f"key-{number}" for number in range(50)]
        results = await asyncio.gather(
            *(client.write((row_write(key),)) for key in keys),
            client.write((row_write("a"), row_write("b"))),
        )
        assert len(service.batches) == 1
        for key, result in zip(keys, results, strict=False):
            (outcome,) = result.unwrap()
            assert outcome.applied and outcome.row.row_key.key == key
        assert [found.row.row_key.key for found in results[50].unwrap()] == ["a", "b"]
        assert (await client.write((row_write("c"),))).is_ok()
        assert len(service.batches) == 2
        assert (await client.write(())).unwrap() == ()


async def test_burst_above_the_batch_limit_is_split():
    service = Service()
    async with table(service) as client:
        count = table_client.BATCH_WRITES_MAX + 1
        calls = (client.write((row_write(str(number)),)) for number in range(count))
        results = await asyncio.gather(*calls)
        assert all(result.is_ok() for result in results)
        sizes = sorted(len(batch.writes) for batch in service.batches)
        assert sizes == [1, table_client.BATCH_WRITES_MAX]


async def test_error_reason_of_each_failed_write():
    other_writes = applied(
        table_api.WriteCall((table_api.WriteEntry("t", "k", 0, b""),))
    )
    cases = (
        (503, None, Reason.NOT_APPLIED),
        (500, None, Reason.UNKNOWN),
        (404, None, Reason.MALFORMED),
        (0, None, Reason.UNKNOWN),
        (200, b"nonsense", Reason.UNKNOWN),
        (200, b'{"results": []}', Reason.UNKNOWN),
        (200, msgspec.json.encode(other_writes), Reason.UNKNOWN),
    )
    service = Service()
    async with table(service) as client:
        for service.status, service.body, reason in cases:
            error = (await client.write((row_write("a"),))).unwrap_err()
            assert error.reason is reason, (service.status, service.body)


async def test_write_without_a_connection_is_not_applied():
    http = http_client.HttpClient()
    client = table_client.TableClient(http, fleet.Address(HOST, 1), TIMEOUT_S)
    error = (await client.write((row_write("a"),))).unwrap_err()
    assert error.reason is Reason.NOT_APPLIED


async def test_outcome_is_unknown_after_a_timeout_or_a_close():
    async def silent(request, responder):
        await responder.input_ended.wait()

    async with table(silent, SHORT_TIMEOUT_S) as client:
        error = (await client.write((row_write("a"),))).unwrap_err()
        assert error.reason is Reason.UNKNOWN
        pending = asyncio.create_task(client.write((row_write("a"),)))
        await asyncio.sleep(0.01)
        await client.close()
        assert (await pending).unwrap_err().reason is Reason.UNKNOWN


async def test_cancelled_write_does_not_affect_others_in_its_batch():
    service = Service()
    async with table(service) as client:
        first = asyncio.create_task(client.write((row_write("a"),)))
        second = asyncio.create_task(client.write((row_write("b"),)))
        await asyncio.sleep(0)
        first.cancel()
        (outcome,) = (await second).unwrap()
        assert outcome.row.row_key.key == "b"


async def test_read_answer_with_other_rows_is_malformed():
    service = Service()
    async with table(service) as client:
        key = rows.RowKey("orders", "a")
        assert (await client.read((key,))).unwrap_err().reason is Reason.MALFORMED
        found = table_api.RowEntry("orders", "a", 3, b"v")
        service.body = msgspec.json.encode(table_api.RowsAnswer((found,)))
        assert (await client.read((key,))).unwrap() == (rows.Row(key, 3, b"v"),)
        assert (await client.scan("orders", "")).unwrap() == (rows.Row(key, 3, b"v"),)
