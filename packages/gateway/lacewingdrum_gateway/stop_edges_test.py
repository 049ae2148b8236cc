"""Tests of requests in phases that a stop interrupts seldom."""

import asyncio
import time

from lacewingdrum_gateway.cut_off_daemons_test import site_of_four, wait_until_cut_off
from lacewingdrum_gateway.gateway_test import ASK, run_ids
from lacewingdrum_gateway.relayed_memory_test import (
    PATIENCE_MS,
    serve_patient_digests,
)
from lacewingdrum_state import states
from lacewingdrum_transport import http_messages
from standins import platform_site, raw_caller
from standins.runner_paths import Cut


def ran(answer) -> str:
    return answer.header(http_messages.RAN_HEADER)


async def test_completion_that_waits_for_memory_at_a_stop_has_not_run():
    async with platform_site.running_site(gateways=1, engines=8) as site:
        await serve_patient_digests(site)
        daemon = site.gateways[0].daemon
        for engine in site.engines:
            engine.ignores_commands = True
        headers = platform_site.prompt_headers(500_000, PATIENCE_MS)
        call = asyncio.ensure_future(site.call("/digest/x", "d1", headers=headers))
        handler = daemon.components.request_handler
        await site.wait_until(
            lambda: any(one.race.attempts for one in handler._running.values())
        )
        await asyncio.sleep(0.1)
        await daemon.components.callers_server.close()
        answer = await call
        assert run_ids(site) == []
        assert answer.status == 503 and ran(answer) == states.Ran.NO.value


async def test_order_that_waits_for_its_connection_at_a_stop_has_not_run():
    async with platform_site.running_site() as site:
        daemon = site.gateways[0].daemon

        async def hang(*args):
            await asyncio.Event().wait()

        daemon.components.runner_client._open_connection = hang
        daemon.components.runner_client._idle.clear()
        call = asyncio.ensure_future(site.call("/order/x", "o1"))
        handler = daemon.components.request_handler
        await site.wait_until(lambda: handler._running)
        await asyncio.sleep(0.1)
        await daemon.components.callers_server.close()
        answer = await call
        assert run_ids(site) == []
        assert answer.status == 503 and ran(answer) == states.Ran.NO.value


async def test_relayed_requests_at_a_peer_that_stops_get_one_true_answer():
    async with site_of_four() as site:
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        for ledger in site.ledgers:
            ledger.answer_s = 3.0
        headers = (("Deadline-Ms", "4000"),)
        orders = [
            asyncio.ensure_future(site.call("/order/x", f"o{n}", headers=headers))
            for n in range(12)
        ]
        await site.wait_until(lambda: len(run_ids(site)) >= 12, 2.0)
        for ledger in site.ledgers:
            ledger.answer_s = 0.05
        reads = [
            asyncio.ensure_future(site.call("/read/x", f"r{n}", headers=headers))
            for n in range(12)
        ]
        await asyncio.gather(
            site.gateways[1].daemon.components.callers_server.close(),
            site.gateways[1].daemon.components.relay_server.close(),
        )
        got = [await one for one in orders]
        got_reads = [await one for one in reads]
        assert all(one.status in (200, 502) for one in got)
        assert all(one.status == 200 for one in got_reads)
        assert all(run_ids(site).count(f"o{n}") == 1 for n in range(12))


async def test_stop_ends_within_its_grace_beside_silent_engines_and_store():
    async with platform_site.running_site(gateways=1, engines=4) as site:
        for runner in (*site.engines, *site.ledgers):
            runner.answer_s = runner.first_event_s = 30.0
        calls = [
            asyncio.ensure_future(site.call(path, f"c{n}{path[1]}", headers=ASK))
            for n in range(20)
            for path in ("/ask/x", "/order/x", "/read/x")
        ]
        daemon = site.gateways[0].daemon
        await asyncio.sleep(0.3)
        for engine in site.engines:
            engine.ignores_commands = True
        site.silence_store_connections()
        begin_s = time.monotonic()
        assert await daemon.drain() == len(calls)
        took_s = time.monotonic() - begin_s
        answers = [await one for one in calls]
        assert all(one.status for one in answers)
        assert took_s < platform_site.STOP_GRACE_S, took_s


async def test_stop_ends_within_its_grace_while_engines_with_memory_are_silent():
    async with platform_site.running_site(gateways=1, engines=8) as site:
        await serve_patient_digests(site)
        daemon = site.gateways[0].daemon
        for engine in site.engines:
            engine.first_event_s = PATIENCE_MS / 1_000
        headers = platform_site.prompt_headers(500_000, PATIENCE_MS)
        call = asyncio.ensure_future(site.call("/digest/x", "d1", headers=headers))
        await site.wait_until(lambda: any(one.reserved for one in site.engines))
        await asyncio.sleep(0.2)
        begin_s = time.monotonic()
        draining = asyncio.ensure_future(daemon.drain())
        await asyncio.sleep(platform_site.STOP_GRACE_S - 0.6)
        for engine in site.engines:
            engine.ignores_commands = True
        await draining
        took_s = time.monotonic() - begin_s
        assert (await call).status == 502
        assert took_s < platform_site.STOP_GRACE_S, took_s


async def test_memory_is_given_back_at_the_end_of_a_stop():
    async with platform_site.running_site(gateways=1, engines=8) as site:
        await serve_patient_digests(site)
        daemon = site.gateways[0].daemon
        for engine in site.engines:
            engine.first_event_s = PATIENCE_MS / 1_000
        headers = platform_site.prompt_headers(500_000, PATIENCE_MS)
        call = asyncio.ensure_future(site.call("/digest/x", "d1", headers=headers))
        await site.wait_until(lambda: any(one.reserved for one in site.engines))
        await daemon.drain()
        assert (await call).status == 502
        assert not any(one.reserved for one in site.engines)


async def test_order_that_arrives_as_a_stop_ends_early_is_answered():
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 0.2
        daemon = site.gateways[0].daemon
        server = daemon.components.callers_server
        address = site.gateways[0].gateway_settings.vm.caller_address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        stop_accepting = server.stop_accepting

        async def receive_late() -> None:
            server.stop_accepting = stop_accepting
            patience = (("Deadline-Ms", "600"),)
            writer.write(raw_caller.format_request("/order/x", "o1", patience))
            for _ in range(3):
                await asyncio.sleep(0)
            await stop_accepting()

        server.stop_accepting = receive_late
        cut_count = await daemon.drain()
        status = (await reader.readline()).split()[1]
        writer.close()
        assert (cut_count, status, run_ids(site)) == (0, b"200", ["o1"])
