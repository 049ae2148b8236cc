"""Tests of the rows that daemons write to the store's table of daemons."""

import asyncio
import contextlib
import unittest.mock

from lacewingdrum_gateway.peers import candidate_addresses, daemon_registry, peer_table
from lacewingdrum_protocol import daemon_row_values
from standins import platform_site, slope_dead_rows

MANY_ROWS = 1_100
ROWS_READ_S = 2.5
DEAD_PORT = 1
# The times of ``short_times``.
TERM_S = 1.0
DEAD_ROWS = 120
REMOVED_S = 6.0
HEARD_S = 2.0


@contextlib.contextmanager
def short_times():
    """Let rows last for a second, read several times in it."""
    with contextlib.ExitStack() as stack:
        for module, name, value in (
            (daemon_registry, "TABLE_READ_INTERVAL_S", 0.2),
            (daemon_registry, "RENEWAL_INTERVAL_S", TERM_S / 4),
            (daemon_registry, "REMOVAL_PAUSE_S", 0.05),
            (daemon_row_values, "UNSTATED_TERM_S", TERM_S),
        ):
            stack.enter_context(unittest.mock.patch.object(module, name, value))
        yield


def addresses_of(site) -> list[str]:
    return sorted(one.daemon.peer_address for one in site.gateways)


async def wait_for_rows(site, addresses: list[str]) -> None:
    await site.wait_until(lambda: site.store.keys("daemons") == addresses, REMOVED_S)


async def test_rows_of_ended_daemons_of_any_build_are_removed_and_live_ones_stay():
    with short_times():
        async with platform_site.running_site(gateways=3) as site:
            slope_dead_rows.add_dead_rows(site.store, DEAD_ROWS, DEAD_PORT)
            ended = site.gateways.pop()
            await ended.daemon.close()
            assert ended.daemon.peer_address in site.store.keys("daemons")
            await wait_for_rows(site, addresses_of(site))
            await asyncio.sleep(2 * TERM_S)
            assert site.store.keys("daemons") == addresses_of(site)
            texts = [one.daemon.components.counts.text() for one in site.gateways]
            removed = ["daemon_rows_removed_total" in text for text in texts]
            assert sorted(removed) == [False, True], "one daemon removes rows"


async def test_rows_of_live_daemons_stay_if_they_do_not_hear_each_other():
    deaf = unittest.mock.patch.object(candidate_addresses, "DIALLED_MAX", 0)
    with short_times(), deaf:
        async with platform_site.running_site(gateways=0) as site:
            for _ in range(2):
                await site.add_gateway(("127.0.0.77:1",))
            for _ in range(30):
                await asyncio.sleep(TERM_S / 10)
                assert site.store.keys("daemons") == addresses_of(site)
            assert not any(one.daemon.peer_count for one in site.gateways)


async def test_row_that_is_not_renewed_stays_while_its_daemon_is_heard():
    with short_times():
        async with platform_site.running_site(gateways=2) as site:
            older = site.gateways[0].daemon
            # Daemons of earlier builds write their row once.
            await older.components.daemon_registry.close()
            site.store.put("daemons", older.peer_address, b"1700000000000")
            await asyncio.sleep(3 * TERM_S)
            assert site.store.keys("daemons") == addresses_of(site)


async def test_row_that_was_removed_by_mistake_is_back_after_the_next_read():
    with short_times():
        async with platform_site.running_site(gateways=2) as site:
            site.store.delete("daemons", site.gateways[0].daemon.peer_address)
            await wait_for_rows(site, addresses_of(site))


async def test_planned_stop_removes_the_row_but_not_that_of_a_later_daemon():
    async with platform_site.running_site(gateways=2) as site:
        leaving, replaced = (one.daemon for one in site.gateways)
        await wait_for_rows(site, addresses_of(site))
        later = daemon_row_values.encode(1, 240.0)
        site.store.put("daemons", replaced.peer_address, later)
        await asyncio.gather(leaving.drain(), replaced.drain())
        assert site.store.keys("daemons") == [replaced.peer_address]


async def test_rows_of_ended_daemons_take_few_sockets_and_hide_no_live_daemon():
    async with platform_site.running_site(gateways=0) as site:
        slope_dead_rows.add_dead_rows(site.store, MANY_ROWS, DEAD_PORT)
        for _ in range(2):
            # No seed is alive: they find each other by their rows.
            await site.add_gateway(("127.0.0.77:1",))
        tables = [one.daemon.components.peers.table for one in site.gateways]
        await site.wait_until(lambda: all(len(table.live) == 1 for table in tables))
        reads_before = site.store.read_counts["daemons"]
        await asyncio.sleep(ROWS_READ_S)
        # A seed and the other daemon come on top.
        most = candidate_addresses.DIALLED_MAX + 2
        assert all(len(table.known) <= most for table in tables)
        assert site.store.read_counts["daemons"] == reads_before
        assert all(table.fleet_size_factor == 1.0 for table in tables)


async def test_daemons_of_a_fleet_that_starts_read_the_rows_once():
    interval = unittest.mock.patch.object(
        daemon_registry, "TABLE_READ_INTERVAL_S", ROWS_READ_S
    )
    limit = unittest.mock.patch.object(peer_table, "EXCHANGE_ALL_PEERS_MAX", 1)
    with interval, limit:
        async with platform_site.running_site(gateways=6) as site:
            await asyncio.sleep(1.2 * ROWS_READ_S)
            assert site.store.read_counts["daemons"] == len(site.gateways)


async def test_rows_are_dialled_as_soon_as_they_are_read():
    rare = unittest.mock.patch.object(daemon_registry, "DIAL_INTERVAL_S", 60.0)
    with rare:
        async with platform_site.running_site(gateways=0) as site:
            for _ in range(2):
                # No seed is alive.
                await site.start_gateway(("127.0.0.77:1",))
                await wait_for_rows(site, addresses_of(site))
            await site.wait_until(
                lambda: all(one.daemon.peer_count for one in site.gateways), HEARD_S
            )
