"""Tests of a store that returns from a copy and has lost its last writes."""

import asyncio

from standins import platform_site

LEDGER = platform_site.LEDGER
# A list of runners is read when the newest one is older than 0.65 s.
LIST_READ_S = 1.5
REGISTRATION_S = 3.0
LATER_WRITES = 400


def advance_version(site, count: int = LATER_WRITES) -> None:
    """Write rows that concern nobody, as other users of the store do."""
    for number in range(count):
        site.store.put("other", "key", str(number).encode())


async def test_list_of_the_new_era_is_taken_although_its_version_is_lower():
    async with platform_site.running_site() as site:
        copied = site.store.copy()
        advance_version(site)
        await asyncio.sleep(LIST_READ_S)
        site.store.restore(copied)
        one, other = site.ledgers
        site.store.put_json("servers", one.runner_id, one.entry(LEDGER, "draining"))
        await asyncio.sleep(LIST_READ_S)
        for number in range(8):
            assert (await site.call("/read/x", f"r{number}")).status == 200
        assert not one.arrivals and other.arrivals


async def test_version_written_below_the_position_of_the_feed_comes_into_force():
    async with platform_site.running_site() as site:
        daemon = site.gateways[0].daemon
        copied = site.store.copy()
        advance_version(site, 10)
        site.store.put_json("op", "config", platform_site.make_configuration(4))
        await site.wait_until(lambda: daemon.configuration_version == 4)
        site.store.restore(copied)
        site.store.put_json("op", "config", platform_site.make_configuration(9))
        advance_version(site)
        await site.wait_until(lambda: daemon.configuration_version == 9)


async def test_configuration_in_force_does_not_go_back_with_the_store():
    async with platform_site.running_site() as site:
        daemon = site.gateways[0].daemon
        copied = site.store.copy()
        site.store.put_json("op", "config", platform_site.make_configuration(4))
        await site.wait_until(lambda: daemon.configuration_version == 4)
        site.store.restore(copied)
        await asyncio.sleep(LIST_READ_S)
        assert daemon.configuration_version == 4
        late = await site.add_gateway(("127.0.0.1:1",))
        await site.wait_until(lambda: late.daemon.configuration_version == 4)


async def test_daemons_write_their_rows_again_after_each_return():
    site = platform_site.PlatformSite()
    try:
        await site.start()
        copied = site.store.copy()
        await site.add_gateway()
        await site.add_gateway(("127.0.0.1:1",))
        addresses = site.store.keys("daemons")
        assert len(addresses) == 2
        for _ in range(2):
            site.store.restore(copied)
            await site.wait_until(
                lambda: site.store.keys("daemons") == addresses, REGISTRATION_S
            )
    finally:
        await site.close()
