"""Tests of streams whose runner, or the next one, sends no sound run of it."""

import asyncio
import itertools

from lacewingdrum_gateway import settings
from lacewingdrum_gateway.cut_off_daemons_test import knows_peers, wait_until_cut_off
from lacewingdrum_gateway.gateway_test import ASK, EVENTS
from standins import platform_site, raw_caller
from standins.odd_answers import EVENT_STREAM, events, Framing, OddAnswer
from standins.runner_paths import Cut

BOUNDS = settings.BoundsSettings(repeat_slack=100_000.0)
ERROR_TEXT = b"error: failed"
ERROR_HEAD = b"HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\n\r\n"
# The first runs end without a proper end, between two events or inside one.
BROKEN = OddAnswer(events(1, 2), is_broken_off=True)
BROKEN_INSIDE_EVENT = OddAnswer(events(1, 2) + b"id: 3\nda", is_broken_off=True)
SOUND = OddAnswer(lambda last: events(*range(last + 1, 6)))
_attempt_ids = map("s{}".format, itertools.count())
_versions = itertools.cycle(("1.1", "1.0"))


async def call(site, *answers: OddAnswer, on=None):
    """Send a stream request that gets these answers from any runners."""
    shared = list(answers)
    for engine in site.engines:
        engine.faults = shared
    received = await raw_caller.call(
        site, "/ask/x", next(_attempt_ids), ASK, next(_versions), on
    )
    assert not shared, f"{shared} not asked for, {received}"
    return received


def failures() -> list[OddAnswer]:
    """Return failures in each framing, with a receipt or not."""
    chosen = itertools.product((500, 503, 504, 404, 421), Framing, (False, True))
    return [
        OddAnswer(ERROR_TEXT, status, EVENT_STREAM, framing, is_sealed)
        for status, framing, is_sealed in chosen
    ]


def unsound_runs() -> list[tuple[OddAnswer, bytes]]:
    """Return runs asked for after event 2, and what of them is passed on."""
    unsound = [
        (events(1, 2, 3, 4, 5), b""),
        (events(1, 2), b""),
        (events(2, 3, 4, 5), b""),
        (events(4, 5), b""),
        (events(3, 3, 4, 5), events(3)),
        (events(3, 4, 1, 5), events(3, 4)),
        (b"data: piece 3\n\n", b""),
        (ERROR_TEXT + b"\n\n", b""),
        (ERROR_HEAD + ERROR_TEXT, b""),
        (events(3) + ERROR_HEAD + events(4, 5), events(3)),
        (b"id: 3\ndata: pie" + ERROR_HEAD + events(3, 4, 5), b""),
    ]
    runs = [
        (OddAnswer(body, framing=framing), passed)
        for body, passed in unsound
        for framing in Framing
    ]
    for content_type in ("text/plain", "application/json; charset=utf-8"):
        runs.append((OddAnswer(events(3, 4, 5), content_type=content_type), b""))
    runs.append((OddAnswer(b"", 204, framing=Framing.LENGTH), b""))
    return runs


async def test_error_of_the_next_runner_never_reaches_a_begun_stream():
    async with platform_site.running_site(bounds=BOUNDS) as site:
        for failure in failures():
            got = await call(site, BROKEN, failure)
            assert (got.body, got.is_whole) == (events(1, 2), False), failure


async def test_run_that_does_not_go_on_after_the_last_event_is_not_joined():
    async with platform_site.running_site(bounds=BOUNDS) as site:
        for run, passed in unsound_runs():
            got = await call(site, BROKEN, run)
            assert (got.body, got.is_whole) == (events(1, 2) + passed, False), run


async def test_run_without_events_ends_a_stream_only_if_it_says_so():
    stated = OddAnswer(b"")
    unsure = (
        OddAnswer(b"", framing=Framing.CLOSE),
        OddAnswer(b": ping\n\n", framing=Framing.CLOSE),
        OddAnswer(b"", content_type="", framing=Framing.LENGTH),
    )
    async with platform_site.running_site(bounds=BOUNDS) as site:
        for _ in range(2):
            got = await call(site, BROKEN, stated)
            assert (got.body, got.is_whole) == (events(1, 2), True)
            got = await call(site, BROKEN_INSIDE_EVENT, stated)
            assert (got.body, got.is_whole) == (events(1, 2), False)
            for run in unsure:
                got = await call(site, BROKEN, run)
                assert got.body.startswith(events(1, 2)) and not got.is_whole, run


async def test_run_that_begins_with_bytes_that_are_no_event_is_replaced():
    async with platform_site.running_site(bounds=BOUNDS) as site:
        for framing in Framing:
            for first in (
                OddAnswer(ERROR_HEAD + ERROR_TEXT + b"\n\n", framing=framing),
                OddAnswer(ERROR_TEXT, content_type="text/plain", framing=framing),
                OddAnswer(events(1), content_type="text/html", framing=framing),
            ):
                got = await call(site, first, SOUND)
                assert (got.status, got.body, got.is_whole) == (200, EVENTS, True)


async def test_stream_without_ids_is_passed_on_but_not_resumed():
    unnumbered = b"data: a\n\ndata: b\n\n"
    async with platform_site.running_site(bounds=BOUNDS) as site:
        got = await call(site, OddAnswer(unnumbered))
        assert (got.body, got.is_whole) == (unnumbered, True)
        for first in (unnumbered, events(1) + unnumbered):
            got = await call(site, OddAnswer(first, is_broken_off=True))
            assert (got.body, got.is_whole) == (first, False)


async def test_stream_of_a_route_without_resuming_is_never_continued():
    ask = platform_site.make_route(
        "ask", "stream", platform_site.MODEL, resumable=False
    )
    configuration = platform_site.make_configuration(2, routes=[ask])
    async with platform_site.running_site(bounds=BOUNDS) as site:
        site.store.put_json("op", "config", configuration)
        daemon = site.gateways[0].daemon
        await site.wait_until(lambda: daemon.configuration_version == 2)
        for first in (BROKEN, BROKEN_INSIDE_EVENT, OddAnswer(events(1, 2, 1))):
            got = await call(site, first)
            assert (got.body, got.is_whole) == (events(1, 2), False)


async def test_run_after_an_event_that_the_caller_names_begins_behind_it():
    named = (*ASK, ("Last-Event-Id", "2"))
    async with platform_site.running_site(bounds=BOUNDS) as site:
        for body, expected in ((events(1, 2, 3), b""), (events(3, 4), events(3, 4))):
            for engine in site.engines:
                engine.faults = [OddAnswer(body)] * 2
            got = await raw_caller.call(site, "/ask/x", next(_attempt_ids), named)
            assert got.status == (200 if expected else 502)
            assert got.body == expected or got.status == 502


async def test_peers_of_a_cut_off_daemon_put_no_error_into_its_stream():
    async with platform_site.running_site(4, 4, bounds=BOUNDS) as site:
        await site.wait_until(
            lambda: all(knows_peers(item.daemon) for item in site.gateways)
        )
        cut_off = site.gateways[0]
        cut_off.paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        for run in (
            OddAnswer(ERROR_TEXT, 500),
            OddAnswer(ERROR_TEXT, 503, says_not_run=True),
            OddAnswer(events(1, 2, 3, 4, 5)),
            OddAnswer(events(4, 5), framing=Framing.CLOSE),
            OddAnswer(ERROR_HEAD + ERROR_TEXT + b"\n\n", framing=Framing.CLOSE),
            OddAnswer(b"", framing=Framing.CLOSE),
            OddAnswer(b"", content_type="", framing=Framing.LENGTH),
        ):
            # One run after the break at the first peer, one at the second.
            got = await call(site, BROKEN, run, run, on=cut_off)
            assert (got.body, got.is_whole) == (events(1, 2), False), run
        got = await call(site, BROKEN, OddAnswer(b"", 500), SOUND, on=cut_off)
        assert (got.body, got.is_whole) == (EVENTS, True)


async def test_answer_that_no_runner_has_vouched_for_is_not_taken_from_a_peer():
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nfailed\n\n")
        writer.close()

    async with platform_site.running_site(2, 2, bounds=BOUNDS) as site:
        cut_off, peer = site.gateways
        relay_port = peer.gateway_settings.vm.relay_port
        known = cut_off.daemon.components.peers.table
        await site.wait_until(lambda: any(item.relay_port for item in known.live))
        cut_off.paths.cut(Cut.RESET)
        await wait_until_cut_off(site, 0)
        await peer.daemon.components.relay_server.close()
        host = peer.gateway_settings.vm.host
        other = await asyncio.start_server(answer, host, relay_port)
        async with other:
            for path in ("/ask/x", "/read/x", "/order/x"):
                attempt_id = next(_attempt_ids)
                got = await raw_caller.call(site, path, attempt_id, ASK)
                assert got.status == 502, path
