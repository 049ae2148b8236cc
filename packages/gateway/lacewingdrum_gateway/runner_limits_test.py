"""Tests of runners that name how many requests a second they take."""

import asyncio
import time

from standins import platform_site

CONTACT_S = 3.0
WINDOW_S = 4.0
ASK = platform_site.prompt_headers(400)


def allowed(limit_per_s: float) -> float:
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_arrivals(runner, after_s: float) -> int:
    """Return the most requests that reached a runner within some 4 s."""
    times_s = [item.arrived_s for item in runner.arrivals if item.arrived_s > after_s]
    return max(
        (sum(0 <= time_s - from_s <= WINDOW_S for time_s in times_s))
        for from_s in [*times_s, 0.0]
    )


async def send_evenly(
    site, path: str, per_s: float, length_s: float, headers=(), to=None
):
    """Send requests to all daemons, or to some, and return the statuses."""
    gateways = to or site.gateways
    tasks = []
    end_s = time.monotonic() + length_s
    while time.monotonic() < end_s:
        running = gateways[len(tasks) % len(gateways)]
        attempt_id = f"n{len(tasks)}"
        call = site.call(path, attempt_id, headers=headers, on=running)
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(1 / per_s)
    return [(await task).status for task in tasks]


async def test_engine_gets_no_more_requests_from_all_daemons_than_it_names():
    async with platform_site.running_site(gateways=3, engines=4) as site:
        for engine in site.engines:
            engine.limit_per_s = "8"
        start_s = time.monotonic()
        statuses = await send_evenly(site, "/ask/x", 25.0, 9.0, ASK)
        for engine in site.engines:
            assert most_arrivals(engine, start_s + CONTACT_S) <= allowed(8.0)
        assert statuses.count(200) >= 0.9 * len(statuses)


async def test_plain_runner_gets_no_more_requests_than_it_names_and_others_do():
    async with platform_site.running_site(gateways=3, ledgers=3) as site:
        limited, *others = site.ledgers
        limited.limit_per_s = "1.5"
        start_s = time.monotonic()
        statuses = await send_evenly(site, "/read/x", 25.0, 9.0)
        assert most_arrivals(limited, start_s + CONTACT_S) <= allowed(1.5)
        assert statuses.count(200) >= 0.98 * len(statuses)
        assert all(most_arrivals(runner, start_s) > 30 for runner in others)


async def test_daemon_that_starts_later_keeps_to_a_limit_that_it_was_not_told():
    async with platform_site.running_site(gateways=2, ledgers=2) as site:
        for runner in site.ledgers:
            runner.limit_per_s = "1"
        await send_evenly(site, "/read/x", 10.0, 1.5)
        late = await site.add_gateway(("127.0.0.1:1",))
        await asyncio.sleep(1.0)
        start_s = time.monotonic()
        await send_evenly(site, "/read/x", 20.0, 3.0, to=[late])
        for runner in site.ledgers:
            assert most_arrivals(runner, start_s) <= 5


async def test_request_that_no_runner_takes_is_refused_at_once_with_a_time():
    async with platform_site.running_site(ledgers=1) as site:
        site.ledgers[0].limit_per_s = "0.5"
        assert (await site.call("/read/x", "a1")).status == 200
        start_s = time.monotonic()
        answer = await site.call("/read/x", "a2")
        assert answer.status == 503 and time.monotonic() - start_s < 0.3
        retry_s = float(answer.header("Retry-After"))
        assert 1.0 < retry_s < 3.0
        await asyncio.sleep(retry_s)
        assert (await site.call("/read/x", "a3")).status == 200


async def test_limit_that_is_no_longer_named_ends():
    async with platform_site.running_site(gateways=2, ledgers=1) as site:
        (runner,) = site.ledgers
        runner.limit_per_s = "2"
        await send_evenly(site, "/read/x", 20.0, 1.0)
        runner.limit_per_s = ""
        await send_evenly(site, "/read/x", 20.0, 1.0)
        statuses = await send_evenly(site, "/read/x", 20.0, 1.0)
        assert statuses.count(200) == len(statuses)


async def test_unreadable_limits_change_nothing():
    async with platform_site.running_site(ledgers=1) as site:
        texts = ("-1", "many", "1e9", "nan", "1,5", "1.2.3", "9" * 400)
        for number, text in enumerate(texts * 3):
            site.ledgers[0].limit_per_s = text
            assert (await site.call("/read/x", f"a{number}")).status == 200
