"""Tests of requests on kept connections beside changes."""

import asyncio
import itertools
import time

from lacewingdrum_gateway.gateway_test import ASK, run_ids
from standins import platform_site, raw_caller

KINDS = ("order", "read", "ask")
CHANGE_INTERVAL_S = 0.2
STALL_S = 0.5
IDLE_LIMITS_MS = (15_000, 150)


def put_changes(site, idle_limits_ms=IDLE_LIMITS_MS[:1]):
    """Return a task that changes the configuration until it is cancelled."""

    async def change() -> None:
        limits = platform_site.make_configuration()["limits"]
        for version, idle_ms in enumerate(itertools.cycle(idle_limits_ms), 2):
            changed = platform_site.make_configuration(
                version, limits={**limits, "idle_timeout_ms": idle_ms}
            )
            site.store.put_json("op", "config", changed)
            await asyncio.sleep(CHANGE_INTERVAL_S)

    return asyncio.ensure_future(change())


async def call_often(site, kind: str, count: int, pause_s: float):
    """Return the attempt ids and answers of requests on one connection."""
    caller = raw_caller.KeptCaller(site)
    answers = []
    for number in range(count):
        attempt_id = f"{kind}-{number}"
        headers = ASK if kind == "ask" else ()
        answer = await caller.call(f"/{kind}/x", attempt_id, headers)
        answers.append((attempt_id, answer))
        await asyncio.sleep(pause_s)
    caller.close()
    return answers


async def test_requests_are_answered_when_the_loop_stalls_beside_changes():
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 0.05
        changes = put_changes(site)
        calls = [
            asyncio.ensure_future(call_often(site, kind, 12, 0.02)) for kind in KINDS
        ]
        for _ in range(3):
            await asyncio.sleep(CHANGE_INTERVAL_S)
            time.sleep(STALL_S)
        for call in calls:
            assert [one.status for _, one in await call] == [200] * 12
        changes.cancel()


async def test_request_that_crosses_a_change_of_the_idle_limit_is_not_cut():
    async with platform_site.running_site() as site:
        changes = put_changes(site, IDLE_LIMITS_MS)
        calls = [
            asyncio.ensure_future(call_often(site, kind, 15, 0.8 * 0.15))
            for kind in KINDS
        ]
        for call in calls:
            answers = await call
            assert any(answer.status == 200 for _, answer in answers)
            for attempt_id, answer in answers:
                was_passed_on = attempt_id in run_ids(site)
                assert answer.status == 200 or not was_passed_on, attempt_id
        changes.cancel()


async def test_order_in_progress_is_answered_when_its_route_is_dropped():
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 0.8
        caller = raw_caller.KeptCaller(site)
        call = asyncio.ensure_future(caller.call("/order/x", "o1"))
        await site.wait_until(lambda: run_ids(site) == ["o1"])
        read = platform_site.make_route("read", "idempotent", platform_site.LEDGER)
        changed = platform_site.make_configuration(2, routes=[read])
        site.store.put_json("op", "config", changed)
        await site.wait_until(lambda: site.gateways[0].daemon.configuration_version > 1)
        assert not call.done()
        assert (await call).status == 200
        assert (await caller.call("/order/x", "o2")).status == 404
        caller.close()
