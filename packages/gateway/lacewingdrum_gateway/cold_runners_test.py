"""Tests of runners that are cold."""

import asyncio
import time
import unittest.mock

import msgspec

from lacewingdrum_gateway import settings
from lacewingdrum_gateway.runners import cold_sync
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import ids
from standins import platform_site

MODEL = ids.ServiceName(platform_site.MODEL)
ASK = platform_site.prompt_headers(400)
# With the bounds below, 8 x 1.5 + 4 requests in any one second.
BOUND = 16
BOUNDS = settings.BoundsSettings(cold_overage=1.5, cold_slack=4.0)
# From when the runners' rows say it until all gateways know it.
CONTACT_S = 1.5
LEARNT_S = 2.5


def configuration(**cold):
    services = [
        {
            "name": platform_site.MODEL,
            "max_conns": 400,
            "engine": platform_site.ENGINE,
            **cold,
        },
        {"name": platform_site.LEDGER, "max_conns": 100},
    ]
    return platform_site.make_configuration(2, services=services)


async def configure(site, **cold):
    site.store.put_json("op", "config", configuration(**cold))
    await site.wait_until(
        lambda: all(
            running.daemon.components.configurations.table.configuration.version == 2
            for running in site.gateways
        )
    )
    await asyncio.sleep(LEARNT_S)


async def turn_cold(site, engines, left_ms):
    for engine in engines:
        engine.cold_left_ms = left_ms
        row = engine.entry(platform_site.MODEL)
        site.store.put_json("servers", engine.runner_id, row)
    await asyncio.sleep(CONTACT_S)


async def send_many(site, per_s, length_s):
    tasks = []
    end_s = time.monotonic() + length_s
    while time.monotonic() < end_s:
        running = site.gateways[len(tasks) % len(site.gateways)]
        call = site.call("/ask/x", f"n{time.monotonic()}", headers=ASK, on=running)
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(1 / per_s)
    return [(await task).status for task in tasks]


def most_in_a_second(runner, after_s):
    times_s = [item.arrived_s for item in runner.arrivals if item.arrived_s > after_s]
    return max(
        (sum(0 <= time_s - from_s <= 1.0 for time_s in times_s) for from_s in times_s),
        default=0,
    )


async def test_cold_engine_gets_no_more_than_its_bound_from_all_gateways():
    async with platform_site.running_site(gateways=3, engines=2, bounds=BOUNDS) as site:
        await configure(site, cold_s=60.0, cold_per_s=8.0)
        await turn_cold(site, site.engines, 60_000)
        start_s = time.monotonic()
        statuses = await send_many(site, 60.0, 4.0)
        for engine in site.engines:
            assert 4 <= most_in_a_second(engine, start_s) <= BOUND
        assert statuses.count(200) >= 40 and set(statuses) <= {200, 503}


async def test_warm_engine_is_used_while_another_one_is_cold_for_ever():
    async with platform_site.running_site(gateways=2, engines=2, bounds=BOUNDS) as site:
        await configure(site, cold_s=60.0, cold_per_s=8.0)
        await turn_cold(site, site.engines[:1], 10**11)
        start_s = time.monotonic()
        statuses = await send_many(site, 20.0, 2.0)
        assert statuses.count(200) == len(statuses)
        assert most_in_a_second(site.engines[0], start_s) <= BOUND


async def test_requests_that_connect_while_an_engine_turns_cold_need_a_token():
    async with platform_site.running_site(gateways=2, engines=1, bounds=BOUNDS) as site:
        await configure(site, cold_s=60.0, cold_per_s=8.0)
        first = site.gateways[0]
        client = first.daemon.components.runner_client
        connect, waiting, go_on = client._connect, [], asyncio.Event()

        async def connect_slowly(address, timeout_s):
            waiting.append(address)
            await go_on.wait()
            return await connect(address, timeout_s)

        client._connect = connect_slowly
        calls = [
            asyncio.ensure_future(
                site.call("/ask/x", f"c{number}", headers=ASK, on=first)
            )
            for number in range(60)
        ]
        await site.wait_until(lambda: len(waiting) > 2 * BOUND)
        await turn_cold(site, site.engines, 60_000)
        start_s = time.monotonic()
        go_on.set()
        statuses = {(await call).status for call in calls}
        assert most_in_a_second(site.engines[0], start_s) <= BOUND
        assert statuses <= {200, 503, 504}


async def test_runners_of_a_service_without_a_limit_are_never_cold():
    async with platform_site.running_site(gateways=2, engines=1) as site:
        await configure(site)
        await turn_cold(site, site.engines, 60_000)
        statuses = await send_many(site, 40.0, 1.0)
        assert statuses.count(200) == len(statuses)
        assert not site.gateways[0].daemon.components.cold_sync.limits.has_any


async def test_gateway_that_hears_nobody_forgets_runners_that_are_warm():
    async with platform_site.running_site(gateways=1, engines=1, bounds=BOUNDS) as site:
        await configure(site, cold_s=0.2, cold_per_s=8.0)
        site.store_path.stop_listening()
        site.store_path.reset()
        limits = site.gateways[0].daemon.components.cold_sync.limits
        (entry,) = site.gateways[0].daemon.components.roster.of_service(MODEL)
        limits.record_reached(entry, time.monotonic())
        assert limits.has_any
        await site.wait_until(lambda: not limits.has_any)


async def test_gateway_that_starts_learns_of_silent_ones_but_not_of_those_heard():
    async with platform_site.running_site(gateways=2, engines=1, bounds=BOUNDS) as site:
        await configure(site, cold_s=60.0, cold_per_s=8.0)
        first, second = (running.daemon.components for running in site.gateways)
        for number in range(400):
            silent = ids.VmId(f"10.9.{number // 200}.{number % 200}:7")
            north = ids.DataCentre("north")
            first.cold_sync._daemons.record_heard(silent, north, time.monotonic())
        with unittest.mock.patch.object(
            second.peers, "send", side_effect=second.peers.send
        ) as send:
            late = await site.add_gateway(("127.0.0.1:1",))
            daemons = late.daemon.components.cold_sync._daemons
            await site.wait_until(lambda: daemons.count == 3 + cold_sync.SILENT_MAX)
            named = [
                call.args[1]
                for call in send.call_args_list
                if isinstance(call.args[1], peer_messages.SilentDaemons)
            ]
        assert not named and not daemons.knows_all(time.monotonic() + 5.0)


async def test_gateway_that_starts_learns_cold_runners_while_the_store_is_away():
    async with platform_site.running_site(gateways=2, engines=2, bounds=BOUNDS) as site:
        await configure(site, cold_s=60.0, cold_per_s=8.0)
        await turn_cold(site, site.engines, 60_000)
        site.store_path.stop_listening()
        site.store_path.reset()
        late = await site.add_gateway(("127.0.0.1:1",))
        known = late.daemon.components.cold_sync.limits.runners
        await site.wait_until(lambda: len(known.all) == 2)


def test_list_of_a_build_without_cold_reports_is_read():
    push = peer_messages.RunnerListPush(1, 0, 1, 0)
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(push))
    older = msgspec.convert(raw[:-1], peer_messages.RunnerListPush)
    assert older == push and not older.cold
