"""Measures the turns of the event loop, for tests of what may hold it."""

import asyncio
import contextlib
import gc
import os
import signal
from collections.abc import AsyncIterator, Iterator

# How long one turn may work, whatever arrives.
TURN_MAX_MS = 50.0
TICK_S = 0.001
TICKS_MAX = 65_536


class WorkTicks:
    """Counts the ticks of a timer that this process has worked through.

    The signals of ticks that pass while the process does not run are merged
    into one. The processor time of a thread does not do for this: a virtual
    machine counts time in it for which its host has stopped the processor.
    A tick within one call of the system is counted when the call returns.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def take_ms(self) -> float:
        """Return the time worked since the last call."""
        try:
            tick_count = len(os.read(self._descriptor, TICKS_MAX))
        except BlockingIOError:
            return 0.0
        return tick_count * TICK_S * 1_000


class LongestTurn:
    """The longest time that one turn of the event loop has worked.

    Waits, and times at which other processes run, are not counted.
    """

    def __init__(self, ticks: WorkTicks) -> None:
        self.worked_ms = 0.0
        self._ticks = ticks

    async def measure(self) -> None:
        """Measure each turn, until cancelled."""
        self._ticks.take_ms()
        while True:
            await asyncio.sleep(0)
            self.worked_ms = max(self.worked_ms, self._ticks.take_ms())


@contextlib.contextmanager
def work_ticks() -> Iterator[WorkTicks]:
    """Yield a count of ticks, in the main thread, while the block runs."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    handler = signal.signal(signal.SIGALRM, lambda number, frame: None)
    # Unlike the handler, it is written to while a function of C runs.
    earlier = signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    signal.setitimer(signal.ITIMER_REAL, TICK_S, TICK_S)
    try:
        yield WorkTicks(reader)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.set_wakeup_fd(earlier)
        signal.signal(signal.SIGALRM, handler)
        os.close(reader)
        os.close(writer)


@contextlib.asynccontextmanager
async def measured() -> AsyncIterator[LongestTurn]:
    """Yield the longest turn so far, while the body of the block runs.

    What was allocated before is not collected meanwhile, as in a daemon, which
    freezes what it has loaded.
    """
    gc.collect()
    gc.freeze()
    with work_ticks() as ticks:
        longest = LongestTurn(ticks)
        task = asyncio.get_running_loop().create_task(longest.measure())
        try:
            yield longest
        finally:
            # The turn that ends the block is measured too.
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            gc.unfreeze()
