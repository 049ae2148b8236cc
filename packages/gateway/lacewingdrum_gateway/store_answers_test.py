"""Tests of answers of the store that belong to another call."""

import asyncio
import json
import logging
import time

from lacewingdrum_coordination import store_deadlines
from lacewingdrum_gateway import store_client
from lacewingdrum_platform import store_calls
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import store_versions
from lacewingdrum_transport import http_client_test
from standins import loop_turns, platform_site

CALLS = 12
CALL_INTERVAL_S = 0.1
EMPTY = b'{"rows":[],"ver":1}'
EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(EMPTY), EMPTY)


async def test_answer_to_another_call_does_not_empty_the_list_of_runners():
    async with platform_site.running_site() as site:
        written = json.dumps({"ver": site.store.version, "now_ms": 0}).encode()
        read_rows = site.store._list_rows
        for answer in (written, read_rows({"table": "op"})):
            site.store._list_rows = lambda query, answer=answer: answer
            for number in range(CALLS):
                called = await site.call("/read/x", f"r{number}")
                assert called.status == 200, (answer[:40], number)
                await asyncio.sleep(CALL_INTERVAL_S)


async def test_feed_shares_no_connection_with_reads_of_a_table():
    async with http_client_test.RawServer(EMPTY_ANSWER, EMPTY_ANSWER) as server:
        decisions = decision_log.DecisionLog(logging.getLogger("store"), time.time)
        client = store_client.StoreClient(
            server.address,
            store_deadlines.StoreDeadlines(2.0),
            time.monotonic,
            decisions,
            metrics.Metrics(),
        )
        version = store_versions.StoreVersion(0, 1)
        assert (await client.follow("servers", version, 0.0)).is_ok()
        assert (await client.read("servers")).is_ok()
        assert server.connection_count == 2
        await client.close()


async def check_rows_do_not_hold_the_loop(row: bytes, row_count: int) -> None:
    body = b'{"rows":[' + b",".join([row] * row_count) + b'],"ver":1}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    async with http_client_test.RawServer(head + body) as server:
        decisions = decision_log.DecisionLog(logging.getLogger("store"), time.time)
        client = store_client.StoreClient(
            server.address, time.monotonic, decisions, metrics.Metrics()
        )
        async with loop_turns.measured() as longest:
            read = await client.read("servers")
        await client.close()
    is_too_long = row_count > store_calls.ROWS_MAX
    assert read.is_err() if is_too_long else len(read.unwrap().rows) in (0, row_count)
    assert longest.worked_ms <= loop_turns.TURN_MAX_MS, longest.worked_ms


async def test_many_rows_do_not_hold_the_loop():
    row = b'{"key":"k","ver":1,"value":"YQ=="}'
    await check_rows_do_not_hold_the_loop(row, 30_000)


async def test_many_unreadable_rows_do_not_hold_the_loop():
    await check_rows_do_not_hold_the_loop(b"{}", 30_000)


async def test_rows_without_number_do_not_hold_the_loop():
    await check_rows_do_not_hold_the_loop(b"{}", 2_000_000)
