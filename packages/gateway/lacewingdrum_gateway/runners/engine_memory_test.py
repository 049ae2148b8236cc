import asyncio
import contextlib
import unittest.mock

from lacewingdrum_gateway import settings
from lacewingdrum_gateway.gateway_test import EVENTS
from lacewingdrum_gateway.runners import (
    engine_commands,
    engine_memory,
    held_memory,
)
from standins import platform_runner, platform_site

PATIENCE_MS = 15_000
LARGE_PROMPT = platform_site.prompt_headers(900_000, PATIENCE_MS)
# Operators allow this time from the end of a request until its memory is free.
RELEASE_MAX_S = 4.0


# Operators allow memory that no request has used to be held for this long.
UNUSED_MAX_MS = 5_200
# An engine's own account of time, beside the daemon's.
CLOCK_TOLERANCE_S = 0.1
# A sound engine may be out of reach for so long.
DARK_S = 1.0


async def serve_long_digests(site) -> None:
    """Configure a route whose requests wait long for their first event."""
    digest = platform_site.make_route(
        "digest", "stream", platform_site.MODEL, timeout_ms=PATIENCE_MS
    )
    site.store.put_json(
        "op", "config", platform_site.make_configuration(2, routes=[digest])
    )
    gateway = site.gateways[0].daemon
    await site.wait_until(lambda: gateway.configuration_version == 2)


async def hold_memory_at_silent_engines(site, is_used: bool) -> asyncio.Future:
    """Send a prompt that an engine accepts and never answers."""
    await serve_long_digests(site)
    for engine in site.engines:
        engine.faults = [platform_runner.Fault.SILENT]
    call = asyncio.ensure_future(site.call("/digest/x", "d1", headers=LARGE_PROMPT))
    await site.wait_until(lambda: any(one.arrivals for one in site.engines))
    for engine in site.engines:
        for reservation in engine.reserved.values():
            reservation.is_used = is_used
    return call


def longest_hold_s(site) -> float:
    return max(
        item.until_s - item.reserved_s
        for one in site.engines
        for item in one.reserved.values()
    )


async def test_memory_of_a_request_that_an_engine_does_not_start_is_not_renewed():
    bounds = settings.BoundsSettings(memory_unused_max_ms=UNUSED_MAX_MS)
    async with platform_site.running_site(engines=4, bounds=bounds) as site:
        call = await hold_memory_at_silent_engines(site, is_used=False)
        await asyncio.sleep(UNUSED_MAX_MS / 1_000)
        assert longest_hold_s(site) < UNUSED_MAX_MS / 1_000 + CLOCK_TOLERANCE_S
        call.cancel()


async def test_memory_that_a_running_request_uses_is_renewed_beyond_the_limit():
    bounds = settings.BoundsSettings(memory_unused_max_ms=UNUSED_MAX_MS)
    async with platform_site.running_site(engines=4, bounds=bounds) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        await asyncio.sleep(UNUSED_MAX_MS / 1_000)
        assert reservation_count(site) > 0
        call.cancel()


async def test_memory_expires_when_the_decoding_engine_stops_accepting_connections():
    async with platform_site.running_site(engines=4) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        (decoder,) = [one for one in site.engines if one.arrivals]
        # Leases are renewed while the decoding engine accepts connections.
        await asyncio.sleep(engine_memory.LEASE_MS / 1_000)
        assert reservation_count(site) > 0
        decoder.stop_listening()
        await asyncio.sleep(RELEASE_MAX_S)
        assert reservation_count(site) == 0
        call.cancel()


def held_names(site) -> set[tuple[int, str]]:
    """Return the ports of engines and the ids of reservations held there."""
    now_s = asyncio.get_running_loop().time()
    return {
        (one.port, name)
        for one in site.engines
        for name, item in one.reserved.items()
        if item.until_s > now_s
    }


def reservation_count(site) -> int:
    return len(held_names(site))


async def find_decoder(site) -> platform_runner.PlatformRunner:
    """Return the engine that a request is at, once its memory is renewed."""
    await asyncio.sleep(held_memory.RENEW_INTERVAL_S + CLOCK_TOLERANCE_S)
    assert reservation_count(site) > 0
    (decoder,) = [one for one in site.engines if one.arrivals]
    return decoder


@contextlib.asynccontextmanager
async def memory_that_expires(site):
    """Check that the memory that is held now is free in time."""
    held = held_names(site)
    assert held
    yield
    await asyncio.sleep(RELEASE_MAX_S)
    assert not held & held_names(site)


async def test_memory_is_not_renewed_for_the_next_incarnation_of_a_crashed_engine():
    # Leases were renewed if anything accepted connections there.
    async with platform_site.running_site(engines=4) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        decoder = await find_decoder(site)
        async with memory_that_expires(site):
            # The list is behind.
            decoder.born_ms += 1
        call.cancel()


async def test_memory_is_not_renewed_for_another_runner_at_the_address_of_an_engine():
    # Leases were renewed if anything accepted connections there.
    async with platform_site.running_site(engines=4) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        decoder = await find_decoder(site)
        async with memory_that_expires(site):
            decoder.runner_id += "-again"
        call.cancel()


async def test_memory_is_not_renewed_once_a_helper_was_replaced_and_lost_its_part():
    # A reborn helper got a new part with each renewal.
    async with platform_site.running_site(engines=4) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        decoder = await find_decoder(site)
        (helper, *_) = [one for one in site.engines if one.reserved]
        assert helper is not decoder
        # The list is behind.
        helper.born_ms += 1
        lost = set(helper.reserved)
        helper.reserved.clear()
        async with memory_that_expires(site):
            await asyncio.sleep(held_memory.RENEW_INTERVAL_S)
        assert lost and not lost & set(helper.reserved)
        call.cancel()


async def test_request_goes_on_elsewhere_once_a_helper_was_replaced():
    # The request stayed with an engine that had lost a helper.
    async with platform_site.running_site(engines=8) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        (helper, *_) = [one for one in site.engines if one.reserved]
        # One that says who it is only after it was reborn is no other one.
        await site.wait_until(lambda: helper.report_count > 0)
        for engine in site.engines:
            engine.faults = []
        helper.born_ms += 1
        async with asyncio.timeout(RELEASE_MAX_S):
            answer = await call
        assert answer.status == 200 and answer.body == EVENTS


async def test_memory_is_renewed_for_helpers_that_were_reborn_before_the_request():
    async with platform_site.running_site(engines=4) as site:
        for engine in site.engines[1:]:
            # The list is behind.
            engine.born_ms += 1
        call = await hold_memory_at_silent_engines(site, is_used=True)
        held = held_names(site)
        await asyncio.sleep(engine_memory.LEASE_MS / 1_000 + CLOCK_TOLERANCE_S)
        assert held and held_names(site) == held
        call.cancel()


async def test_memory_is_not_renewed_for_an_engine_that_does_not_say_who_it_is():
    # Leases were renewed if anything accepted connections there.
    async with platform_site.running_site(engines=4) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        decoder = await find_decoder(site)
        async with memory_that_expires(site):
            decoder.is_born_reported = False
        call.cancel()


async def test_memory_is_renewed_for_an_engine_that_was_reborn_before_the_request():
    async with platform_site.running_site(engines=4) as site:
        for engine in site.engines:
            # The list is behind.
            engine.born_ms += 1
        call = await hold_memory_at_silent_engines(site, is_used=True)
        held = held_names(site)
        await asyncio.sleep(engine_memory.LEASE_MS / 1_000 + CLOCK_TOLERANCE_S)
        assert held and held_names(site) == held
        call.cancel()


async def test_memory_is_renewed_after_its_decoding_engine_was_silent_for_a_moment():
    async with platform_site.running_site(engines=4) as site:
        call = await hold_memory_at_silent_engines(site, is_used=True)
        (decoder,) = [one for one in site.engines if one.arrivals]
        decoder.ignores_commands = True
        await asyncio.sleep(held_memory.RENEW_INTERVAL_S + DARK_S)
        decoder.ignores_commands = False
        await asyncio.sleep(engine_memory.LEASE_MS / 1_000 + CLOCK_TOLERANCE_S)
        assert reservation_count(site) > 0
        call.cancel()


async def test_memory_is_kept_if_a_renewal_gets_no_answer_in_time():
    async with platform_site.running_site(engines=4) as site:
        real = engine_memory.EngineMemory.reserve_part
        loop = asyncio.get_running_loop()
        start_s = loop.time()

        async def reserve_part(memory, entry, held):
            if 1.0 < loop.time() - start_s < held_memory.RENEW_INTERVAL_S + 0.5:
                await asyncio.sleep(engine_commands.CALL_TIMEOUT_S)
                return engine_memory.MemoryRefused(entry, "timeout", True)
            return await real(memory, entry, held)

        with unittest.mock.patch.object(
            engine_memory.EngineMemory, "reserve_part", reserve_part
        ):
            call = await hold_memory_at_silent_engines(site, is_used=True)
            await asyncio.sleep(engine_memory.LEASE_MS / 1_000 + 1.0)
            held = [item for one in site.engines for item in one.reserved.values()]
            assert held and all(item.reserved_s < start_s + 1.0 for item in held)
        call.cancel()
