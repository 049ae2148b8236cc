"""Divides the turns of the event loop among connections with much to read.

A turn is one pass of the event loop over all that is ready. What has arrived
on one connection may need many turns, and other connections wait meanwhile.
"""

import asyncio
import collections
import time
import weakref

# What a connection reads without a look at the time.
FREE_EVENTS = 16
EVENTS_MAX = 256
# A connection reads on in a turn that has lasted for less than this.
TURN_S = 0.005
WAITING_PER_TURN = 16


class TurnBudget:
    """Measures the turns of the running loop, and queues who must wait."""

    def __init__(self) -> None:
        self._turn_start_s = 0.0
        self._is_measuring = False
        self._is_used = False
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def is_spent(self) -> bool:
        """Whether the turn has lasted for so long that the loop must go on."""
        now_s = time.monotonic()
        self._is_used = True
        if not self._is_measuring:
            self._is_measuring = True
            self._turn_start_s = now_s
            asyncio.get_running_loop().call_soon(self._start_turn)
        return now_s - self._turn_start_s >= TURN_S

    async def wait(self) -> None:
        """Wait for a later turn, after those who waited before."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        # This begins to measure, if no turn is measured yet.
        _ = self.is_spent
        await waiter

    def _start_turn(self) -> None:
        if not self._is_used and not self._waiting:
            self._is_measuring = False
            return
        self._is_used = False
        self._turn_start_s = time.monotonic()
        # The next turn begins with this call, before those that are woken.
        asyncio.get_running_loop().call_soon(self._start_turn)
        for _ in range(min(len(self._waiting), WAITING_PER_TURN)):
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)


class ReadTurns:
    """Counts what one connection has read since others had their turn."""

    def __init__(self) -> None:
        self._budget = of_running_loop()
        self._event_count = 0

    def count(self, event_count: int = 1) -> None:
        """Count events that the connection has read."""
        self._event_count += event_count

    @property
    def is_over(self) -> bool:
        """Whether other connections must have their turn now."""
        if self._event_count < FREE_EVENTS:
            return False
        return self._event_count >= EVENTS_MAX or self._budget.is_spent

    async def give_back(self) -> None:
        """Let the event loop serve others, and go on in a later turn."""
        await self._budget.wait()
        self._event_count = 0

    def reset(self) -> None:
        """Record that the connection had nothing to read."""
        self._event_count = 0


def of_running_loop() -> TurnBudget:
    """Return the budget that all connections of the running loop share."""
    loop = asyncio.get_running_loop()
    budget = _budgets.get(loop)
    if budget is None:
        budget = _budgets[loop] = TurnBudget()
    return budget


_budgets: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, TurnBudget]
_budgets = weakref.WeakKeyDictionary()
