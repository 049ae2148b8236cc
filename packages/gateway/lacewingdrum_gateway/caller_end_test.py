"""Tests of callers that end their stream after a request, and read on."""

import asyncio
import functools

from lacewingdrum_gateway.cut_off_daemons_test import site_of_four, wait_until_cut_off
from lacewingdrum_gateway.gateway_test import ASK, EVENTS, run_ids
from standins import platform_site, raw_caller
from standins.runner_paths import Cut

SLOW_S = 1.0
# Runners may be at work for so long after a caller has closed its connection.
GONE_S = 0.5
call_and_end = functools.partial(raw_caller.call, ends_stream=True)


def set_slow(site) -> None:
    for ledger in site.ledgers:
        ledger.answer_s = SLOW_S
    for engine in site.engines:
        engine.first_event_s = SLOW_S


def awaited_count(site) -> int:
    return sum(one.awaited_count for one in (*site.engines, *site.ledgers))


async def check_orders_and_reads(site, name: str) -> None:
    """Check that a slow order and a quick read are answered."""
    for ledger in site.ledgers:
        ledger.answer_s = SLOW_S
    patience = (("Deadline-Ms", "2500"),)
    order = asyncio.ensure_future(call_and_end(site, "/order/x", f"o-{name}", patience))
    await site.wait_until(lambda: f"o-{name}" in run_ids(site))
    for ledger in site.ledgers:
        ledger.answer_s = 0.0
    read = await call_and_end(site, "/read/x", f"r-{name}")
    assert read.status == 200 and read.is_whole
    answer = await order
    assert answer.status == 200 and answer.is_whole
    assert run_ids(site).count(f"o-{name}") == 1


async def test_caller_that_only_ended_its_stream_is_answered():
    async with platform_site.running_site() as site:
        await check_orders_and_reads(site, "calm")


async def test_caller_that_only_ended_its_stream_is_answered_beside_a_change():
    async with platform_site.running_site() as site:

        async def change() -> None:
            for version in range(2, 9):
                changed = platform_site.make_configuration(version)
                site.store.put_json("op", "config", changed)
                await asyncio.sleep(0.15)

        changing = asyncio.ensure_future(change())
        await check_orders_and_reads(site, "change")
        await changing


async def test_caller_that_only_ended_its_stream_is_answered_in_a_stop():
    async with platform_site.running_site() as site:
        draining = asyncio.ensure_future(site.gateways[0].daemon.drain())
        await asyncio.sleep(0.1)
        await check_orders_and_reads(site, "stop")
        assert await draining == 0


async def test_caller_that_only_ended_its_stream_is_answered_through_a_peer():
    async with site_of_four() as site:
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        await check_orders_and_reads(site, "relayed")


async def test_slow_reads_and_streams_of_callers_that_ended_their_stream_are_answered():
    # They got 502 or 503, as if their callers had left.
    async with platform_site.running_site() as site:
        set_slow(site)
        for path, headers in (("/read/x", ()), ("/ask/x", ASK)):
            answer = await call_and_end(site, path, path, headers)
            assert answer.status == 200 and answer.is_whole, path
        assert answer.body == EVENTS


async def test_slow_reads_of_callers_that_ended_their_stream_are_answered_in_a_stop():
    async with platform_site.running_site() as site:
        set_slow(site)
        draining = asyncio.ensure_future(site.gateways[0].daemon.drain())
        await asyncio.sleep(0.1)
        answer = await call_and_end(site, "/read/x", "r1")
        assert answer.status == 200 and answer.is_whole
        assert await draining == 0


async def test_slow_streams_through_a_peer_go_on_after_their_callers_end_of_stream():
    async with site_of_four() as site:
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        set_slow(site)
        answer = await call_and_end(site, "/ask/x", "a1", ASK)
        assert answer.status == 200 and answer.body == EVENTS


async def test_repeatable_work_of_an_old_caller_that_ended_its_stream_is_refused():
    async with platform_site.running_site() as site:
        set_slow(site)
        for path, headers in (("/read/x", ()), ("/ask/x", ASK)):
            async with asyncio.timeout(GONE_S):
                answer = await call_and_end(site, path, path, headers, version="1.0")
            assert answer.status in (502, 503) and answer.is_whole, path
        await site.wait_until(lambda: not awaited_count(site), GONE_S)


async def test_stream_goes_on_after_its_caller_ended_its_own():
    # It was broken off, as if its caller had left.
    async with platform_site.running_site() as site:
        for engine in site.engines:
            engine.event_interval_s = 0.4
        reader, writer = await raw_caller.send(site, "/ask/x", "a1", ASK)
        head = await reader.readuntil(b"piece 1\n\n")
        assert head.startswith(b"HTTP/1.1 200")
        writer.write_eof()
        rest = await reader.read(-1)
        assert rest.endswith(b"0\r\n\r\n")
        writer.close()


async def test_stream_ends_with_the_next_events_after_its_caller_left():
    async with platform_site.running_site() as site:
        for engine in site.engines:
            engine.event_interval_s, engine.event_count = 0.05, 100
        reader, writer = await raw_caller.send(site, "/ask/x", "a1", ASK)
        await reader.readuntil(b"piece 1\n\n")
        writer.close()
        await site.wait_until(lambda: not awaited_count(site), GONE_S)


async def test_caller_that_leaves_ends_the_work_that_may_be_repeated():
    async with platform_site.running_site() as site:
        set_slow(site)
        for path, headers in (("/read/x", ()), ("/ask/x", ASK)):
            call = asyncio.ensure_future(raw_caller.call(site, path, path, headers))
            await site.wait_until(lambda: awaited_count(site) == 1)
            call.cancel()
            await site.wait_until(lambda: not awaited_count(site), GONE_S)


async def test_pipelined_requests_of_a_caller_that_has_left_reach_no_runner():
    async with platform_site.running_site() as site:
        set_slow(site)
        _, writer = await raw_caller.send(site, "/order/x", "o1")
        writer.write(raw_caller.format_request("/order/x", "o2"))
        writer.close()
        await asyncio.sleep(2 * SLOW_S + GONE_S)
        assert run_ids(site) == ["o1"]


async def test_pipelined_requests_of_a_caller_that_ended_its_stream_are_answered():
    # The second one was refused, as if its caller had left.
    async with platform_site.running_site() as site:
        set_slow(site)
        reader, writer = await raw_caller.send(site, "/order/x", "o1")
        writer.write(raw_caller.format_request("/order/x", "o2"))
        writer.write_eof()
        received = await reader.read(-1)
        assert received.count(b"HTTP/1.1 200 ") == 2
        assert received.count(b" to o1") == 1
        assert received.find(b" to o1") < received.find(b" to o2")
        writer.close()
        # They may have run at different runners.
        assert sorted(run_ids(site)) == ["o1", "o2"]


async def test_short_stream_of_a_caller_that_ended_its_own_is_whole():
    async with platform_site.running_site() as site:
        answer = await call_and_end(site, "/ask/x", "a1", ASK)
        assert answer.status == 200 and answer.body == EVENTS
