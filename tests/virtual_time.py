"""An event loop whose time jumps to the next timer, for tests of deadlines.

Waiting takes no real time, and the same timers fire in the same order on each
run. Only code without sockets can run on the loop.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

_Value = TypeVar("_Value")


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is left that could wake the loop")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on virtual time; ``time`` is its clock in seconds."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s

    def freeze(self, seconds: float) -> None:
        """Advance the time without firing timers, as for a stopped process."""
        self._jumping.now_s += seconds


def run(main: Callable[[VirtualLoop], Coroutine[Any, Any, _Value]]) -> _Value:
    """Run ``main(loop)`` on a new virtual loop.

    Args:
        main: returns the coroutine to run; it receives the loop.

    Returns:
        The result of the coroutine.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        _cancel_all(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
