"""Tests of the rows that daemons write to the store's table of daemons."""

import asyncio

from lacewingdrum_gateway.peers import candidate_addresses
from standins import platform_site, slope_dead_rows

MANY_ROWS = 1_100
ROWS_READ_S = 2.5
DEAD_PORT = 1


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
