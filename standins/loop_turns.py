"""Measures the turns of the event loop, for tests of what may hold it."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

# How long one turn may work, whatever arrives.
TURN_MAX_MS = 50.0


class LongestTurn:
    """The longest time that one turn of the event loop has worked.

    Times are those of the processor, so that waits and other processes are
    not counted.
    """

    def __init__(self) -> None:
        self.worked_ms = 0.0

    async def measure(self) -> None:
        """Measure each turn, until cancelled."""
        before_s = time.thread_time()
        while True:
            await asyncio.sleep(0)
            now_s = time.thread_time()
            self.worked_ms = max(self.worked_ms, (now_s - before_s) * 1_000)
            before_s = now_s


@contextlib.asynccontextmanager
async def measured() -> AsyncIterator[LongestTurn]:
    """Yield the longest turn so far, while the body of the block runs."""
    longest = LongestTurn()
    task = asyncio.get_running_loop().create_task(longest.measure())
    try:
        yield longest
    finally:
        # The turn that ends the block is measured too.
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
