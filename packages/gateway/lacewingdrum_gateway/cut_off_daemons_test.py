"""Tests of daemons that are cut off from all runners."""

import asyncio
import contextlib
import dataclasses
import time

from standins import platform_site
from standins.runner_paths import Cut

CONTACT_S = 3.0
INTERVAL_S = 0.04
KINDS = ("ask", "read", "order")
STREAM_LIMIT_S = 2.0
CALL_LIMIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A first try of a request, and the status of its answer."""

    attempt_id: str
    kind: str
    gateway: int
    sent_s: float
    status: int


@contextlib.asynccontextmanager
async def site_of_four():
    """Yield a site with four gateways that can be cut off from its runners."""
    async with platform_site.running_site(
        gateways=4, engines=4, ledgers=4, has_proxied_paths=True
    ) as site:
        for runner in (*site.engines, *site.ledgers):
            runner.answer_s = runner.first_event_s = 0.03
        yield site


async def call_one(site, number: int) -> Call:
    gateway, kind = number % len(site.gateways), KINDS[number // 4 % len(KINDS)]
    limit_s = STREAM_LIMIT_S if kind == "ask" else CALL_LIMIT_S
    headers = (("Deadline-Ms", f"{limit_s * 1_000:.0f}"),)
    if kind == "ask":
        headers = platform_site.prompt_headers(2_000, int(limit_s * 1_000))
    sent_s = time.monotonic()
    answer = await site.call(
        f"/{kind}/{number}",
        f"{kind}-{number}",
        headers=headers,
        on=site.gateways[number % len(site.gateways)],
        timeout_s=limit_s + 0.2,
    )
    return Call(f"{kind}-{number}", kind, gateway, sent_s, answer.status)


async def send(site, length_s: float, first: int = 0) -> list[Call]:
    """Send requests of all kinds to all gateways in turn."""
    calls = []
    end_s = time.monotonic() + length_s
    while time.monotonic() < end_s:
        calls.append(asyncio.ensure_future(call_one(site, first + len(calls))))
        await asyncio.sleep(INTERVAL_S)
    return [await call for call in calls]


def served_share(calls: list[Call], gateways: set[int], kind: str = "") -> float:
    """Return which share of the calls at some gateways was served."""
    chosen = [
        call for call in calls if call.gateway in gateways and kind in ("", call.kind)
    ]
    return sum(call.status == 200 for call in chosen) / max(len(chosen), 1)


def assert_orders_ran_once(site, calls: list[Call]) -> None:
    runs = [name for ledger in site.ledgers for name in ledger.runs]
    for call in calls:
        if call.kind == "order":
            assert runs.count(call.attempt_id) <= 1
            assert call.status != 503 or call.attempt_id not in runs


async def check_cut(cut: Cut, cut_off: set[int]) -> None:
    async with site_of_four() as site:
        before = await send(site, 1.5)
        for number in cut_off:
            site.gateways[number].paths.cut(cut)
        cut_s = time.monotonic()
        during = await send(site, CONTACT_S + 3.0, len(before))
        for number in cut_off:
            site.gateways[number].paths.heal()
        healed_s = time.monotonic()
        after = await send(site, 2.0, len(before) + len(during))
        counted = [call for call in during if call.sent_s > cut_s + CONTACT_S]
        others = set(range(4)) - cut_off
        assert served_share(during, others) >= 0.95
        for kind in KINDS:
            share = served_share(counted, cut_off, kind)
            assert share >= 0.9 * served_share(counted, others, kind), kind
        last = [call for call in after if call.sent_s > healed_s + 1.0]
        assert served_share(last, set(range(4))) >= 0.95
        assert_orders_ran_once(site, [*before, *during, *after])


async def test_daemons_whose_connections_to_runners_hang_serve_their_callers():
    await check_cut(Cut.HANGING, {0, 1})


async def test_daemons_whose_connections_to_runners_are_reset_serve_their_callers():
    await check_cut(Cut.RESET, {0, 1})


async def test_daemons_that_no_runner_accepts_newly_serve_their_callers():
    await check_cut(Cut.NEW_REFUSED, {0, 1})


async def test_last_daemon_that_reaches_runners_serves_the_callers_of_all():
    await check_cut(Cut.HANGING, {0, 1, 2})
