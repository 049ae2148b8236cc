import asyncio
import time
import unittest.mock

from standins import platform_runner, platform_site

PATIENCE_MS = 4_000
SUSPENDED_S = 6.0
ANSWER_MAX_S = 0.5


async def test_requests_overdue_after_a_suspension_are_answered_at_once():
    async with platform_site.running_site() as site:
        for runner in site.ledgers:
            runner.faults = [platform_runner.Fault.SILENT]
        call = asyncio.ensure_future(
            site.call("/order/x", "o1", headers=(("Deadline-Ms", str(PATIENCE_MS)),))
        )
        await site.wait_until(lambda: any(one.arrivals for one in site.ledgers))
        real = time.clock_gettime

        def later(clock_id: int) -> float:
            passed_s = SUSPENDED_S if clock_id == time.CLOCK_BOOTTIME else 0.0
            return real(clock_id) + passed_s

        with unittest.mock.patch("time.clock_gettime", later):
            resumed_s = time.monotonic()
            answer = await call
            assert answer.status == 504, (answer.status, answer.body)
            assert time.monotonic() - resumed_s < ANSWER_MAX_S
        assert sum(len(one.runs) for one in site.ledgers) == 1


async def test_runner_restarted_under_its_id_gets_requests_at_its_new_address():
    async with platform_site.running_site(ledgers=1) as site:
        (runner,) = site.ledgers
        assert (await site.call("/read/x", "r1")).status == 200
        await runner.close()
        restarted = platform_runner.PlatformRunner(runner.runner_id)
        await restarted.start()
        site.ledgers.append(restarted)
        entry = {**restarted.entry(platform_site.LEDGER), "born": 2}
        site.store.put_json("servers", restarted.runner_id, entry)
        await asyncio.sleep(1.0)
        assert (await site.call("/read/x", "r2")).status == 200
        assert restarted.runs == ["r2"] and runner.runs == ["r1"]
