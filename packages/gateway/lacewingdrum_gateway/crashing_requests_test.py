"""Tests of requests that crash each runner that runs them."""

import contextlib
import dataclasses
import time

from lacewingdrum_transport import http_messages
from standins import platform_site, runner_crashes

BAD = runner_crashes.CrashingRequest("/read/x?a=1", b"x" * 5_000 + b"bad")
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
