"""Tests of requests whose runner crashed silently and was started again."""

import asyncio
import time

from lacewingdrum_gateway import settings
from lacewingdrum_gateway.runners import held_memory
from standins import platform_site
from standins.platform_runner import Fault

PROMPT = platform_site.prompt_headers(5_000)
LARGE_PROMPT = platform_site.prompt_headers(900_000)
# The time until all daemons have read the list, and for the next attempt.
LISTED_S = 1.5
# The time until the next renewal of leases, and for the next attempt.
RENEWED_S = held_memory.RENEW_INTERVAL_S + 0.5


async def call_silent_engine(site, headers) -> asyncio.Future:
    """Send a prompt to an engine that gets silent; the others are sound."""
    shared = [Fault.SILENT]
    for engine in site.engines:
        engine.faults = shared
    call = asyncio.ensure_future(site.call("/digest/x", "d1", headers=headers))
    await site.wait_until(lambda: any(one.arrivals for one in site.engines))
    return call


def engine_of(site):
    (engine,) = [one for one in site.engines if one.arrivals]
    return engine


async def test_request_does_not_wait_for_an_engine_that_is_listed_as_born_again():
    async with platform_site.running_site() as site:
        call = await call_silent_engine(site, PROMPT)
        engine = engine_of(site)
        engine.born_ms += 1
        site.store.put_json(
            "servers", engine.runner_id, engine.entry(platform_site.MODEL)
        )
        answer = await asyncio.wait_for(call, LISTED_S)
        assert answer.status == 200


async def test_request_does_not_wait_for_an_engine_whose_lease_was_not_renewed():
    async with platform_site.running_site(engines=4) as site:
        call = await call_silent_engine(site, LARGE_PROMPT)
        engine_of(site).runner_id += "-again"
        answer = await asyncio.wait_for(call, RENEWED_S)
        assert answer.status == 200
        await site.wait_until(lambda: not any(one.reserved for one in site.engines))


async def test_request_that_has_no_attempt_left_fails_when_its_engine_is_replaced():
    bounds = settings.BoundsSettings(repeat_ratio=0.0, repeat_slack=0.0)
    async with platform_site.running_site(engines=4, bounds=bounds) as site:
        call = await call_silent_engine(site, LARGE_PROMPT)
        engine_of(site).born_ms += 1
        start_s = time.monotonic()
        answer = await call
        assert answer.status == 502
        assert time.monotonic() - start_s < RENEWED_S


async def test_request_waits_for_a_silent_engine_that_other_entries_name():
    async with platform_site.running_site() as site:
        call = await call_silent_engine(site, PROMPT)
        engine = engine_of(site)
        claim = {**engine.entry(platform_site.MODEL), "born": engine.born_ms + 1}
        site.store.put_json("servers", "claim", claim)
        await asyncio.sleep(LISTED_S)
        assert not call.done() and len(engine.arrivals) == 1
        call.cancel()
