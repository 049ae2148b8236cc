"""Tests of how soon daemons know what is new after an outage of the store."""

import asyncio
import contextlib

from standins import platform_site, platform_store, slope_dead_rows

DEAD_ROWS = 100
DEAD_PORT = 1
ROWS_READ_S = 0.5
# Pauses that double from 0.25 s and, later, 0.3 s have begun to last 4 s.
OUTAGE_S = 4.5
LIST_OUTAGE_S = 6.0
# Operators allow two seconds from an acknowledged change until it is in force.
IN_FORCE_S = 2.0


@contextlib.asynccontextmanager
async def site_after_outage(outage_s: float):
    """Yield a site whose store is back, and holds rows of ended daemons."""
    async with platform_site.running_site(gateways=0) as site:
        slope_dead_rows.add_dead_rows(site.store, DEAD_ROWS, DEAD_PORT)
        for _ in range(2):
            await site.add_gateway(("127.0.0.1:1",))
        await asyncio.sleep(ROWS_READ_S)
        site.store.mode = platform_store.StoreMode.BUSY
        # Waiting feeds end now, so that all daemons fail at the same moment.
        site.store.forget_history()
        await asyncio.sleep(outage_s)
        site.store.mode = platform_store.StoreMode.HEALTHY
        yield site


async def test_change_after_an_outage_does_not_wait_for_rows_of_ended_daemons():
    async with site_after_outage(OUTAGE_S) as site:
        daemons = [running.daemon for running in site.gateways]
        site.store.put_json("op", "config", platform_site.make_configuration(2))
        await site.wait_until(
            lambda: all(daemon.configuration_version == 2 for daemon in daemons),
            IN_FORCE_S,
        )


async def test_list_of_runners_after_an_outage_does_not_wait_for_such_rows():
    async with site_after_outage(LIST_OUTAGE_S) as site:
        rosters = [running.daemon.components.roster for running in site.gateways]
        site.store.delete("servers", site.ledgers[0].runner_id)
        back_version = site.store.version
        await site.wait_until(
            lambda: all(roster.version.version >= back_version for roster in rosters),
            IN_FORCE_S,
        )
