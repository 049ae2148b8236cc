"""Tests of runners that write an earlier refusal once more."""

import asyncio
import contextlib
import dataclasses
import itertools

from lacewingdrum_gateway import cut_off_daemons_test
from lacewingdrum_gateway.gateway_test import ASK, EVENTS
from lacewingdrum_gateway.helpers_test import DIGEST
from lacewingdrum_state import ids
from lacewingdrum_transport import http_client_test
from standins import platform_runner, platform_site
from standins.platform_runner import Fault
from standins.repeated_refusals import Moment, NamedAttempt, RepeatedRefusal
from standins.runner_paths import Cut

NOT_RUN_STATUSES = (408, 421, 429, 503)
REFUSALS = tuple(
    RepeatedRefusal(status, named, moment)
    for status, named, moment in itertools.product(
        (503, 421, 429), (NamedAttempt.NONE, NamedAttempt.OTHER), Moment
    )
)
HEADERS = {"ask": ASK, "digest": DIGEST}
MEMORY_REFUSALS = tuple(
    RepeatedRefusal(status, named, Moment.LATE)
    for status, named in itertools.product(
        (409, 421, 429, 503), (NamedAttempt.NONE, NamedAttempt.OTHER)
    )
)
PEER_REFUSAL = (("Lacewingdrum-Ran", "no"), ("Lacewingdrum-Request-Id", "another"))
EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
KEPT_CONNECTIONS = 2
# How long a request runs, so that the earlier refusal arrives first.
RUN_S = 0.005
IDENTIFIED_S = 0.05


def all_runners(site):
    return (*site.engines, *site.ledgers)


def runs_of(site, attempt_id: str) -> int:
    return sum(runner.runs.count(attempt_id) for runner in all_runners(site))


def set_refusal(site, refusal: RepeatedRefusal | None) -> None:
    for runner in all_runners(site):
        runner.repeated_refusal = refusal
        runner.answer_s = runner.first_event_s = RUN_S
        runner.event_interval_s = 0.0


async def call(site, kind: str, attempt_id: str):
    headers = HEADERS.get(kind, ())
    return await site.call(f"/{kind}/x", attempt_id, headers=headers)


async def keep_connections(site, kind: str, name: str) -> None:
    """Let runners have connections that have carried a request."""
    set_refusal(site, None)
    calls = (call(site, kind, f"{name}-{item}") for item in range(KEPT_CONNECTIONS))
    statuses = [answer.status for answer in await asyncio.gather(*calls)]
    assert all(status == 200 for status in statuses), statuses


async def check_calls(site, kind: str, is_repeatable: bool) -> None:
    """Make calls beside each repeated refusal."""
    for number, refusal in enumerate(REFUSALS):
        await keep_connections(site, kind, f"{kind}-w{number}")
        set_refusal(site, refusal)
        answer = await call(site, kind, f"{kind}-a{number}")
        run_count = runs_of(site, f"{kind}-a{number}")
        detail = (kind, refusal, answer.status, run_count)
        assert answer.status not in NOT_RUN_STATUSES or not run_count, detail
        assert answer.status == 200 and (is_repeatable or run_count == 1), detail
        assert kind != "ask" or answer.body == EVENTS, detail


async def test_repeatable_request_that_runs_is_not_refused_by_an_earlier_refusal():
    async with platform_site.running_site(engines=1, ledgers=1) as site:
        for kind in ("read", "ask"):
            await check_calls(site, kind, is_repeatable=True)


async def test_request_that_may_run_once_is_not_refused_by_an_earlier_refusal():
    async with platform_site.running_site() as site:
        await check_calls(site, "order", is_repeatable=False)
        stream = platform_site.make_route(
            "ask", "stream", platform_site.MODEL, resumable=False, max_attempts=1
        )
        changed = platform_site.make_configuration(2, routes=[stream])
        site.store.put_json("op", "config", changed)
        await site.wait_until(lambda: site.gateways[0].daemon.configuration_version > 1)
        await check_calls(site, "ask", is_repeatable=False)


async def test_stream_sent_again_to_its_runner_is_not_refused_by_its_first_refusal():
    async with platform_site.running_site() as site:
        await keep_connections(site, "ask", "w")
        set_refusal(site, RepeatedRefusal(503, NamedAttempt.SAME, Moment.LATE))
        # The first try is refused for its helper, the second one runs, and
        # another engine would refuse a third one.
        faults = [Fault.NONE, Fault.NONE, Fault.SHED]
        for engine in site.engines:
            engine.refusing_helpers = {item.address for item in site.engines}
            engine.faults = faults
        answer = await call(site, "digest", "d1")
        detail = (answer.status, runs_of(site, "d1"), faults)
        assert detail == (200, 1, [Fault.SHED]), detail


async def test_read_without_an_id_is_not_refused_by_an_earlier_refusal():
    async with platform_site.running_site(ledgers=1) as site:
        await keep_connections(site, "read", "w")
        set_refusal(site, RepeatedRefusal(503, NamedAttempt.NONE, Moment.LATE))
        answer = await call(site, "read", "")
        assert (answer.status, runs_of(site, "")) == (200, 1)


@contextlib.asynccontextmanager
async def site_with_cut_off_daemon():
    """Yield a site whose first gateway passes requests on to the second."""
    async with platform_site.running_site(gateways=2, engines=1, ledgers=1) as site:
        table = site.gateways[0].daemon.components.peers.table
        await site.wait_until(lambda: any(peer.relay_port for peer in table.live))
        site.gateways[0].paths.cut(Cut.RESET)
        await cut_off_daemons_test.wait_until_cut_off(site, 0)
        yield site


async def test_relayed_request_that_runs_is_not_refused_by_an_earlier_refusal():
    async with site_with_cut_off_daemon() as site:
        for kind in ("read", "ask", "order"):
            await check_calls(site, kind, is_repeatable=kind != "order")


async def test_request_that_a_peer_runs_is_not_refused_by_its_earlier_refusal():
    async with site_with_cut_off_daemon() as site:
        peer, vm = site.gateways[1].daemon, site.gateways[1].gateway_settings.vm
        await peer.components.relay_server.close()
        faulty = platform_runner.PlatformRunner("peer")
        await faulty.start(vm.relay_port, vm.host)
        try:
            for kind in ("read", "ask", "order"):
                assert (await call(site, kind, f"w-{kind}")).status == 200
                for named, moment in itertools.product(NamedAttempt, Moment):
                    faulty.repeated_refusal = RepeatedRefusal(
                        503, named, moment, PEER_REFUSAL
                    )
                    attempt_id = f"{kind}-{named.value}-{moment.value}"
                    answer = await call(site, kind, attempt_id)
                    detail = (attempt_id, answer.status, faulty.runs)
                    assert answer.status not in NOT_RUN_STATUSES, detail
                    assert faulty.runs.count(attempt_id) == 1, detail
        finally:
            await faulty.close()


def ignore_replacement() -> None:
    """Do nothing, since no engine of these tests is started again."""


async def reserve_memory(site, name: str):
    """Reserve memory on all engines; return it, or None if one refused."""
    components = site.gateways[0].daemon.components
    entries = components.roster.of_service(platform_site.MODEL)
    reserved = await components.memory.reserve(
        ids.RequestId(name), name, entries[0], entries, 1_000, ignore_replacement
    )
    return reserved.ok()


async def test_memory_is_freed_after_an_earlier_refusal_of_its_order():
    async with platform_site.running_site() as site:
        for refusal in MEMORY_REFUSALS:
            set_refusal(site, None)
            name = f"{refusal.status}-{refusal.named.value}"
            kept = await reserve_memory(site, f"k-{name}")
            # The engines say who they are on the connections that are kept.
            await asyncio.sleep(IDENTIFIED_S)
            set_refusal(site, refusal)
            assert not await reserve_memory(site, f"r-{name}"), refusal
            kept.close()
            await site.wait_until(lambda: not any(one.reserved for one in site.engines))


async def test_memory_is_not_granted_by_the_answer_of_a_request():
    async with platform_site.running_site() as site:
        kept = await reserve_memory(site, "k")
        set_refusal(site, RepeatedRefusal(200, NamedAttempt.OTHER, Moment.LATE))
        for engine in site.engines:
            engine.refuse_commands = True
        assert not await reserve_memory(site, "r")
        assert not site.gateways[0].daemon.components.health.suspects
        kept.close()


async def test_connection_that_brought_an_answer_of_a_request_gets_no_more_orders():
    foreign = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n"
    async with (
        platform_site.running_site() as site,
        http_client_test.RawServer(foreign, EMPTY_ANSWER) as server,
    ):
        components = site.gateways[0].daemon.components
        decoder, listed, *_ = components.roster.of_service(platform_site.MODEL)
        helper = dataclasses.replace(listed, address=server.address)
        await components.memory.reserve(
            ids.RequestId("r"), "r", decoder, (helper,), 1_000, ignore_replacement
        )
        # The release must not use the connection of the reservation.
        await site.wait_until(lambda: server.request_count == 2)
        assert server.connection_count == 2
