"""Tests of runners that send bytes without end."""

import asyncio
import time

from lacewingdrum_gateway.gateway_test import ASK, EVENTS
from standins import platform_site
from standins.platform_runner import Fault

# What the daemon and both kernels may hold of one answer without end.
TAKEN_MAX_BYTES = 16 * 1024 * 1024
# Callers have 4 s.
ANSWERED_S = 2.0
KEPT_MAX_BYTES = 64 * 1024


async def suspicion_count(site) -> float:
    vm = site.gateways[0].gateway_settings.vm
    answer = await site.client.request(
        platform_site.fleet.Address(vm.host, vm.metrics_port), "GET", "/metrics"
    )
    lines = answer.ok_value.body.decode().splitlines()
    counts = [
        line for line in lines if line.startswith("lacewingdrum_runner_suspicions")
    ]
    return sum(float(line.rsplit(" ", 1)[1]) for line in counts)


async def check_endless_answer(path: str, fault: Fault, **changes) -> None:
    """Check what caller, runner and daemon make of such an answer."""
    async with platform_site.running_site(engines=1, ledgers=1) as site:
        (runner,) = site.engines if path.startswith("/ask") else site.ledgers
        runner.faults = [fault]
        start_s = time.monotonic()
        answer = await site.call(path, "a1", **changes)
        assert answer.status == 502, answer.status
        assert time.monotonic() - start_s < ANSWERED_S
        await site.wait_until(lambda: runner.endless.closed_count == 1)
        assert runner.endless.sent_bytes < TAKEN_MAX_BYTES
        assert await suspicion_count(site) == 1


async def test_head_without_end_ends_its_attempt():
    await check_endless_answer("/order/x", Fault.ENDLESS_HEAD)
    await check_endless_answer("/ask/x", Fault.ENDLESS_HEAD, headers=ASK)


async def test_line_or_field_without_end_ends_its_attempt():
    for fault in (
        Fault.ENDLESS_STATUS,
        Fault.ENDLESS_HEADERS,
        Fault.ENDLESS_LENGTH,
        Fault.ENDLESS_EXTENSION,
        Fault.ENDLESS_TRAILERS,
    ):
        await check_endless_answer("/order/x", fault)


async def test_bytes_without_end_after_an_answer_close_its_connection():
    async with platform_site.running_site(engines=1, ledgers=1) as site:
        (runner,) = site.ledgers
        runner.faults = [Fault.ENDLESS_SURPLUS]
        answer = await site.call("/order/x", "o1")
        assert answer.status == 200 and answer.body == b"done"
        await site.wait_until(lambda: runner.endless.closed_count == 1)
        assert runner.endless.sent_bytes < TAKEN_MAX_BYTES


async def test_interim_responses_without_end_end_their_attempt():
    await check_endless_answer("/order/x", Fault.ENDLESS_INTERIM)


async def test_body_without_end_ends_its_attempt():
    await check_endless_answer("/order/x", Fault.ENDLESS_BODY)
    await check_endless_answer("/order/x", Fault.ENDLESS_FAILURE)


async def test_event_without_end_ends_its_attempt():
    await check_endless_answer("/ask/x", Fault.ENDLESS_BODY, headers=ASK)


async def test_request_whose_answer_has_no_end_is_answered_elsewhere():
    async with platform_site.running_site() as site:
        for fault in (Fault.ENDLESS_HEAD, Fault.ENDLESS_BODY):
            shared = [fault]
            for runner in (*site.engines, *site.ledgers):
                runner.faults = shared
            stream = await site.call("/ask/x", f"s{fault.value}", headers=ASK)
            shared.append(fault)
            read = await site.call("/read/x", f"r{fault.value}")
            assert stream.body == EVENTS and read.status == 200


async def test_answers_without_end_together_hold_a_bounded_amount():
    async with platform_site.running_site(engines=1, ledgers=1) as site:
        runner = site.ledgers[0]
        runner.faults = [Fault.ENDLESS_BODY] * 30
        calls = [site.call("/order/x", f"o{number}") for number in range(30)]
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} == {502}
        # What the kernels hold is counted too.
        limits = site.gateways[0].gateway_settings.limits
        assert runner.endless.sent_bytes < 0.5 * limits.memory_mb * 1_000_000


async def test_answers_without_end_to_memory_commands_are_not_taken_whole():
    async with platform_site.running_site(engines=4) as site:
        for engine in site.engines:
            engine.has_endless_commands = True
        large = platform_site.prompt_headers(900_000, 1_000)
        answer = await site.call("/ask/x", "a1", headers=large)
        assert answer.status == 503
        sent_bytes = sum(one.endless.sent_bytes for one in site.engines)
        assert sent_bytes < TAKEN_MAX_BYTES * len(site.engines)
        assert await suspicion_count(site) > 0


async def test_empty_lines_of_a_runner_do_not_precede_the_events_of_another():
    async with platform_site.running_site() as site:
        shared = [Fault.ENDLESS_LINES]
        for engine in site.engines:
            engine.faults = shared
        answer = await site.call("/ask/x", "a1", headers=ASK)
        assert answer.status == 200
        assert answer.body == EVENTS, (len(answer.body), answer.body[:8])
