"""Tests of the measure of the event loop's turns."""

import asyncio
import itertools
import signal
import time
from unittest import mock

from standins import loop_turns

HELD_S = 0.06
SEARCHED_BYTES = 20_000_000


def work(step, step_max_s: float) -> None:
    """Repeat a step of work, of which each counts for at most so long."""
    worked_s = 0.0
    while worked_s < HELD_S:
        begun_s = time.thread_time()
        step()
        worked_s += min(time.thread_time() - begun_s, step_max_s)


def hold_by_bytecode() -> None:
    work(lambda: None, 0.001)


def hold_by_long_calls() -> None:
    text = b"a" * SEARCHED_BYTES
    work(lambda: text.find(b"ab"), 0.02)


async def longest_turn_ms(hold) -> float:
    async with loop_turns.measured() as longest:
        await asyncio.sleep(0)
        hold()
        await asyncio.sleep(0)
    return longest.worked_ms


async def test_turns_that_work_for_longer_than_allowed_are_noticed():
    # A measure that misses them lets a daemon hold its loop.
    for hold in (hold_by_bytecode, hold_by_long_calls):
        worked_ms = await longest_turn_ms(hold)
        assert worked_ms > loop_turns.TURN_MAX_MS, (hold, worked_ms)


async def test_time_for_which_the_machine_is_stopped_is_not_counted():
    # A turn of 3 ms was taken for one of 99 ms: its machine was stopped.
    clock = time.thread_time
    jumps_s = itertools.count(step=0.09)
    with mock.patch("time.thread_time", lambda: clock() + next(jumps_s)):
        worked_ms = await longest_turn_ms(lambda: None)
    assert worked_ms <= loop_turns.TURN_MAX_MS, worked_ms


async def test_timer_and_wakeup_of_signals_are_as_before():
    handler = signal.getsignal(signal.SIGALRM)
    await longest_turn_ms(lambda: None)
    assert signal.getitimer(signal.ITIMER_REAL) == (0.0, 0.0)
    assert signal.getsignal(signal.SIGALRM) is handler
    wakeup = signal.set_wakeup_fd(-1)
    signal.set_wakeup_fd(wakeup)
    assert wakeup == -1
