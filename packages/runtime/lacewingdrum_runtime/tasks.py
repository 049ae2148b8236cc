"""Runs background tasks that are owned, logged on errors and cancelled."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

ERROR_RETRY_DELAY_S = 0.5

_log = logging.getLogger(__name__)


class TaskSet:
    """Tasks that run until they end or their owner closes the set."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run ``work`` as a task; log its error if it fails."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_loop(self, work: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task:
        """Run a loop; start it again after a delay when it ends or fails.

        Errors are logged.

        Args:
            work: creates the loop; called again whenever the loop ends or
                fails.

        Returns:
            The task.
        """
        return self.spawn(_run_loop(work))

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background task failed", exc_info=task.exception())

    async def wait(self, grace_s: float) -> int:
        """Wait until all tasks have ended, at most ``grace_s`` seconds.

        Returns:
            The number of tasks that still run.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=grace_s)
        return len(self._tasks)

    async def close(self, grace_s: float = 0.0) -> None:
        """Wait up to ``grace_s`` seconds, then cancel the remaining tasks."""
        if grace_s > 0:
            await self.wait(grace_s)
        left = set(self._tasks)
        for task in left:
            task.cancel()
        if left:
            await asyncio.gather(*left, return_exceptions=True)


async def wait_or_cancel(task: asyncio.Task) -> None:
    """Wait until a task has ended; cancel it if the waiting task is cancelled.

    The task's result, error or cancellation is left to the caller.
    """
    try:
        await asyncio.wait((task,))
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.wait((task,))
        raise


async def _run_loop(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    while True:
        try:
            await work()
        except Exception:
            # An ended loop would go unnoticed until its work is needed.
            _log.exception("background loop failed")
        await asyncio.sleep(ERROR_RETRY_DELAY_S)
