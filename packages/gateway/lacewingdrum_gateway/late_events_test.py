"""Tests of streams whose next event is late, though their engine is sound."""

import time
import unittest.mock

from lacewingdrum_coordination import late_events
from lacewingdrum_gateway import settings
from lacewingdrum_gateway.gateway_test import ASK, EVENTS
from lacewingdrum_gateway.silent_runner_test import set_faults
from lacewingdrum_state import ids
from standins import platform_answers, platform_site
from standins.platform_runner import Fault

# A retransmission timeout and the time of a pass.
LOST_PACKET_S = 0.26
NO_RETRIES = settings.BoundsSettings(repeat_ratio=0.0, repeat_slack=0.0)


def lines(site, event: str):
    decisions = site.gateways[0].daemon.components.decisions
    return [line for line in decisions.lines("a1") if line["event"] == event]


async def test_second_engine_goes_on_before_the_pause_is_too_long():
    async with platform_site.running_site() as site:
        set_faults(site.engines, Fault.PAUSE)
        start_s = time.monotonic()
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert (answer.status, answer.body) == (200, EVENTS)
        assert time.monotonic() - start_s < platform_answers.PAUSE_S
        (late,) = lines(site, "event_late")
        health = site.gateways[0].daemon.components.health
        assert not health.is_suspect(ids.RunnerId(late["runner_id"]))
        assert not lines(site, "attempt_silent")
        await site.wait_until(
            lambda: not any(engine.working_count for engine in site.engines)
        )


async def test_engine_whose_event_comes_late_goes_on_if_the_second_one_fails():
    for failure in (Fault.SHED, Fault.ABORT_BEFORE_ANSWER, Fault.SILENT):
        with unittest.mock.patch.object(platform_answers, "PAUSE_S", LOST_PACKET_S):
            async with platform_site.running_site() as site:
                set_faults(site.engines, Fault.PAUSE, failure)
                answer = await site.call("/ask/x", "a1", headers=ASK)
                assert (answer.status, answer.body) == (200, EVENTS), failure
                assert len(lines(site, "event_late")) == 1, failure


async def test_late_event_is_waited_for_if_no_retry_is_left():
    with unittest.mock.patch.object(platform_answers, "PAUSE_S", LOST_PACKET_S):
        async with platform_site.running_site(bounds=NO_RETRIES) as site:
            set_faults(site.engines, Fault.PAUSE)
            answer = await site.call("/ask/x", "a1", headers=ASK)
            assert (answer.status, answer.body) == (200, EVENTS)
            assert len(lines(site, "routed")) == 1


async def test_pause_that_the_work_of_the_engine_explains_is_waited_for():
    explained = unittest.mock.patch.object(late_events, "EXPECTED_FACTOR", 1e6)
    with unittest.mock.patch.object(platform_answers, "PAUSE_S", LOST_PACKET_S):
        async with platform_site.running_site() as site:
            set_faults(site.engines, Fault.PAUSE)
            with explained:
                answer = await site.call("/ask/x", "a1", headers=ASK)
            assert (answer.status, answer.body) == (200, EVENTS)
            assert not lines(site, "event_late")
