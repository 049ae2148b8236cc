"""Tests of how soon a change is in force after an outage of the store."""

import asyncio

from standins import platform_site, platform_store, slope_dead_rows

DEAD_ROWS = 100
DEAD_PORT = 1
ROWS_READ_S = 0.5
OUTAGE_S = 4.5
# Operators allow two seconds from an acknowledged change until it is in force.
IN_FORCE_S = 2.0


async def test_change_after_an_outage_does_not_wait_for_rows_of_ended_daemons():
    async with platform_site.running_site(gateways=0) as site:
        slope_dead_rows.add_dead_rows(site.store, DEAD_ROWS, DEAD_PORT)
        for _ in range(2):
            await site.add_gateway(("127.0.0.1:1",))
        await asyncio.sleep(ROWS_READ_S)
        daemons = [running.daemon for running in site.gateways]
        site.store.mode = platform_store.StoreMode.BUSY
        # Waiting feeds end now, so that all daemons fail at the same moment.
        site.store.forget_history()
        await asyncio.sleep(OUTAGE_S)
        site.store.mode = platform_store.StoreMode.HEALTHY
        site.store.put_json("op", "config", platform_site.make_configuration(2))
        await site.wait_until(
            lambda: all(daemon.configuration_version == 2 for daemon in daemons),
            IN_FORCE_S,
        )
