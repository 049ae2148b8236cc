"""Background tasks with an owner, so that none is lost or left behind."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

ERROR_RETRY_DELAY_S = 0.5

_log = logging.getLogger(__name__)


class TaskSet:
    """Tasks that live until they end or their owner closes."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run ``work`` on the loop; an error in it is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_loop(self, work: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task:
        """Run a loop that goes on after an error, which is logged.

        Args:
            work: makes the loop; called again after each error.

        Returns:
            The task.
        """
        return self.spawn(_run_loop(work))

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background task failed", exc_info=task.exception())

    async def wait(self, grace_s: float) -> int:
        """Wait until all tasks ended, at most ``grace_s`` seconds.

        Returns:
            How many tasks have not ended.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=grace_s)
        return len(self._tasks)

    async def close(self, grace_s: float = 0.0) -> None:
        """Wait ``grace_s`` seconds, then cancel what still runs."""
        if grace_s > 0:
            await self.wait(grace_s)
        left = set(self._tasks)
        for task in left:
            task.cancel()
        if left:
            await asyncio.gather(*left, return_exceptions=True)


async def _run_loop(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    while True:
        try:
            await work()
        except Exception:
            # A part that ended would be missed by nobody until it is needed.
            _log.exception("background loop failed")
        await asyncio.sleep(ERROR_RETRY_DELAY_S)
