"""Tests of memory for requests that a daemon has passed on to a peer."""

import asyncio

from lacewingdrum_gateway.cut_off_daemons_test import wait_until_cut_off
from standins import platform_site
from standins.platform_runner import Fault
from standins.runner_paths import Cut

PATIENCE_MS = 15_000
OBJECTIVE_MS = 9_000


async def serve_patient_digests(site) -> None:
    """Configure a route whose requests cost each other nothing."""
    digest = platform_site.make_route(
        "digest",
        "stream",
        platform_site.MODEL,
        timeout_ms=PATIENCE_MS,
        target_latency_ms=OBJECTIVE_MS,
        gap_target_ms=OBJECTIVE_MS,
    )
    read = platform_site.make_route("read", "idempotent", platform_site.LEDGER)
    changed = platform_site.make_configuration(2, routes=[digest, read])
    site.store.put_json("op", "config", changed)
    await site.wait_until(lambda: all(map(is_prepared, site.gateways)))


def is_prepared(running) -> bool:
    """Return whether a daemon has the routes and knows a peer with a port."""
    peers = running.daemon.components.peers.table.live
    is_known = all(peer.relay_port for peer in peers)
    return is_known and running.daemon.configuration_version == 2


def used_tickets(site) -> list[set[str]]:
    """Return the tickets that each request at an engine names."""
    return [
        {helper.partition("/")[2] for helper in item.headers["helpers"].split(",")}
        for engine in site.engines
        for item in engine.arrivals
    ]


async def test_memory_of_a_request_has_another_id_at_the_daemon_that_takes_it_over():
    async with platform_site.running_site(gateways=2, engines=8) as site:
        await serve_patient_digests(site)
        for engine in site.engines:
            engine.faults = [Fault.SILENT]
        headers = platform_site.prompt_headers(500_000, PATIENCE_MS)
        call = asyncio.ensure_future(site.call("/digest/x", "d1", headers=headers))
        await site.wait_until(lambda: len(used_tickets(site)) == 1)
        site.gateways[0].paths.cut(Cut.HANGING)
        await wait_until_cut_off(site, 0)
        await site.wait_until(lambda: len(used_tickets(site)) == 2)
        first, second = used_tickets(site)
        assert len(first) == len(second) == 1
        assert first != second
        call.cancel()
