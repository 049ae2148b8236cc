import asyncio
import json
import re
import unittest.mock

from lacewingdrum_coordination import store_deadlines, store_followers
from lacewingdrum_gateway import configuration_sync
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_protocol import peer_messages
from standins import platform_site

VERSIONS = 25
VERSION_INTERVAL_S = 0.04
# Includes the reads of the runner list during the burst of one second.
CALLS_MAX = 12
APPLIED_TIMEOUT_S = 1.0
# Operators allow two seconds from an acknowledged change until it is in force.
TAKE_OVER_S = 2.0
CALM_S = 3.0
HEARD_TIMEOUT_S = 20.0
SENT_BYTES = re.compile(r"^lacewingdrum_configuration_sent_bytes_total (\S+)$", re.M)


async def test_versions_in_quick_succession_are_read_in_few_calls():
    async with platform_site.running_site() as site:
        daemon = site.gateways[0].daemon
        before = site.store.call_count
        for version in range(2, VERSIONS + 2):
            site.store.put_json(
                "op", "config", platform_site.make_configuration(version)
            )
            await asyncio.sleep(VERSION_INTERVAL_S)
        await site.wait_until(
            lambda: daemon.configuration_version == VERSIONS + 1, APPLIED_TIMEOUT_S
        )
        assert site.store.call_count - before <= CALLS_MAX


async def test_change_reaches_daemons_that_do_not_follow_the_store():
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    few = unittest.mock.patch.object(store_followers, "FOLLOWERS_MAX", 1)
    with limit, few:
        async with platform_site.running_site(gateways=5) as site:
            site.store.put_json("op", "config", platform_site.make_configuration(2))
            await wait_for_version(site, 2, APPLIED_TIMEOUT_S)
            await asyncio.sleep(2 * store_deadlines.FEED_PAUSE_MAX_S)
            feeds = site.store.waiting_feeds
            assert feeds == 1, f"{feeds} daemons follow the store"


async def test_feeds_of_followers_that_take_turns_make_few_calls():
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    with limit:
        async with platform_site.running_site(gateways=5) as site:
            await until_all_hear_each_other(site)
            # They take turns after two rounds.
            await asyncio.sleep(TAKE_OVER_S)
            before = site.store.call_counts["feed op"]
            await asyncio.sleep(CALM_S)
            calls = site.store.call_counts["feed op"] - before
    turn_s = store_deadlines.StoreDeadlines(TAKE_OVER_S).feed_turn_s
    assert calls <= CALM_S / turn_s + 2, calls


async def test_daemons_that_follow_others_read_the_store_more_rarely_in_a_large_fleet():
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    few = unittest.mock.patch.object(store_followers, "FOLLOWERS_MAX", 1)
    often = unittest.mock.patch.object(
        configuration_sync, "UNFOLLOWED_READ_S", CALM_S / 3
    )
    with limit, few, often:
        async with platform_site.running_site(gateways=6) as site:
            await until_all_hear_each_other(site)
            # Waits that began before all were heard end.
            await asyncio.sleep(CALM_S / 3)
            before = site.store.read_counts["op"]
            await asyncio.sleep(CALM_S)
            others = len(site.gateways) - 1
            assert site.store.read_counts["op"] - before <= others


async def test_change_is_read_from_the_store_by_followers_only():
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    few = unittest.mock.patch.object(store_followers, "FOLLOWERS_MAX", 1)
    with limit, few:
        async with platform_site.running_site(gateways=6) as site:
            await asyncio.sleep(configuration_sync.REQUEST_INTERVAL_S)
            before = site.store.read_counts["op"]
            for version in (2, 3):
                configuration = platform_site.make_configuration(version)
                site.store.put_json("op", "config", configuration)
                await wait_for_version(site, version, APPLIED_TIMEOUT_S)
            assert site.store.read_counts["op"] == before


async def test_change_is_read_from_the_store_when_no_peer_answers():
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    few = unittest.mock.patch.object(store_followers, "FOLLOWERS_MAX", 1)
    mute = unittest.mock.patch.object(
        configuration_sync.ConfigurationSync,
        "_on_configuration_request",
        lambda *_: None,
    )
    with limit, few, mute:
        async with platform_site.running_site(gateways=4) as site:
            site.store.put_json("op", "config", platform_site.make_configuration(2))
            await wait_for_version(site, 2, TAKE_OVER_S)


async def test_other_daemons_follow_the_store_when_the_follower_has_ended():
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    few = unittest.mock.patch.object(store_followers, "FOLLOWERS_MAX", 1)
    with limit, few:
        async with platform_site.running_site(gateways=4) as site:
            addresses = [one.daemon.peer_address for one in site.gateways]
            (ended,) = [
                one
                for one in site.gateways
                if store_followers.is_follower(one.daemon.peer_address, addresses)
            ]
            site.gateways.remove(ended)
            await ended.daemon.close()
            await site.wait_until(
                lambda: all(one.daemon.peer_count == 2 for one in site.gateways)
            )
            site.store.put_json("op", "config", platform_site.make_configuration(2))
            await wait_for_version(site, 2, TAKE_OVER_S)


async def test_large_configuration_takes_few_bytes_of_a_daemon_that_many_ask():
    routes = [
        platform_site.make_route(f"r{number}", "idempotent", platform_site.LEDGER)
        for number in range(1_400)
    ]
    large = platform_site.make_configuration(3, routes=routes)
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    few = unittest.mock.patch.object(store_followers, "FOLLOWERS_MAX", 1)
    with limit, few:
        async with platform_site.running_site(gateways=6) as site:
            # After a change only the follower waits at the store for the next.
            site.store.put_json("op", "config", platform_site.make_configuration(2))
            await wait_for_version(site, 2, TAKE_OVER_S)
            await asyncio.sleep(2 * store_deadlines.FEED_PAUSE_MAX_S)
            site.store.put_json("op", "config", large)
            await wait_for_version(site, 3, TAKE_OVER_S)
            texts = [one.daemon.components.counts.text() for one in site.gateways]
    sent_bytes = sum(float(number) for number in SENT_BYTES.findall("".join(texts)))
    # Five daemons were sent it.
    assert 0 < sent_bytes < 5 * len(json.dumps(large)) / 5


async def test_daemon_of_an_older_version_gets_the_configuration_unpacked():
    async with platform_site.running_site(gateways=2) as site:
        sync = site.gateways[0].daemon.components.configurations
        sent = []
        sync._peers.send = lambda address, body: sent.append(body) or True
        older = peer_messages.ConfigurationRequest(0)
        sync._on_configuration_request("10.0.0.1:7", older)
        assert json.loads(sent[0].text)["version"] == 1 and not sent[0].is_packed


async def until_all_hear_each_other(site) -> None:
    others = len(site.gateways) - 1
    await site.wait_until(
        lambda: all(one.daemon.peer_count == others for one in site.gateways),
        HEARD_TIMEOUT_S,
    )


async def wait_for_version(site, version: int, timeout_s: float) -> None:
    await site.wait_until(
        lambda: all(
            one.daemon.configuration_version == version for one in site.gateways
        ),
        timeout_s,
    )
