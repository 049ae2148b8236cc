"""Tests of what callers are told of attempts that run beside each other."""

import asyncio
import unittest.mock

from lacewingdrum_gateway.cut_off_daemons_test import site_of_four
from lacewingdrum_state import ids
from standins import platform_runner, platform_site
from standins.runner_paths import Cut

SHORT_HEADERS = (("Deadline-Ms", "1500"),)


def handler_of(site, number: int = 0):
    return site.gateways[number].daemon.components.request_handler


def only_active(site, number: int = 0):
    (active,) = handler_of(site, number)._running.values()
    return active


async def test_order_that_is_lost_as_it_is_found_overdue_is_not_said_to_have_not_run():
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.faults = [platform_runner.Fault.SILENT]
        call = asyncio.ensure_future(site.call("/order/x", "o1", headers=SHORT_HEADERS))
        await site.wait_until(lambda: any(one.runs for one in site.ledgers))
        handler, active = handler_of(site), only_active(site)
        (task,) = active.race._attempts.values()

        def end_overdue(_) -> None:
            with unittest.mock.patch.object(handler, "_clock", lambda: float("inf")):
                assert handler.end_overdue() == 1

        task.add_done_callback(end_overdue)
        for ledger in site.ledgers:
            await ledger.close()
        answer = await call
        assert answer.status in (502, 504), (answer.status, answer.body)


async def test_refusal_of_a_peer_is_not_passed_on_while_a_silent_attempt_may_run():
    async with site_of_four() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 5.0
        for running in site.gateways[1:]:
            components = running.daemon.components
            for ledger in site.ledgers:
                runner_id, now_s = ids.RunnerId(ledger.runner_id), components.clock()
                components.health.pause(runner_id, now_s + 9.0, now_s)
        call = asyncio.ensure_future(
            site.call("/read/x", "r1", headers=(("Deadline-Ms", "3000"),))
        )
        await site.wait_until(lambda: any(one.runs for one in site.ledgers))
        site.gateways[0].paths.cut(Cut.HANGING)
        answer = await call
        assert answer.status in (502, 504), (answer.status, answer.body)
