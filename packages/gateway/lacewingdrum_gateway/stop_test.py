"""Tests of a planned stop while requests are in progress."""

import asyncio

from lacewingdrum_gateway.gateway_test import ASK, EVENTS, run_ids
from standins import platform_site


async def test_planned_stop_finishes_streams_and_answers_with_close():
    async with platform_site.running_site(gateways=2) as site:
        for runner in site.engines:
            runner.event_interval_s = 0.3
        stopping = site.gateways[0]
        call = asyncio.ensure_future(site.call("/ask/x", "a1", headers=ASK))
        await site.wait_until(lambda: any(one.working_count for one in site.engines))
        draining = asyncio.ensure_future(stopping.daemon.drain())
        await asyncio.sleep(0.05)
        assert not stopping.daemon.is_ready
        late = await site.call("/read/x", "r1")
        assert late.status == 200
        assert (await call).body == EVENTS
        assert await draining == 0


async def test_stopping_gateway_refuses_streams_that_it_would_abort():
    async with platform_site.running_site() as site:
        for runner in site.engines:
            runner.event_interval_s = 0.65
        first = asyncio.ensure_future(site.call("/ask/x", "a1", headers=ASK))
        await site.wait_until(lambda: any(one.working_count for one in site.engines))
        draining = asyncio.ensure_future(site.gateways[0].daemon.drain())
        await asyncio.sleep(1.7)
        late = await site.call("/ask/x", "a2", headers=ASK)
        assert late.status == 503 and float(late.header("Retry-After")) > 0
        assert run_ids(site) == ["a1"]
        assert (await site.call("/read/x", "r1")).status == 200
        assert (await first).body == EVENTS
        assert await draining == 0
