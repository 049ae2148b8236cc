import asyncio
import contextlib
import logging
import time

from lacewingdrum_coordination import store_deadlines
from lacewingdrum_gateway import store_client
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import fleet
from standins import fault_proxy, platform_store

DEADLINES = store_deadlines.StoreDeadlines(2.0)
LONG_WAIT_S = 10.0
SLOW_S = 0.7


async def test_waiting_feed_is_replaced_when_another_call_finds_silence():
    async with running_store() as (store, path, client):
        rows = (await client.read("op")).ok_value
        feed = asyncio.ensure_future(client.follow("op", rows.version, LONG_WAIT_S))
        await asyncio.sleep(0.1)
        path.silence(fault_proxy.PathFault.NONE)
        store.put("op", "config", b"2")
        async with asyncio.timeout(2 * DEADLINES.answer_s):
            assert (await client.read("servers")).is_ok()
            changed = await feed
        assert [row.value for row in changed.ok_value.rows] == [b"2"]


async def test_waiting_feed_is_replaced_when_another_call_is_reset():
    async with running_store() as (store, path, client):
        rows = (await client.read("op")).ok_value
        feed = asyncio.ensure_future(client.follow("op", rows.version, LONG_WAIT_S))
        await asyncio.sleep(0.1)
        path.silence(fault_proxy.PathFault.NONE)
        store.put("op", "config", b"2")
        read = asyncio.ensure_future(client.read("servers"))
        await asyncio.sleep(0.1)
        path.reset()
        async with asyncio.timeout(0.5 * DEADLINES.answer_s):
            assert (await read).is_ok() and (await feed).is_ok()


async def test_silent_feed_is_noticed_by_its_own_deadline():
    async with running_store() as (store, path, client):
        rows = (await client.read("op")).ok_value
        wait_s = DEADLINES.feed_wait_s(False)
        feed = asyncio.ensure_future(client.follow("op", rows.version, wait_s))
        await asyncio.sleep(0.1)
        path.silence(fault_proxy.PathFault.NONE)
        store.put("op", "config", b"2")
        async with asyncio.timeout(wait_s + 1.5 * DEADLINES.answer_s):
            changed = await feed
        assert [row.value for row in changed.ok_value.rows] == [b"2"]


async def test_connections_to_a_slow_store_are_replaced_once_at_the_most():
    async with running_store() as (store, _, client):
        assert (await client.read("op")).is_ok()
        store.delay_s = SLOW_S
        for _ in range(4):
            assert (await client.read("op")).is_ok()
        assert store.call_count <= 6


async def test_call_that_fails_on_new_connections_is_not_made_again():
    async with running_store() as (store, _, client):
        store.mode = platform_store.StoreMode.RESET
        assert (await client.read("op")).is_err()
        assert store.call_count == 1


@contextlib.asynccontextmanager
async def running_store():
    """Yield a store, the path to it and a client."""
    store = platform_store.PlatformStore()
    path = fault_proxy.FaultProxy(await store.start())
    await path.start()
    decisions = decision_log.DecisionLog(logging.getLogger("store"), time.time)
    client = store_client.StoreClient(
        fleet.Address("127.0.0.1", path.port),
        DEADLINES,
        time.monotonic,
        decisions,
        metrics.Metrics(),
    )
    try:
        yield store, path, client
    finally:
        await client.close()
        await path.close()
        await store.close()
