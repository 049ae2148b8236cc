"""Tests of what callers are told of attempts that run beside each other."""

import asyncio
import unittest.mock

from lacewingdrum_gateway.cut_off_daemons_test import (
    call_read,
    site_of_four,
    wait_until_cut_off,
)
from lacewingdrum_state import ids
from standins import platform_answers, platform_runner, platform_site
from standins.runner_paths import Cut

SHORT_HEADERS = (("Deadline-Ms", "1500"),)


def handler_of(site, number: int = 0):
    return site.gateways[number].daemon.components.request_handler


def only_active(site, number: int = 0):
    (active,) = handler_of(site, number)._running.values()
    return active


async def test_order_that_is_lost_as_it_is_found_overdue_is_not_said_to_have_not_run():
    async with platform_site.running_site() as site:
        for ledger in site.ledgers:
            ledger.faults = [platform_runner.Fault.SILENT]
        call = asyncio.ensure_future(site.call("/order/x", "o1", headers=SHORT_HEADERS))
        await site.wait_until(lambda: any(one.runs for one in site.ledgers))
        handler, active = handler_of(site), only_active(site)
        (task,) = active.race._attempts.values()

        def end_overdue(_) -> None:
            with unittest.mock.patch.object(handler, "_clock", lambda: float("inf")):
                assert handler.end_overdue() == 1

        task.add_done_callback(end_overdue)
        for ledger in site.ledgers:
            await ledger.close()
        answer = await call
        assert answer.status in (502, 504), (answer.status, answer.body)


async def test_refusal_of_a_peer_is_not_passed_on_while_a_silent_attempt_may_run():
    async with site_of_four() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 5.0
        for running in site.gateways[1:]:
            components = running.daemon.components
            for ledger in site.ledgers:
                entry = components.roster.get(ids.RunnerId(ledger.runner_id))
                now_s = components.clock()
                components.health.pauses.record(entry, now_s + 9.0, now_s)
        call = asyncio.ensure_future(
            site.call("/read/x", "r1", headers=(("Deadline-Ms", "3000"),))
        )
        await site.wait_until(lambda: any(one.runs for one in site.ledgers))
        site.gateways[0].paths.cut(Cut.HANGING)
        answer = await call
        assert answer.status in (502, 504), (answer.status, answer.body)


async def read_slowly(site, attempt_id: str, wait_s: float, headers) -> bytes:
    """Send a read, wait, and return all bytes of the answer."""
    address = site.gateways[0].gateway_settings.vm.caller_address
    reader, writer = await asyncio.open_connection(
        address.host, address.port, limit=4_096
    )
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    writer.write(
        f"POST /read/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {attempt_id}\r\n"
        f"Key: {platform_site.CREDENTIAL}\r\nContent-Length: 1\r\n{lines}\r\nx".encode()
    )
    received = b""
    try:
        await asyncio.sleep(wait_s)
        async with asyncio.timeout(5.0):
            while len(received) < LARGE_BYTES and (
                data := await reader.read(1_000_000)
            ):
                received += data
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()
    return received


LARGE_BYTES = 7_500_000


def large_answers():
    real = platform_answers.send_body

    async def send(answer, body, fault, tasks):
        return await real(answer, b"x" * LARGE_BYTES, fault, tasks)

    return unittest.mock.patch.object(platform_answers, "send_body", send)


async def test_whole_answer_is_not_cut_at_the_deadline_while_its_caller_reads():
    async with platform_site.running_site() as site:
        with large_answers():
            received = await read_slowly(site, "r1", 1.0, (("Deadline-Ms", "600"),))
        assert len(received) > LARGE_BYTES, len(received)


async def test_whole_answer_is_not_cut_by_another_attempt_while_its_caller_reads():
    async with platform_site.running_site() as site:
        with large_answers():
            reading = asyncio.ensure_future(
                read_slowly(site, "r1", 1.0, (("Deadline-Ms", "3000"),))
            )
            await asyncio.sleep(0.6)
            assert only_active(site).responder.finished
            handler_of(site)._forwarder.record_lost_paths()
            received = await reading
        assert len(received) > LARGE_BYTES, len(received)
        (ended,) = [
            line
            for line in site.gateways[0].daemon.components.decisions.lines("r1")
            if "outcome" in line
        ]
        assert ended["outcome"] == "answered", ended


async def test_request_that_a_silent_peer_may_run_is_sent_again_only_with_allowance():
    async with site_of_four() as site:
        for ledger in site.ledgers:
            ledger.answer_s = 2.0
        site.gateways[0].paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        forwarder = handler_of(site)._forwarder
        allowance = forwarder._permits._allowance
        allowance._slack = allowance._ratio = 0.0
        call = asyncio.ensure_future(call_read(site, 0, "r1"))
        await site.wait_until(lambda: any("r1" in one.runs for one in site.ledgers))
        (relayed,) = [item.source.peer for item in only_active(site).race.attempts]
        forwarder.record_lost_peer(relayed.address)
        await call
        lines = site.gateways[0].daemon.components.decisions.lines("r1")
        assert [line["event"] for line in lines].count("relayed") == 1


async def test_request_that_crashes_a_silent_runner_goes_to_no_third_one():
    async with platform_site.running_site(ledgers=3) as site:
        read = platform_site.make_route(
            "read", "idempotent", platform_site.LEDGER, max_attempts=3
        )
        changed = platform_site.make_configuration(2, routes=[read])
        site.store.put_json("op", "config", changed)
        daemon = site.gateways[0].daemon
        await site.wait_until(lambda: daemon.configuration_version == 2)
        for ledger in site.ledgers:
            ledger.faults = [platform_runner.Fault.SILENT]
        forwarder = handler_of(site)._forwarder
        call = asyncio.ensure_future(site.call("/read/x", "r1", headers=SHORT_HEADERS))
        await site.wait_until(lambda: any(one.arrivals for one in site.ledgers))
        (first,) = [one for one in site.ledgers if one.arrivals]
        await site.wait_until(
            lambda: sum(bool(one.arrivals) for one in site.ledgers) == 2
        )
        observe = unittest.mock.AsyncMock(side_effect=[False, True, True])
        with unittest.mock.patch.object(forwarder._crashes, "observe", observe):
            await first.close()
            await site.wait_until(lambda: observe.await_count == 1)
            (second,) = [one for one in site.ledgers if one.arrivals and one != first]
            await second.close()
            answer = await call
            assert answer.status == 502, (answer.status, answer.body)
        assert sum(len(one.arrivals) for one in site.ledgers) == 2
