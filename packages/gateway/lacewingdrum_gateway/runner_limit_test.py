"""Tests of the number of runners that one request may run on."""

import asyncio
import contextlib
import time

from lacewingdrum_gateway.gateway_test import ASK, EVENTS
from lacewingdrum_gateway.silent_runner_test import set_faults
from standins import platform_site, ports
from standins.platform_runner import Fault

# The routes of the site allow two runners.
LIMIT_RUNNERS = 2
# By then the second engine has failed.
FAILED_S = 0.3
DEADLINE_MS = 1_500
LATE_S = 0.3


async def test_silent_engine_that_goes_on_counts_towards_the_limit():
    async with platform_site.running_site(engines=4) as site:
        set_faults(site.engines, Fault.PAUSE, Fault.SILENT)
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert (answer.status, answer.body) == (200, EVENTS)
        assert len(runners_of(site, "a1")) == LIMIT_RUNNERS


async def test_engine_that_stays_silent_counts_while_it_accepts_connections():
    # A suspect engine was not counted: 27 streams ran on three in 95 s.
    async with platform_site.running_site(engines=4) as site:
        set_faults(site.engines, Fault.SILENT, Fault.ABORT_BEFORE_ANSWER)
        headers = platform_site.prompt_headers(5_000, patience_ms=2_500)
        await site.call("/ask/x", "a1", headers=headers)
        assert len(runners_of(site, "a1")) == LIMIT_RUNNERS


async def test_runner_that_was_not_reached_allows_no_further_one():
    # It was not counted, and raised the limit besides.
    async with platform_site.running_site(ledgers=5) as site:
        set_faults(site.ledgers, *(5 * [Fault.ABORT_BEFORE_ANSWER]))
        for number in range(8):
            gone = site.ledgers[number % 5]
            port = gone.port
            gone.stop_listening()
            with contextlib.closing(ports.hold(port)):
                name = f"r{number}"
                await site.call("/read/x", name)
                assert len(runners_of(site, name)) <= LIMIT_RUNNERS
            await gone.start(port)


async def test_third_runner_is_asked_if_a_silent_one_accepts_no_connection():
    async with platform_site.running_site(ledgers=4) as site:
        set_faults(site.ledgers, Fault.SILENT, Fault.ABORT_BEFORE_ANSWER)
        call = asyncio.ensure_future(site.call("/read/x", "r1"))
        await site.wait_until(lambda: runners_of(site, "r1"))
        (silent,) = (one for one in site.ledgers if one.arrivals)
        silent.stop_listening()
        assert (await call).status == 200
        assert len(runners_of(site, "r1")) == LIMIT_RUNNERS + 1


async def test_third_engine_goes_on_if_a_silent_one_turns_out_to_be_cut_off():
    async with platform_site.running_site(engines=4) as site:
        set_faults(site.engines, Fault.SILENT, Fault.ABORT_BEFORE_ANSWER)
        call = asyncio.ensure_future(site.call("/ask/x", "a1", headers=ASK))
        await site.wait_until(lambda: runners_of(site, "a1"))
        (silent,) = (one for one in site.engines if one.arrivals)
        await site.wait_until(lambda: len(runners_of(site, "a1")) == LIMIT_RUNNERS)
        await asyncio.sleep(FAILED_S)
        silent.stop_listening()
        answer = await call
        assert (answer.status, answer.body) == (200, EVENTS)


async def test_request_ends_in_time_though_its_suspects_accept_no_connection():
    # Each end at the deadline was followed by a probe of 0.5 s: a caller got
    # its 504 1.05 s late.
    async def hang(protocol, address):
        await asyncio.Event().wait()

    async with platform_site.running_site(ledgers=4) as site:
        set_faults(site.ledgers, *(4 * [Fault.SILENT]))
        handler = site.gateways[0].daemon.components.request_handler
        handler._forwarder._lost_runners._connect = hang
        headers = (("Deadline-Ms", str(DEADLINE_MS)),)
        begun_s = time.monotonic()
        answer = await site.call("/read/x", "r1", headers=headers)
        assert answer.status == 504
        assert time.monotonic() - begun_s < DEADLINE_MS / 1_000 + LATE_S


def runners_of(site, name: str) -> set[str]:
    return {
        runner.runner_id
        for runner in (*site.engines, *site.ledgers)
        if name in [item.headers.get("attempt-id") for item in runner.arrivals]
    }
