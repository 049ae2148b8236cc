"""Tests of requests that crash each runner that runs them."""

import asyncio
import contextlib
import dataclasses
import time

from lacewingdrum_coordination import request_fingerprint
from lacewingdrum_state import crashes, ids
from lacewingdrum_transport import http_messages
from standins import platform_site, runner_crashes
from standins.platform_runner import Fault

CONTACT_S = 3.0
BUDGET_ARRIVALS = 3
CRASHES_KNOWN = 3
INTERVAL_S = 0.06
BAD = runner_crashes.CrashingRequest("/read/x?a=1", b"x" * 5_000 + b"bad")
SOUND_BODY = b"x" * 5_000 + b"god"
DEADLINE = (("Deadline-Ms", "2000"),)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to a gateway, and how it was answered."""

    is_bad: bool
    answer: http_messages.HttpResponse
    elapsed_s: float


@contextlib.asynccontextmanager
async def crashing_site(bad: runner_crashes.CrashingRequest, **sizes: int):
    """Yield a site all of whose runners crash on one request."""
    async with platform_site.running_site(gateways=3, **sizes) as site:
        for runner in (*site.engines, *site.ledgers):
            runner.crashes.requests.add(bad)
            runner.answer_s = runner.first_event_s = 0.02
        yield site


async def send_one(site, path, number, body, headers, on=None) -> Call:
    start_s = time.monotonic()
    answer = await site.call(
        path, f"c{number}", body=body, headers=(*DEADLINE, *headers), on=on
    )
    return Call(body == BAD.body, answer, time.monotonic() - start_s)


async def send_mixed(site, path, length_s, headers=(), bad_each=3) -> list[Call]:
    """Call all gateways in turn; one call in so many is the bad request.

    None is with ``bad_each`` 0.
    """
    calls = []
    end_s = time.monotonic() + length_s
    number = 0
    while time.monotonic() < end_s:
        is_bad = bad_each and number % bad_each == 0
        body = BAD.body if is_bad else SOUND_BODY
        on = site.gateways[number % len(site.gateways)]
        call = send_one(site, path, number, body, headers, on)
        calls.append(asyncio.ensure_future(call))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    return [await call for call in calls]


def crash_times_s(site) -> list[float]:
    runners = (*site.engines, *site.ledgers)
    return sorted(time_s for runner in runners for time_s in runner.crashes.times_s)


def bad_arrivals_after_known(site) -> int:
    """Return how often the bad request arrived once its crashes were known."""
    crashes_s = crash_times_s(site)
    known_s = crashes_s[min(CRASHES_KNOWN, len(crashes_s)) - 1] + CONTACT_S
    return sum(
        arrival.arrived_s > known_s and arrival.body == BAD.body
        for runner in (*site.engines, *site.ledgers)
        for arrival in runner.arrivals
    )


def bad_fingerprint() -> ids.RequestFingerprint:
    return request_fingerprint.compute(
        "POST", "site.example", BAD.path, platform_site.CUSTOMER, BAD.body
    )


def blames_bad_request(running: platform_site.RunningGateway) -> bool:
    evidence = running.daemon.components.crash_sync.evidence
    whole = crashes.WholeRequest(bad_fingerprint())
    return evidence.find_blame((whole,)) is not None


def crashes_on_bad(age_s: float) -> crashes.Evidence:
    """Return three crashes of runners on the bad request."""
    lost = frozenset(((crashes.WholeRequest(bad_fingerprint()),),))
    now_s = time.monotonic() - age_s
    return crashes.Evidence(
        tuple(
            crashes.RunnerCrash(
                ids.RunnerId(f"x{number}"), 1, now_s - number, lost, frozenset()
            )
            for number in range(3)
        )
    )


async def check_bad_request_is_held_back(site, path, headers=()) -> None:
    calls = await send_mixed(site, path, 7.0, headers)
    assert bad_arrivals_after_known(site) <= BUDGET_ARRIVALS
    sound = [call.answer.status for call in calls if not call.is_bad]
    assert sound.count(200) >= 0.95 * len(sound)
    last = [call for call in calls if call.is_bad][-10:]
    for call in last:
        assert call.answer.status == 503 and call.elapsed_s < 0.2
        assert 30.0 < float(call.answer.header("Retry-After")) < 65.0


async def test_repeatable_request_that_crashes_its_runners_is_held_back():
    async with crashing_site(BAD, ledgers=12) as site:
        await check_bad_request_is_held_back(site, BAD.path)


async def test_order_that_crashes_its_runners_is_held_back():
    bad = dataclasses.replace(BAD, path="/order/x")
    async with crashing_site(bad, ledgers=12) as site:
        await check_bad_request_is_held_back(site, bad.path)


async def test_request_of_engines_that_crashes_them_is_held_back():
    bad = dataclasses.replace(BAD, path="/ask/x")
    headers = (
        ("Token-Count", "480,100"),
        ("Model", "m"),
        ("Prompt-Prefix", "aa:80,bb:400"),
    )
    async with crashing_site(bad, engines=12) as site:
        await check_bad_request_is_held_back(site, bad.path, headers)


async def test_caller_whose_request_crashed_two_runners_is_told_when_to_return():
    async with crashing_site(BAD, ledgers=4) as site:
        answer = (await send_one(site, BAD.path, 0, BAD.body, ())).answer
        assert answer.status == 502 and float(answer.header("Retry-After")) >= 1.0
        assert len(crash_times_s(site)) == 2


async def test_daemon_that_starts_later_holds_back_a_request_that_crashes_runners():
    async with crashing_site(BAD, ledgers=12) as site:
        await send_mixed(site, BAD.path, 3.0)
        late = await site.add_gateway(("127.0.0.1:1",))
        await asyncio.sleep(0.6)
        count = len(crash_times_s(site))
        call = await send_one(site, BAD.path, 0, BAD.body, (), late)
        assert call.answer.status == 503 and len(crash_times_s(site)) == count


async def test_crash_of_a_plain_runner_is_logged_with_what_copies_have_in_common():
    async with crashing_site(BAD, ledgers=3) as site:
        for number, running in enumerate(site.gateways[:2]):
            await send_one(site, BAD.path, number, BAD.body, (), running)
        logged = [
            line
            for number, running in enumerate(site.gateways[:2])
            for line in running.daemon.components.decisions.lines(f"c{number}")
            if line["event"] == "runner_crashed"
        ]
        assert len({line["runner_id"] for line in logged}) == len(logged) >= 2
        assert len({line["fingerprint"] for line in logged}) == 1


async def test_runners_that_are_killed_or_reset_connections_blame_no_popular_request():
    async with crashing_site(BAD, ledgers=12) as site:
        sending = asyncio.ensure_future(send_mixed(site, BAD.path, 7.0, bad_each=0))
        for _ in range(3):
            await asyncio.sleep(1.0)
            for runner in site.ledgers[:9]:
                runner.crashes.crash(runner.port)
            for runner in site.ledgers[9:]:
                runner.faults = [Fault.RESET_INSIDE_ANSWER]
            await asyncio.sleep(1.1)
        sound = [call.answer.status for call in await sending]
        assert sound.count(200) >= 0.9 * len(sound)
        for running in site.gateways:
            text = running.daemon.components.counts.text()
            assert "crashing_request_changes" not in text


async def test_request_that_no_longer_crashes_runners_comes_back_after_a_trial():
    async with crashing_site(BAD, ledgers=4) as site:
        for runner in site.ledgers:
            runner.crashes.requests.clear()
        updates = site.gateways[0].daemon.components.crash_sync
        updates.add(crashes_on_bad(age_s=70.0))
        await asyncio.sleep(0.1)
        assert all(blames_bad_request(running) for running in site.gateways)
        for number, running in enumerate(site.gateways):
            await send_one(site, BAD.path, number, BAD.body, (), running)
        # The sound answer of the trial reaches the other daemons.
        await site.wait_until(
            lambda: not any(blames_bad_request(item) for item in site.gateways)
        )
        for number, running in enumerate(site.gateways):
            call = await send_one(site, BAD.path, 3 + number, BAD.body, (), running)
            assert call.answer.status == 200
