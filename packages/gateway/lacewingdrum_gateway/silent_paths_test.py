"""Tests of open connections that go silent for good while new ones work."""

import asyncio
import contextlib
import time
import unittest.mock

from lacewingdrum_coordination import heartbeat_intervals, store_followers
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_state import fleet
from standins import platform_site, runner_paths

# Operators allow two seconds from an acknowledged change until it is in force.
CONFIG_S = 2.0
# Between a change, which wakes all feeds at once, and the silence.
AFTER_CHANGE_S = (0.05, 0.6)
# Between the silence and the next change.
BEFORE_CHANGE_S = (0.05, 0.6, 2.0)
TAKEN_TIMEOUT_S = 25.0
# As between 33 daemons of a data centre.
HEARTBEAT_S = 1.0
LOST_AFTER_S = (heartbeat_intervals.MISSED_HEARTBEATS_MAX + 2) * HEARTBEAT_S


async def test_dropped_route_is_refused_in_time_by_two_gateways():
    async with platform_site.running_site(gateways=2) as site:
        late = await late_changes(site, AFTER_CHANGE_S, are_peers_silent=False)
        assert not late, late


async def test_dropped_route_is_refused_in_time_by_six_gateways_without_peers():
    async with platform_site.running_site(gateways=6) as site:
        late = await late_changes(site, AFTER_CHANGE_S[:1], are_peers_silent=True)
        assert not late, late


async def test_dropped_route_is_refused_in_time_when_a_few_daemons_follow():
    async with running_large_site(gateways=5) as site:
        late = await late_changes(site, AFTER_CHANGE_S[:1], are_peers_silent=False)
        assert not late, late


async def test_dropped_route_is_refused_in_time_when_followers_are_not_heard():
    async with running_large_site(gateways=5) as site:
        late = await late_changes(site, AFTER_CHANGE_S[:1], are_peers_silent=True)
        assert not late, late


async def test_dropped_route_is_refused_in_time_when_followers_take_turns():
    async with running_large_site(gateways=5, followers=3) as site:
        late = await late_changes(site, AFTER_CHANGE_S, are_peers_silent=False)
        assert not late, late


async def test_dropped_route_is_refused_in_time_when_taking_turns_without_peers():
    async with running_large_site(gateways=5, followers=3) as site:
        late = await late_changes(site, AFTER_CHANGE_S[:1], are_peers_silent=True)
        assert not late, late


async def test_peers_do_not_count_as_lost_while_only_their_connections_are():
    slow = unittest.mock.patch.object(
        heartbeat_intervals, "WORK_PEERS_MIN_S", HEARTBEAT_S
    )
    with slow:
        async with platform_site.running_site(gateways=3) as site:
            await asyncio.sleep(HEARTBEAT_S)
            site.silence_peer_connections()
            await asyncio.sleep(LOST_AFTER_S)
            texts = [one.daemon.components.counts.text() for one in site.gateways]
    assert all('peers_lost_total{reason="silent"}' not in text for text in texts)


async def test_pooled_connections_to_a_silent_peer_are_not_used_again():
    async with platform_site.running_site(gateways=2) as site:
        cut_off, peer = site.gateways
        components = cut_off.daemon.components
        vm = peer.gateway_settings.vm
        relay_address = fleet.Address(vm.host, vm.relay_port)
        await site.wait_until(lambda: all(relay_ports_known(site)))
        cut_off.paths.cut(runner_paths.Cut.NEW_REFUSED)
        assert await components.reach.confirm_cut_off()
        assert (await site.call("/read/x", "r1", on=cut_off)).status == 200
        assert components.peer_client.idle_count(relay_address) == 1
        site.silence_peer_connections()
        await site.wait_until(lambda: not components.peers.table.live)
        assert components.peer_client.idle_count(relay_address) == 0


def relay_ports_known(site) -> list[bool]:
    tables = (one.daemon.components.peers.table for one in site.gateways)
    return [any(peer.relay_port for peer in table.live) for table in tables]


@contextlib.asynccontextmanager
async def running_large_site(gateways: int, followers: int = 1):
    """Yield a site where a few of its daemons follow the store for all."""
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    few = unittest.mock.patch.object(store_followers, "FOLLOWERS_MAX", followers)
    with limit, few:
        async with platform_site.running_site(gateways=gateways) as site:
            yield site


async def late_changes(
    site, after_change_s: tuple[float, ...], are_peers_silent: bool
) -> list[str]:
    """Return the plays in which a gateway has run a dropped route too late."""
    late = []
    version = 1
    for after_s in after_change_s:
        for before_s in BEFORE_CHANGE_S:
            version += 2
            late += await play(site, version, after_s, before_s, are_peers_silent)
    return late


async def play(
    site, version: int, after_s: float, before_s: float, are_peers_silent: bool
) -> list[str]:
    put_version(site, version - 1, has_orders=True)
    await until_taken(site, version - 1)
    await asyncio.sleep(after_s)
    site.silence_store_connections()
    if are_peers_silent:
        site.silence_peer_connections()
    await asyncio.sleep(before_s)
    put_version(site, version, has_orders=False)
    start_s = time.monotonic()
    await asyncio.sleep(CONFIG_S)
    answers = await asyncio.gather(
        *(site.call("/order/x", f"o{version}", on=one) for one in site.gateways)
    )
    late_count = sum(answer.status != 404 for answer in answers)
    await until_taken(site, version)
    taken_s = time.monotonic() - start_s
    if not late_count:
        return []
    return [f"{late_count} late, {after_s=} {before_s=}, known after {taken_s:.1f} s"]


def put_version(site, version: int, has_orders: bool) -> None:
    configuration = platform_site.make_configuration(version)
    if not has_orders:
        routes = [one for one in configuration["routes"] if one["name"] != "order"]
        configuration["routes"] = routes
    site.store.put_json("op", "config", configuration)


async def until_taken(site, version: int) -> None:
    await site.wait_until(
        lambda: all(
            one.daemon.configuration_version == version for one in site.gateways
        ),
        TAKEN_TIMEOUT_S,
    )
