"""Tests of answers that end with their connection, and of ends too early."""

import asyncio
import re

from lacewingdrum_gateway.gateway_test import ASK, EVENTS, run_ids
from lacewingdrum_gateway.runners import engine_memory
from standins import platform_site
from standins.platform_runner import Fault

NOT_ANSWERED = (0, 502)


async def forbid_resuming(site) -> None:
    """Put a configuration in force whose streams cannot be resumed."""
    ask = platform_site.make_route(
        "ask", "stream", platform_site.MODEL, resumable=False, max_attempts=1
    )
    order = platform_site.make_route("order", "non_idempotent", platform_site.LEDGER)
    configuration = platform_site.make_configuration(2, routes=[ask, order])
    site.store.put_json("op", "config", configuration)
    daemon = site.gateways[0].daemon
    await site.wait_until(lambda: daemon.configuration_version == 2)


def set_close_delimited(site) -> None:
    for runner in (*site.engines, *site.ledgers):
        runner.is_close_delimited = True


def set_next_fault(runners, fault: Fault) -> None:
    """Give the fault to whichever runner answers first."""
    shared = [fault]
    for runner in runners:
        runner.faults = shared


async def test_whole_stream_that_ends_with_its_connection_is_complete():
    async with platform_site.running_site() as site:
        set_close_delimited(site)
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 200 and answer.body == EVENTS
        assert run_ids(site) == ["a1"]


async def test_stream_whose_connection_ends_inside_an_event_goes_on_elsewhere():
    async with platform_site.running_site() as site:
        set_close_delimited(site)
        set_next_fault(site.engines, Fault.ABORT_INSIDE_ANSWER)
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 200 and answer.body == EVENTS
        arrivals = [item for one in site.engines for item in one.arrivals]
        resumed_after = [item.headers.get("last-event-id", "") for item in arrivals]
        assert sorted(resumed_after) == ["", "2"]


async def check_looks_incomplete(fault: Fault, is_close_delimited: bool) -> None:
    """Check a stream that breaks off and cannot be resumed."""
    async with platform_site.running_site() as site:
        await forbid_resuming(site)
        if is_close_delimited:
            set_close_delimited(site)
        set_next_fault(site.engines, fault)
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status in NOT_ANSWERED


async def test_stream_whose_connection_ends_inside_an_event_does_not_look_complete():
    await check_looks_incomplete(Fault.ABORT_INSIDE_ANSWER, True)


async def test_stream_whose_chunks_end_inside_an_event_does_not_look_complete():
    await check_looks_incomplete(Fault.END_INSIDE_EVENT, False)


async def test_stream_whose_connection_ends_before_any_event_does_not_look_complete():
    await check_looks_incomplete(Fault.CLOSE_BEFORE_EVENTS, False)


async def test_engines_that_answer_commands_by_closing_grant_their_memory():
    async with platform_site.running_site(engines=4) as site:
        set_close_delimited(site)
        headers = platform_site.prompt_headers(900_000)
        answer = await site.call("/ask/x", "a1", headers=headers)
        assert answer.status == 200 and answer.body == EVENTS
        await site.wait_until(lambda: not any(one.reserved for one in site.engines))
        await asyncio.sleep(engine_memory.RELEASE_RETRY_S + 0.1)
        # One command reserves and one releases.
        assert {one.command_count for one in site.engines} <= {0, 2}


async def test_reset_answers_without_length_or_chunks_do_not_look_complete():
    async with platform_site.running_site() as site:
        await forbid_resuming(site)
        set_close_delimited(site)
        set_next_fault(site.engines, Fault.RESET_INSIDE_ANSWER)
        set_next_fault(site.ledgers, Fault.RESET_INSIDE_ANSWER)
        stream = await site.call("/ask/x", "a1", headers=ASK)
        order = await site.call("/order/x", "o1")
        assert stream.status in NOT_ANSWERED and order.status == 502


async def test_cut_request_is_counted_by_the_age_of_the_configuration():
    async with platform_site.running_site() as site:
        for runner in site.ledgers:
            runner.faults = [Fault.ABORT_BEFORE_ANSWER] * 2
        assert (await site.call("/read/x", "a1")).status == 502
        counts = site.gateways[0].daemon.components.counts
        line = re.compile(
            r'cut_requests_total{configuration_age_s="[0-5]\+?",outcome="lost"} 1'
        )
        await site.wait_until(lambda: line.search(counts.text()))


async def test_stream_that_is_ended_at_its_deadline_is_not_counted_as_cut():
    async with platform_site.running_site() as site:
        for engine in site.engines:
            engine.event_interval_s = 0.4
        headers = platform_site.prompt_headers(2_000, patience_ms=700)
        answer = await site.call("/ask/x", "a1", headers=headers)
        assert answer.status == 0
        counts = site.gateways[0].daemon.components.counts
        await site.wait_until(lambda: 'outcome="time_over"' in counts.text())
        assert "cut_requests_total" not in counts.text()
