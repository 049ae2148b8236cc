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


async def send_evenly(site, path: str, per_s: float, length_s: float, headers=()):
    """Send requests to all daemons in turn; return the statuses."""
    tasks = []
    end_s = time.monotonic() + length_s
    while time.monotonic() < end_s:
        running = site.gateways[len(tasks) % len(site.gateways)]
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
