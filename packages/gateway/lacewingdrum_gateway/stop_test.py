"""Tests of a planned stop while requests are in progress."""

import asyncio

from lacewingdrum_gateway import gateway
from lacewingdrum_gateway.gateway_test import ASK, EVENTS, run_ids
from lacewingdrum_state import states
from lacewingdrum_transport import http_messages
from standins import platform_site, raw_caller

BEGIN_S = 1.0


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


async def stop_with_calls(site, sends):
    """Stop the first gateway, and return the answers of calls sent meanwhile.

    Args:
        site: a running site.
        sends: seconds after the begin, path, attempt id and patience in ms.
    """

    async def send(after_s, path, attempt_id, patience_ms):
        await asyncio.sleep(after_s)
        headers = (("Deadline-Ms", str(patience_ms)),)
        return await site.call(path, attempt_id, headers=headers)

    calls = [asyncio.ensure_future(send(*one)) for one in sends]
    await site.gateways[0].daemon.drain()
    return [await call for call in calls]


async def test_order_accepted_in_a_stop_is_answered_before_its_end():
    # Orders were taken, run and closed without an answer at the end.
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 1.4
        sends = [
            (after_s, "/order/x", f"o{number}-{after_s}", 3_000)
            for after_s in (0.2, 1.7, 2.2)
            for number in range(3)
        ]
        answers = await stop_with_calls(site, sends)
        assert [one.status for one in answers[:3]] == [200, 200, 200]
        assert [one.status for one in answers[3:]] == [503] * 6
        ran = {attempt_id for one in site.ledgers for attempt_id in one.runs}
        assert ran == {"o0-0.2", "o1-0.2", "o2-0.2"}


async def test_order_that_outlasts_a_stop_is_refused_from_its_begin():
    # Orders were taken that could not end before the process did.
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 3.8
        (answer,) = await stop_with_calls(site, [(0.1, "/order/x", "o1", 4_000)])
        assert answer.status == 503 and float(answer.header("Retry-After")) > 0
        assert not any(one.runs for one in site.ledgers)


async def test_order_from_before_a_stop_is_told_at_its_end_that_it_may_have_run():
    # The connection was closed with nothing said.
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 3.9
        call = asyncio.ensure_future(site.call("/order/x", "o1"))
        await site.wait_until(lambda: any(one.runs for one in site.ledgers))
        assert await site.gateways[0].daemon.drain() == 1
        answer = await call
        assert answer.status == 502
        assert answer.header(http_messages.RAN_HEADER) == states.Ran.MAYBE.value


async def test_read_still_at_work_at_the_end_of_a_stop_is_answered():
    # The connection was closed with nothing said.
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 3.9
        (answer,) = await stop_with_calls(site, [(0.1, "/read/x", "r1", 4_000)])
        assert answer.status == 502


async def test_stream_whose_first_event_comes_just_before_the_end_of_a_stop_is_whole():
    # Streams began and were broken off milliseconds later.
    async with platform_site.running_site() as site:
        draining = asyncio.ensure_future(site.gateways[0].daemon.drain())
        for engine in site.engines:
            engine.event_interval_s = 0.3
        await asyncio.sleep(BEGIN_S)
        # Their first events come between 0.2 s and 0.02 s before the end.
        end_s = platform_site.STOP_GRACE_S - gateway.ABORT_BEFORE_KILL_S
        for engine, left_s in zip(site.engines, (0.02, 0.08, 0.14, 0.2), strict=False):
            engine.first_event_s = end_s - BEGIN_S - left_s
        calls = [
            asyncio.ensure_future(raw_caller.call(site, "/ask/x", f"a{number}", ASK))
            for number in range(len(site.engines))
        ]
        answers = [await call for call in calls]
        assert [one.status for one in answers] == [502] * len(calls)
        assert all(one.is_whole for one in answers)
        assert await draining == len(calls)
