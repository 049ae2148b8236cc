"""Tests of runners whose entries expire and come back while they go on."""

import asyncio
import time

from lacewingdrum_gateway.runner_limits_test import (
    allowed,
    most_arrivals,
    send_evenly,
)
from standins import platform_site
from standins.platform_runner import Fault

LEDGER = platform_site.LEDGER
LIST_READ_S = 1.2


async def let_entry_lapse(site, runner, service: str) -> None:
    """Remove a runner's entry, and write it again once that was read."""
    site.store.delete("servers", runner.runner_id)
    await asyncio.sleep(LIST_READ_S)
    site.store.put_json("servers", runner.runner_id, runner.entry(service))
    await asyncio.sleep(LIST_READ_S)


async def read_often(site, name: str, count: int) -> None:
    for number in range(count):
        answer = await site.call("/read/x", f"{name}{number}")
        assert answer.status == 200, answer.status


async def refuse_for(site, runner, pause_s: int) -> int:
    """Let a runner refuse a request and ask for a pause.

    Returns:
        How many requests have reached it then.
    """
    runner.retry_after = str(pause_s)
    runner.faults.append(Fault.SHED)
    while runner.faults:
        await read_often(site, "p", 1)
    return len(runner.arrivals)


async def test_runner_whose_entry_lapsed_gets_nothing_in_its_pause():
    # The pause was dropped with the entry, and requests went out within it.
    async with platform_site.running_site(ledgers=3) as site:
        paused = site.ledgers[0]
        arrived_count = await refuse_for(site, paused, 30)
        await let_entry_lapse(site, paused, LEDGER)
        await read_often(site, "r", 20)
        assert len(paused.arrivals) == arrived_count


async def test_runner_that_was_started_again_gets_requests_at_once():
    async with platform_site.running_site(ledgers=3) as site:
        paused = site.ledgers[0]
        arrived_count = await refuse_for(site, paused, 30)
        paused.born_ms += 1
        await let_entry_lapse(site, paused, LEDGER)
        await read_often(site, "r", 20)
        assert len(paused.arrivals) > arrived_count


async def test_limit_of_a_runner_whose_entry_lapsed_holds_at_its_return():
    # It was dropped with the entry, and nothing bounded the first requests.
    async with platform_site.running_site(gateways=3, ledgers=2) as site:
        limited = site.ledgers[0]
        limited.limit_per_s = "1"
        await send_evenly(site, "/read/x", 20.0, 2.0)
        for ledger in site.ledgers:
            ledger.answer_s = 1.0
        await let_entry_lapse(site, limited, LEDGER)
        returned_s = time.monotonic()
        await send_evenly(site, "/read/x", 40.0, 3.0)
        assert most_arrivals(limited, returned_s) <= allowed(1.0)
