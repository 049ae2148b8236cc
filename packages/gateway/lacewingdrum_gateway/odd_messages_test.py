"""Fuzzes a running gateway with messages of a faulty peer."""

import asyncio
import os

import hypothesis
from hypothesis import strategies

from lacewingdrum_protocol import (
    crash_messages,
    evacuation_messages,
    limit_messages,
    peer_messages,
    work_messages,
)
from standins import error_log, odd_messages, platform_site

EXAMPLES = int(os.environ.get("LACEWINGDRUM_FUZZ_EXAMPLES", "200"))
# A list or configuration that is made up would be taken; see odd_entries_test.
KINDS = (
    peer_messages.Heartbeat,
    peer_messages.ConfigurationRequest,
    peer_messages.RunnerListRequest,
    work_messages.WorkUpdate,
    work_messages.WorkRequest,
    work_messages.WorkSnapshot,
    crash_messages.CrashNews,
    limit_messages.LimitNews,
    evacuation_messages.EvacuationNews,
    evacuation_messages.EvacuationRequest,
)
BATCH_MESSAGES = 20
BATCH_S = 0.05
# Timers of work look at what has expired each second.
TIMERS_S = 1.2


def drawn_messages() -> list[peer_messages.Body]:
    """Return messages that hypothesis draws, the same in each run."""
    found: list[peer_messages.Body] = []

    @hypothesis.settings(
        max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.one_of(*map(odd_messages.of_type, KINDS)))
    def draw(message):
        found.append(message)

    draw()
    return found


async def test_no_message_of_a_faulty_peer_makes_a_handler_or_timer_fail():
    with error_log.collected_errors() as errors:
        async with platform_site.running_site(2) as site:
            faulty, other = site.gateways
            for number, message in enumerate(drawn_messages()):
                faulty.daemon.components.peers.broadcast(message)
                if number % BATCH_MESSAGES == 0:
                    await asyncio.sleep(BATCH_S)
                    assert not errors, (message, errors)
            await asyncio.sleep(TIMERS_S)
            for kind in ("read", "ask"):
                answer = await site.call(f"/{kind}/x", f"c-{kind}", on=other)
                assert answer.status, kind
    assert not errors, errors
