import asyncio

from standins import platform_site

VERSIONS = 25
VERSION_INTERVAL_S = 0.04
# Includes the reads of the runner list during the burst of one second.
CALLS_MAX = 12
APPLIED_TIMEOUT_S = 1.0


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
