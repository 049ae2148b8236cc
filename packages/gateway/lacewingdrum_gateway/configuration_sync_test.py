import asyncio

from standins import platform_site

VERSIONS = 25
GAP_S = 0.04
# Calls to the store of a daemon in the storm's second, its list reads too.
CALLS_MAX = 12
IN_FORCE_S = 1.0


async def test_versions_in_quick_succession_are_read_together():
    async with platform_site.running_site() as site:
        daemon = site.gateways[0].daemon
        before = site.store.call_count
        for version in range(2, VERSIONS + 2):
            site.store.put_json("op", "config", platform_site.configuration(version))
            await asyncio.sleep(GAP_S)
        await site.until(
            lambda: daemon.configuration_version == VERSIONS + 1, IN_FORCE_S
        )
        assert site.store.call_count - before <= CALLS_MAX
