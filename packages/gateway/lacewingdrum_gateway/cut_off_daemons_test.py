"""Tests of daemons that are cut off from all runners."""

import asyncio
import contextlib
import dataclasses
import time

from lacewingdrum_state import ids
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
    async with platform_site.running_site(gateways=4, engines=4, ledgers=4) as site:
        for runner in (*site.engines, *site.ledgers):
            runner.answer_s = runner.first_event_s = 0.03
        await site.wait_until(
            lambda: all(knows_peers(item.daemon) for item in site.gateways)
        )
        yield site


def knows_peers(daemon) -> bool:
    """Return whether a daemon knows that all others take its requests."""
    ports = [peer.relay_port for peer in daemon.components.peers.table.live]
    return len(ports) == 3 and all(ports)


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


async def wait_until_cut_off(site, number: int) -> None:
    """Send reads to a daemon until it knows that it is cut off."""
    reach = site.gateways[number].daemon.components.reach
    while not reach.is_cut_off:
        await call_read(site, number, f"w{time.monotonic()}")
    # The other daemons learn of it.
    await asyncio.sleep(0.1)


async def call_read(site, number: int, attempt_id: str, kind: str = "read"):
    headers = (("Deadline-Ms", "1000"),)
    on = site.gateways[number]
    return await site.call(f"/{kind}/x", attempt_id, headers=headers, on=on)


async def test_stream_that_a_cut_interrupts_is_continued_by_a_peer():
    async with site_of_four() as site:
        for engine in site.engines:
            engine.event_count, engine.event_interval_s = 40, 0.05
        headers = platform_site.prompt_headers(2_000, 8_000)
        streams = [
            asyncio.ensure_future(
                site.call("/ask/x", f"s{item}", headers=headers, on=site.gateways[0])
            )
            for item in range(4)
        ]
        await asyncio.sleep(0.5)
        site.gateways[0].paths.cut(Cut.HANGING)
        whole = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 41))
        for stream in streams:
            answer = await stream
            assert answer.status == 200 and answer.body.decode() == whole


async def test_request_that_no_daemon_can_pass_on_is_refused_at_once():
    async with site_of_four() as site:
        for running in site.gateways:
            running.paths.cut(Cut.RESET)
        for number in range(4):
            await wait_until_cut_off(site, number)
        start_s = time.monotonic()
        answer = await call_read(site, 0, "o1", "order")
        assert time.monotonic() - start_s < 0.2
        assert answer.status == 503 and float(answer.header("Retry-After")) > 0


async def test_daemon_that_is_cut_off_tells_nothing_against_runners():
    async with site_of_four() as site:
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        await send(site, 1.0)
        for running in site.gateways:
            components = running.daemon.components
            assert not components.crash_sync.evidence.has_crashes
            if running is not site.gateways[0]:
                assert not components.health.suspects


async def test_service_whose_runners_are_all_down_is_no_cut():
    async with site_of_four() as site:
        for ledger in site.ledgers:
            await ledger.close()
        answers = [await call_read(site, 0, f"r{item}") for item in range(3)]
        assert all(answer.status in (502, 503) for answer in answers)
        for running in site.gateways:
            assert not running.daemon.components.reach.is_cut_off


async def check_order_at_dying_peer(is_healed: bool) -> None:
    async with site_of_four() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 0.4
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        order = asyncio.ensure_future(call_read(site, 0, "o1", "order"))
        await site.wait_until(lambda: any("o1" in item.runs for item in site.ledgers))
        if is_healed:
            site.gateways[0].paths.heal()
            reach = site.gateways[0].daemon.components.reach
            await site.wait_until(lambda: not reach.is_cut_off)
        lines = site.gateways[0].daemon.components.decisions.lines("o1")
        peer = next(line["peer"] for line in lines if line["event"] == "relayed")
        for running in site.gateways:
            if running.daemon.peer_address == peer:
                assert running.daemon.components.decisions.lines("o1")
                await running.daemon.components.relay_server.close()
        assert (await order).status == 502
        assert sum(item.runs.count("o1") for item in site.ledgers) == 1


async def test_order_that_a_dying_peer_took_is_not_sent_again():
    await check_order_at_dying_peer(is_healed=False)


async def test_order_that_a_dying_peer_took_is_not_sent_again_after_the_cut():
    await check_order_at_dying_peer(is_healed=True)


async def test_caller_that_leaves_ends_the_work_that_a_peer_took():
    async with site_of_four() as site:
        for engine in site.engines:
            engine.first_event_s = 5.0
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        headers = platform_site.prompt_headers(2_000, 8_000)
        call = site.call("/ask/x", "s1", headers=headers, on=site.gateways[0])
        stream = asyncio.ensure_future(call)
        await site.wait_until(
            lambda: stream.done() or any(item.working_count for item in site.engines)
        )
        assert not stream.done(), stream.result()
        stream.cancel()
        await site.wait_until(
            lambda: not site.gateways[1].daemon.known_work_count, timeout_s=2.0
        )


async def test_caller_gets_what_a_peer_says_of_a_request_that_it_refused():
    async with site_of_four() as site:
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        for running in site.gateways[1:]:
            components = running.daemon.components
            for ledger in site.ledgers:
                entry = components.roster.get(ids.RunnerId(ledger.runner_id))
                now_s = components.clock()
                components.health.pauses.record(entry, now_s + 2.0, now_s)
        answer = await call_read(site, 0, "o1", "order")
        assert answer.status == 503 and answer.header("Lacewingdrum-Ran") == "no"
        assert float(answer.header("Retry-After")) > 1.5
        assert not any("o1" in ledger.runs for ledger in site.ledgers)


async def test_peer_with_another_configuration_runs_only_what_is_the_same_in_both():
    async with site_of_four() as site:
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        for running in site.gateways[1:]:
            sync = running.daemon.components.configurations
            sync._apply = lambda text, source: None
        moved = platform_site.make_configuration(
            2,
            routes=[
                platform_site.make_route("read", "idempotent", platform_site.LEDGER),
                platform_site.make_route("new", "idempotent", platform_site.LEDGER),
            ],
        )
        site.store.put_json("op", "config", moved)
        await site.wait_until(lambda: site.gateways[0].daemon.configuration_version > 1)
        assert (await call_read(site, 0, "r1")).status == 200
        answer = await call_read(site, 0, "n1", "new")
        assert answer.status == 503 and answer.header("Lacewingdrum-Ran") == "no"
