"""Tests of runners that say in an answer that they leave or want a pause."""

import asyncio
import time

from standins import platform_site
from standins.platform_runner import Fault

LEDGER = platform_site.LEDGER
DIGEST = platform_site.prompt_headers(260_000)
BROADCAST_S = 0.2
LIST_READ_S = 1.5
PAUSE_S = 1.5
CALLS = 12


async def call_until_answered_by(site, runner, on=None) -> None:
    """Send requests until one has reached the runner."""
    count = len(runner.arrivals)
    for number in range(50):
        await site.call("/read/x", f"{runner.runner_id}-{number}", on=on)
        if len(runner.arrivals) > count:
            return
    raise AssertionError(f"{runner.runner_id} got no request")


async def test_runner_that_says_it_leaves_gets_no_request_from_any_daemon():
    async with platform_site.running_site(gateways=2) as site:
        leaving, other = site.ledgers
        leaving.is_leaving = True
        await call_until_answered_by(site, leaving)
        await asyncio.sleep(BROADCAST_S)
        count = len(leaving.arrivals)
        # Lists that are read in the meantime still call the runner ready.
        for round_number in range(3):
            for number, running in enumerate(site.gateways * CALLS):
                attempt_id = f"r{round_number}-{number}"
                answer = await site.call("/read/x", attempt_id, on=running)
                assert answer.status == 200
            await asyncio.sleep(LIST_READ_S / 3)
        assert len(leaving.arrivals) == count and other.arrivals


async def test_daemon_that_starts_learns_which_runners_leave():
    async with platform_site.running_site() as site:
        leaving, _ = site.ledgers
        leaving.is_leaving = True
        await call_until_answered_by(site, leaving)
        late = await site.add_gateway(("127.0.0.1:1",))
        await asyncio.sleep(LIST_READ_S)
        count = len(leaving.arrivals)
        for number in range(CALLS):
            await site.call("/read/x", f"late-{number}", on=late)
        assert len(leaving.arrivals) == count


async def test_new_incarnation_of_a_runner_that_left_gets_requests():
    async with platform_site.running_site() as site:
        leaving, _ = site.ledgers
        leaving.is_leaving = True
        await call_until_answered_by(site, leaving)
        leaving.is_leaving = False
        reborn = {**leaving.entry(LEDGER), "born": 2}
        site.store.put_json("servers", leaving.runner_id, reborn)
        await asyncio.sleep(LIST_READ_S)
        await call_until_answered_by(site, leaving)


async def test_engine_that_says_it_leaves_reads_no_part_for_others():
    async with platform_site.running_site(engines=3) as site:
        for engine in site.engines:
            engine.is_leaving = True
        await site.call("/digest/x", "d1", headers=DIGEST)
        # The gateway has seen an answer of the engine that it sent this to.
        (leaving,) = [engine for engine in site.engines if engine.arrivals]
        for engine in site.engines:
            engine.is_leaving = engine is leaving
            engine.arrivals.clear()
        for number in range(4):
            answer = await site.call("/digest/x", f"e{number}", headers=DIGEST)
            assert answer.status == 200
        named = [
            arrival.headers.get("helpers", "")
            for engine in site.engines
            for arrival in engine.arrivals
        ]
        assert not leaving.arrivals
        assert not any(leaving.address in helpers for helpers in named)


async def test_runner_that_asks_for_a_pause_gets_none_of_the_next_requests():
    async with platform_site.running_site() as site:
        pausing, other = site.ledgers
        pausing.faults, pausing.retry_after = [Fault.SHED], str(PAUSE_S)
        await call_until_answered_by(site, pausing)
        end_s = time.monotonic() + PAUSE_S
        count = len(pausing.arrivals)
        while time.monotonic() < end_s - 0.1:
            assert (await site.call("/read/x", f"{time.monotonic()}")).status == 200
        assert len(pausing.arrivals) == count and other.arrivals
        await asyncio.sleep(0.2)
        other.faults, other.retry_after = [Fault.SHED] * 2, "5"
        for number in range(4):
            answer = await site.call("/read/x", f"later-{number}")
            assert answer.status == 200
        assert len(pausing.arrivals) > count


async def test_peers_prefer_other_runners_during_a_pause():
    async with platform_site.running_site(gateways=2) as site:
        pausing, other = site.ledgers
        one, peer = site.gateways
        pausing.faults, pausing.retry_after = [Fault.SHED], "5"
        await call_until_answered_by(site, pausing, on=one)
        await asyncio.sleep(BROADCAST_S)
        count = len(pausing.arrivals)
        for number in range(CALLS):
            assert (await site.call("/read/x", f"p{number}", on=peer)).status == 200
        assert len(pausing.arrivals) == count and other.arrivals


async def test_request_is_refused_at_once_with_the_end_of_the_pause():
    async with platform_site.running_site() as site:
        for runner in site.ledgers:
            runner.faults, runner.retry_after = [Fault.SHED], "2.5"
        await site.call("/read/x", "r1")
        before = [len(runner.arrivals) for runner in site.ledgers]
        start_s = time.monotonic()
        answer = await site.call("/order/x", "o1")
        assert time.monotonic() - start_s < 0.5
        assert answer.status == 503
        assert 1.5 < float(answer.header("Retry-After")) < 4.0
        assert [len(runner.arrivals) for runner in site.ledgers] == before
