"""Tests that no runner holds the event loop of a daemon."""

import asyncio

from lacewingdrum_gateway.gateway_test import ASK
from standins import loop_turns, platform_site
from standins.platform_runner import Fault

MEASURED_S = 1.5
CALL_COUNT = 20


async def longest_turn_ms(path: str, fault: Fault, **changes) -> float:
    """Return the longest turn while all runners send such answers."""
    async with platform_site.running_site(engines=2, ledgers=2) as site:
        shared = [fault] * 200
        for runner in (*site.engines, *site.ledgers):
            runner.faults = shared
        async with loop_turns.measured() as longest:
            calls = [
                asyncio.ensure_future(site.call(path, f"a{number}", **changes))
                for number in range(CALL_COUNT)
            ]
            await asyncio.wait(calls, timeout=MEASURED_S)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        return longest.worked_ms


async def check_turns(path: str, fault: Fault, **changes) -> None:
    worked_ms = await longest_turn_ms(path, fault, **changes)
    assert worked_ms <= loop_turns.TURN_MAX_MS, worked_ms


async def test_chunks_of_one_byte_do_not_hold_the_loop():
    # All chunks of 256 KiB were read in one turn, for over a second.
    await check_turns("/read/x", Fault.ENDLESS_CHUNKS)


async def test_stream_in_chunks_of_one_byte_does_not_hold_the_loop():
    # The same, in a stream.
    await check_turns("/ask/x", Fault.ENDLESS_CHUNKS, headers=ASK)


async def test_events_of_two_bytes_do_not_hold_the_loop():
    await check_turns("/ask/x", Fault.ENDLESS_EVENTS, headers=ASK)


async def test_empty_lines_do_not_hold_the_loop():
    await check_turns("/ask/x", Fault.ENDLESS_LINES, headers=ASK)


async def test_comments_within_one_event_do_not_hold_the_loop():
    await check_turns("/ask/x", Fault.ENDLESS_COMMENT, headers=ASK)


async def test_interim_answers_do_not_hold_the_loop():
    await check_turns("/read/x", Fault.ENDLESS_INTERIM)


async def test_fields_of_a_head_do_not_hold_the_loop():
    await check_turns("/read/x", Fault.ENDLESS_FIELDS)


async def test_daemon_serves_its_own_loop_lag():
    async with platform_site.running_site() as site:
        vm = site.gateways[0].gateway_settings.vm
        await asyncio.sleep(0.2)
        answer = await site.client.request(
            platform_site.fleet.Address(vm.host, vm.metrics_port), "GET", "/metrics"
        )
    assert b"lacewingdrum_loop_late_seconds_bucket" in answer.unwrap().body
