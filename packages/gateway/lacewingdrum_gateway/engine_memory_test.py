import asyncio

from lacewingdrum_gateway import engine_memory
from standins import platform_runner, platform_site

PATIENCE_MS = 15_000
LARGE_PROMPT = platform_site.prompt_headers(900_000, PATIENCE_MS)
# Operators allow this time from the end of a request until its memory is free.
RELEASE_MAX_S = 4.0


async def test_memory_expires_when_the_decoding_engine_stops_accepting_connections():
    async with platform_site.running_site(engines=4) as site:
        digest = platform_site.make_route(
            "digest", "stream", platform_site.MODEL, timeout_ms=PATIENCE_MS
        )
        site.store.put_json(
            "op", "config", platform_site.make_configuration(2, routes=[digest])
        )
        gateway = site.gateways[0].daemon
        await site.wait_until(lambda: gateway.configuration_version == 2)
        for engine in site.engines:
            engine.faults = [platform_runner.Fault.SILENT]
        call = asyncio.ensure_future(site.call("/digest/x", "d1", headers=LARGE_PROMPT))
        await site.wait_until(lambda: any(one.arrivals for one in site.engines))
        (decoder,) = [one for one in site.engines if one.arrivals]
        # Leases are renewed while the decoding engine accepts connections.
        await asyncio.sleep(engine_memory.LEASE_MS / 1_000)
        assert reservation_count(site) > 0
        decoder.stop_listening()
        await asyncio.sleep(RELEASE_MAX_S)
        assert reservation_count(site) == 0
        call.cancel()


def reservation_count(site) -> int:
    now_s = asyncio.get_running_loop().time()
    return sum(
        item.until_s > now_s for one in site.engines for item in one.reserved.values()
    )
