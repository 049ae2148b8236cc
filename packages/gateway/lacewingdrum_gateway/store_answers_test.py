"""Tests of answers of the store that belong to another call."""

import asyncio
import json
import logging
import time

from lacewingdrum_coordination import store_deadlines
from lacewingdrum_gateway import store_client
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import store_versions
from lacewingdrum_transport import http_client_test
from standins import platform_site

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
