"""Tests of requests in phases that a stop interrupts seldom."""

import asyncio

from lacewingdrum_gateway.gateway_test import run_ids
from lacewingdrum_state import states
from lacewingdrum_transport import http_messages
from standins import platform_site

PATIENCE_MS = 15_000


def ran(answer) -> str:
    return answer.header(http_messages.RAN_HEADER)


async def test_completion_that_waits_for_memory_at_a_stop_has_not_run():
    async with platform_site.running_site(gateways=1, engines=8) as site:
        digest = platform_site.make_route(
            "digest",
            "stream",
            platform_site.MODEL,
            timeout_ms=PATIENCE_MS,
            target_latency_ms=9_000,
            gap_target_ms=9_000,
        )
        changed = platform_site.make_configuration(2, routes=[digest])
        site.store.put_json("op", "config", changed)
        daemon = site.gateways[0].daemon
        await site.wait_until(lambda: daemon.configuration_version == 2)
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
