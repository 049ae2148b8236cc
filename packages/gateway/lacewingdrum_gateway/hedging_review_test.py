"""Tests of what callers are told of attempts that run beside each other."""

import asyncio
import unittest.mock

from standins import platform_runner, platform_site

SHORT_HEADERS = (("Deadline-Ms", "1500"),)


def handler_of(site, number: int = 0):
    return site.gateways[number].daemon.components.request_handler


def only_active(site, number: int = 0):
    (active,) = handler_of(site, number)._running.values()
    return active


async def test_order_that_is_lost_as_its_time_is_found_over_is_not_said_not_to_have_run():
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
