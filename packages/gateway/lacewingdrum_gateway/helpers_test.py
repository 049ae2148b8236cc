import asyncio
import re

from standins import platform_site, platform_store

DIGEST = platform_site.prompt_headers(260_000)
ENGINES = 8
REFUSING_HELPERS = 4
BROADCAST_S = 0.3
# The choice of engines is random; each request names one refusing helper or
# more with a probability of over a half.
REQUESTS_MAX = 20
LARGE_PROMPT = platform_site.prompt_headers(900_000)
# One attempt finds all dead helpers, one finds a dead decoding engine, where
# no memory is reserved, and one avoids them all.
LARGE_PROMPT_ATTEMPTS_MAX = 3


def refuse_help(site) -> set[str]:
    """Make half of the engines refuse to help, which no runner list shows."""
    refusing = {engine.address for engine in site.engines[:REFUSING_HELPERS]}
    site.store.mode = platform_store.StoreMode.BUSY
    for engine in site.engines:
        engine.refusing_helpers = refusing
    return refusing


def helper_addresses(site) -> list[str]:
    return [
        helper
        for engine in site.engines
        for arrival in engine.arrivals
        for helper in arrival.headers.get("helpers", "").split(",")
    ]


async def test_prompt_finds_helpers_when_the_list_misses_draining_engines():
    async with platform_site.running_site(engines=ENGINES) as site:
        refuse_help(site)
        answer = await site.call("/digest/x", "d1", headers=DIGEST)
        assert answer.status == 200
        firsts = [engine for engine in site.engines if engine.arrivals]
        assert len(firsts) <= 2, "sent to more runners than the route allows"


async def test_helper_that_refused_one_daemon_is_not_used_by_its_peers():
    async with platform_site.running_site(engines=ENGINES, gateways=2) as site:
        refuse_help(site)
        for number in range(REQUESTS_MAX):
            await site.call("/digest/x", f"d{number}", headers=DIGEST)
            # An engine names one of its refusing helpers. The others have
            # refused nothing that a gateway could know of.
            refused = set().union(*(engine.named_helpers for engine in site.engines))
            if refused:
                break
        assert refused
        await asyncio.sleep(BROADCAST_S)
        for engine in site.engines:
            engine.arrivals.clear()
        answer = await site.call("/digest/x", "x", headers=DIGEST, on=site.gateways[1])
        assert answer.status == 200
        assert not set(helper_addresses(site)) & refused


async def test_all_unreachable_engines_are_excluded_within_few_attempts():
    async with platform_site.running_site(engines=ENGINES) as site:
        site.store.mode = platform_store.StoreMode.BUSY
        for engine in site.engines[:REFUSING_HELPERS]:
            await engine.close()
        answer = await site.call("/digest/x", "d1", headers=LARGE_PROMPT)
        assert answer.status == 200
        vm = site.gateways[0].gateway_settings.vm
        address = platform_site.fleet.Address(vm.host, vm.metrics_port)
        metrics = await site.client.request(address, "GET", "/metrics")
        text = metrics.ok_value.body.decode()
        (count,) = re.findall(r'attempts_total{service="model"} (\d+)', text)
        assert int(count) <= LARGE_PROMPT_ATTEMPTS_MAX
