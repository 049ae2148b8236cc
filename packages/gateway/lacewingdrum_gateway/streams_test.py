"""Tests of streams that are cut, stalled or slow on their way."""

import asyncio
import time

from lacewingdrum_gateway.gateway_test import ASK, EVENTS, run_ids
from standins import platform_site
from standins.platform_runner import Fault

# A stream is given up after a silence of four times its objective for pauses,
# and not before 0.8 s.
STALL_NOTICED_S = 2.0


async def test_stream_passes_on_every_event_with_the_receipt():
    async with platform_site.running_site() as site:
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 200 and answer.body == EVENTS
        assert answer.header("Response-Seal").endswith("-a1")
        assert run_ids(site) == ["a1"]


async def test_interrupted_stream_resumes_at_another_runner_after_its_last_event():
    async with platform_site.running_site() as site:
        for runner in site.engines:
            runner.event_interval_s = 0.03
        shared = [Fault.ABORT_INSIDE_ANSWER]
        for runner in site.engines:
            runner.faults = shared
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 200 and answer.body == EVENTS
        resumed = [item for one in site.engines for item in one.arrivals]
        assert sorted(item.headers.get("last-event-id", "") for item in resumed) == [
            "",
            "2",
        ]


async def test_stream_that_cannot_resume_does_not_look_complete():
    async with platform_site.running_site(engines=1) as site:
        site.engines[0].faults = [Fault.ABORT_INSIDE_ANSWER, Fault.ABORT_INSIDE_ANSWER]
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 0


async def test_stream_that_stalls_but_sends_bytes_goes_on_elsewhere():
    async with platform_site.running_site() as site:
        shared = [Fault.TRICKLE]
        for runner in site.engines:
            runner.faults = shared
        start_s = time.monotonic()
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 200 and answer.body == EVENTS
        assert time.monotonic() - start_s < STALL_NOTICED_S


async def test_stalled_stream_that_cannot_go_on_elsewhere_is_kept_until_its_deadline():
    async with platform_site.running_site(engines=1) as site:
        ask = platform_site.make_route(
            "ask", "stream", platform_site.MODEL, resumable=False, max_attempts=1
        )
        site.store.put_json(
            "op", "config", platform_site.make_configuration(2, routes=[ask])
        )
        daemon = site.gateways[0].daemon
        await site.wait_until(lambda: daemon.configuration_version == 2)
        site.engines[0].faults = [Fault.TRICKLE]
        start_s = time.monotonic()
        headers = platform_site.prompt_headers(5_000, patience_ms=1_500)
        answer = await site.call("/ask/x", "a1", headers=headers)
        assert answer.status == 0
        assert 1.4 < time.monotonic() - start_s < 2.0


async def test_slow_but_steady_stream_is_not_interrupted():
    async with platform_site.running_site() as site:
        for runner in site.engines:
            runner.event_interval_s = 0.6
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 200 and answer.body == EVENTS
        assert run_ids(site) == ["a1"]


async def test_caller_disconnect_ends_the_work_of_its_stream():
    async with platform_site.running_site(engines=1) as site:
        engine = site.engines[0]
        engine.event_interval_s, engine.event_count = 0.02, 10_000
        call = asyncio.ensure_future(site.call("/ask/x", "a1", headers=ASK))
        await site.wait_until(lambda: engine.working_count == 1)
        call.cancel()
        await site.wait_until(lambda: engine.working_count == 0, 0.5)
