"""Tests of sound runners that fall silent for a moment and go on."""

import asyncio
import time

from lacewingdrum_gateway import settings
from lacewingdrum_gateway.gateway_test import ASK, EVENTS, run_ids
from standins import platform_site
from standins.platform_runner import Fault

FAILURES_OF_THE_NEXT = (Fault.SHED, Fault.ERROR, Fault.ABORT_BEFORE_ANSWER)
# The time until a runner is suspected, and two intervals of its probes.
DEAD_NOTICED_S = 3.0
READ_HEADERS = (("Deadline-Ms", "3000"),)


def set_faults(runners, *faults: Fault) -> None:
    """Let the next requests fail so, whichever of the runners they reach."""
    shared = list(faults)
    for runner in runners:
        runner.faults = shared


async def test_stream_of_a_silent_engine_goes_on_if_the_next_engine_fails():
    for failure in FAILURES_OF_THE_NEXT:
        async with platform_site.running_site() as site:
            set_faults(site.engines, Fault.PAUSE, failure)
            answer = await site.call("/ask/x", "a1", headers=ASK)
            assert (answer.status, answer.body) == (200, EVENTS), failure


async def test_stream_of_a_silent_engine_beside_a_change_of_the_configuration():
    async with platform_site.running_site() as site:
        set_faults(site.engines, Fault.PAUSE, Fault.SHED)
        call = asyncio.ensure_future(site.call("/ask/x", "a1", headers=ASK))
        await asyncio.sleep(0.4)
        changed = platform_site.make_configuration(2)
        site.store.put_json("op", "config", changed)
        answer = await call
        assert (answer.status, answer.body) == (200, EVENTS)
        assert site.gateways[0].daemon.configuration_version == 2


async def test_stream_of_a_silent_engine_goes_on_if_no_retry_is_left():
    bounds = settings.BoundsSettings(repeat_ratio=0.0, repeat_slack=0.0)
    async with platform_site.running_site(bounds=bounds) as site:
        set_faults(site.engines, Fault.PAUSE)
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert (answer.status, answer.body) == (200, EVENTS)
        assert run_ids(site) == ["a1"]


async def test_read_of_a_silent_runner_is_answered_if_the_next_runner_fails():
    for failure in (Fault.SHED, Fault.ABORT_BEFORE_ANSWER):
        async with platform_site.running_site() as site:
            set_faults(site.ledgers, Fault.PAUSE, failure)
            answer = await site.call("/read/x", "r1", headers=READ_HEADERS)
            assert answer.status == 200, failure


async def test_silent_runner_takes_its_request_back_from_a_slower_one():
    async with platform_site.running_site() as site:
        set_faults(site.engines, Fault.PAUSE, Fault.SILENT)
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert (answer.status, answer.body) == (200, EVENTS)


async def test_next_engine_takes_the_stream_of_one_that_stays_silent():
    async with platform_site.running_site() as site:
        set_faults(site.engines, Fault.TRICKLE)
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert (answer.status, answer.body) == (200, EVENTS)
        await site.wait_until(
            lambda: not any(engine.working_count for engine in site.engines)
        )


async def test_dead_runner_is_not_waited_for_if_the_next_runner_fails():
    async with platform_site.running_site() as site:
        set_faults(site.ledgers, Fault.SILENT, Fault.SHED)
        call = asyncio.ensure_future(site.call("/read/x", "r1"))
        await site.wait_until(lambda: any(one.arrivals for one in site.ledgers))
        for runner in site.ledgers:
            runner.stop_listening()
        start_s = time.monotonic()
        assert (await call).status == 502
        assert time.monotonic() - start_s < DEAD_NOTICED_S
