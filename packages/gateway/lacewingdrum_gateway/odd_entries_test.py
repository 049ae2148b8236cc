"""Tests of entries that other writers leave among those of the runners."""

import asyncio
import contextlib
import json

import msgspec

from lacewingdrum_gateway.runners import runner_list_codec
from lacewingdrum_protocol import (
    crash_messages,
    limit_messages,
    peer_messages,
    work_messages,
)
from standins import error_log, platform_site

LEDGER = platform_site.LEDGER
NESTED = b"[" * 100_000 + b"]" * 100_000
TOO_LARGE = 2**70
# Work is dropped a second after its deadline, which is looked for each second.
WORK_EXPIRY_S = 2.2


def listed(running) -> set[str]:
    """Return the runners that a gateway may send requests of ``LEDGER`` to."""
    return {
        entry.runner_id for entry in running.daemon.components.roster.of_service(LEDGER)
    }


def with_field(entry: dict[str, object], name: str, value: bytes) -> bytes:
    """Return an entry as JSON, with one more field in the text given."""
    return json.dumps(entry).encode()[:-1] + b',"%s":%s}' % (name.encode(), value)


@contextlib.asynccontextmanager
async def site_that_follows_the_list(gateways: int = 3):
    """Yield a site; afterwards all gateways still have to follow the list."""
    async with platform_site.running_site(gateways) as site:
        with error_log.collected_errors() as errors:
            yield site
            kept, removed = site.ledgers
            site.store.delete("servers", removed.runner_id)
            for running in site.gateways:
                await site.wait_until(
                    lambda running=running: listed(running) == {kept.runner_id}
                )
        assert not errors, errors


INTEGER_MAX = 2**64 - 1
NAN = float("nan")
WORK = work_messages.WorkPart("l0", 1.0, True, 1.0, 1.0, 1.0, 1.0, 1)
# What a faulty daemon might send; each can be encoded.
SENSELESS_NEWS = (
    peer_messages.RunnerListPush(2**60, -(2**60), 1, 0, era=1),
    peer_messages.RunnerListPush(1, 0, 1, 0, era=2**60),
    crash_messages.CrashNews(
        (crash_messages.CrashReport("l0", 1, INTEGER_MAX, (("ab",),), ()),),
        (crash_messages.SoundReport("ab", -INTEGER_MAX // 2),),
        (crash_messages.TrialReport("ab", INTEGER_MAX, INTEGER_MAX),),
    ),
    work_messages.WorkUpdate(
        (work_messages.WorkStarted("w1", (WORK, WORK), 1.0),), ("w1",), ()
    ),
    work_messages.WorkUpdate((work_messages.WorkStarted("w2", (), 1.0),), ("w2",), ()),
    work_messages.WorkUpdate((work_messages.WorkStarted("w3", (WORK,), NAN),), (), ()),
)


async def follows_the_feed(site) -> None:
    """Wait until a later configuration is in force, after one that is read."""
    feeds = len(site.gateways)
    await site.wait_until(lambda: site.store.waiting_feeds < feeds)
    await site.wait_until(lambda: site.store.waiting_feeds == feeds)
    site.store.put_json("op", "config", platform_site.make_configuration(3))
    for running in site.gateways:
        await site.wait_until(
            lambda running=running: running.daemon.configuration_version == 3
        )


async def test_deeply_nested_entry_does_not_stop_the_list():
    async with site_that_follows_the_list() as site:
        entry = site.ledgers[0].entry(LEDGER)
        site.store.put("servers", "odd", with_field(entry, "extra", NESTED))


async def test_entry_with_a_number_beyond_64_bits_does_not_stop_the_list():
    async with site_that_follows_the_list() as site:
        for name in ("born", "slots", "seq", "cold_left_ms"):
            entry = {**site.ledgers[0].entry(LEDGER), name: TOO_LARGE}
            site.store.put_json("servers", f"odd-{name}", entry)


async def test_deeply_nested_configuration_does_not_stop_the_feed():
    async with site_that_follows_the_list() as site:
        odd = with_field(platform_site.make_configuration(2), "extra", NESTED)
        site.store.put("op", "config", odd)
        await follows_the_feed(site)


async def test_version_beyond_64_bits_of_a_configuration_does_not_stop_the_feed():
    async with site_that_follows_the_list() as site:
        odd = platform_site.make_configuration(TOO_LARGE)
        site.store.put_json("op", "config", odd)
        await follows_the_feed(site)


async def test_entry_of_an_unknown_service_does_not_hide_a_runner_at_its_address():
    async with site_that_follows_the_list(gateways=1) as site:
        kept, _ = site.ledgers
        odd = {**kept.entry("nobody-s"), "born": kept.born_ms + 1}
        site.store.put_json("servers", "a-odd", odd)
        roster = site.gateways[0].daemon.components.roster
        await site.wait_until(lambda: roster.get("a-odd"))
        assert kept.runner_id in listed(site.gateways[0])


async def test_entry_with_the_address_of_the_daemon_itself_gets_no_request():
    async with site_that_follows_the_list(gateways=1) as site:
        running = site.gateways[0]
        address = str(running.gateway_settings.vm.caller_address)
        odd = {**site.ledgers[0].entry(LEDGER), "address": address}
        site.store.put_json("servers", "odd", odd)
        roster = running.daemon.components.roster
        await site.wait_until(lambda: roster.get("odd"))
        assert "odd" not in listed(running)


async def test_senseless_news_of_a_peer_stop_neither_the_list_nor_requests():
    async with site_that_follows_the_list(gateways=2) as site:
        faulty, other = site.gateways
        limits = tuple(
            limit_messages.LimitReport(runner.runner_id, runner.born_ms, NAN, 0)
            for runner in site.ledgers
        )
        for news in (limit_messages.LimitNews(limits), *SENSELESS_NEWS):
            faulty.daemon.components.peers.broadcast(news)
        await asyncio.sleep(WORK_EXPIRY_S)
        for number in range(4):
            answer = await site.call("/read/x", f"r{number}", on=other)
            assert answer.status == 200
        assert not other.daemon.components.engine_work.work_count


async def test_entry_that_claims_the_address_of_a_runner_takes_its_work_only_briefly():
    async with site_that_follows_the_list(gateways=2) as site:
        for runner in site.ledgers:
            claim = {**runner.entry(LEDGER), "born": runner.born_ms + 1}
            site.store.put_json("servers", f"claim-{runner.runner_id}", claim)
        roster = site.gateways[0].daemon.components.roster
        await site.wait_until(lambda: roster.get("claim-l1"))
        answers = [(await site.call("/read/x", f"r{number}")) for number in range(8)]
        assert [answer.status for answer in answers[2:]] == [200] * 6
        for runner in site.ledgers:
            site.store.delete("servers", f"claim-{runner.runner_id}")


async def test_list_of_an_older_daemon_is_taken_without_its_odd_entries():
    async with site_that_follows_the_list(gateways=2) as site:
        older, other = (running.daemon.components for running in site.gateways)
        good = [
            runner_list_codec.message_from_entry(entry)
            for entry in older.roster.entries
        ]
        odd = [
            msgspec.structs.replace(good[0], runner_id="odd", **{name: value})
            for name, value in (("born_ms", 2**62), ("slots", 0), ("address", "x"))
        ]
        # Each of the next lists has a higher version.
        site.store.put("other", "key", b"")
        push = peer_messages.RunnerListPush(
            site.store.version, 0, 7, 0, (*odd, *good), era=site.store.era
        )
        older.peers.broadcast(push)
        await site.wait_until(
            lambda: other.roster.version.version >= site.store.version
        )
        assert other.roster.get("odd") is None
        assert len(other.roster.entries) == len(good)
