"""Runs the attempts of one request beside each other (hedged requests).

An attempt that falls silent stays open while another one is made. The first
that brings a part of the answer takes over, and only then the others end.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from lacewingdrum_gateway.serving import attempt_ends, open_attempt, outcomes

Result = outcomes.Outcome | attempt_ends.AttemptEnd


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended, and how."""

    attempt: open_attempt.OpenAttempt
    result: Result

    @property
    def end(self) -> attempt_ends.AttemptEnd | None:
        """How it ended, or None if the caller has the whole answer from it."""
        match self.result:
            case outcomes.Outcome():
                return None
            case attempt_ends.AttemptEnd() as end:
                return end


class AttemptRace:
    """The attempts of one request that have not ended."""

    def __init__(self) -> None:
        self._attempts: dict[open_attempt.OpenAttempt, asyncio.Task[Result]] = {}
        self._changed = asyncio.Event()

    @property
    def attempts(self) -> tuple[open_attempt.OpenAttempt, ...]:
        """The open attempts, and those that ``close`` has interrupted."""
        return tuple(self._attempts)

    @property
    def waits_for_none(self) -> bool:
        """Whether there is no attempt from which an answer is awaited."""
        return all(item.is_silent or item.is_late for item in self._attempts)

    @property
    def is_only_late(self) -> bool:
        """Whether the next event of an attempt is late, and none is silent."""
        is_silent = any(item.is_silent for item in self._attempts)
        return not is_silent and any(item.is_late for item in self._attempts)

    def start(
        self, attempt: open_attempt.OpenAttempt, work: Coroutine[Any, Any, Result]
    ) -> None:
        """Run an attempt until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._attempts[attempt] = task
        task.add_done_callback(lambda _: self._changed.set())

    def take_over(self, attempt: open_attempt.OpenAttempt) -> bool:
        """Let an attempt answer the caller, and end all others.

        Args:
            attempt: an attempt that has brought a part of the answer.

        Returns:
            False if another attempt has taken over since this one began.
        """
        if attempt.cancelled_end is not None:
            return False
        for other in self._attempts:
            if other is not attempt:
                self.end(other, _SUPERSEDED)
        attempt.is_silent = attempt.is_late = attempt.has_lost_path = False
        return True

    def end(
        self, attempt: open_attempt.OpenAttempt, end: attempt_ends.AttemptEnd
    ) -> None:
        """Cancel an attempt unless it has ended already."""
        task = self._attempts[attempt]
        if attempt.cancelled_end is None and not task.done():
            attempt.cancelled_end = end
            task.cancel()

    def record_lost_paths(
        self, is_lost: Callable[[open_attempt.OpenAttempt], bool]
    ) -> None:
        """Record for some attempts that their source cannot be reached."""
        for attempt in self._attempts:
            if is_lost(attempt):
                attempt.has_lost_path = True
                self._changed.set()

    async def wait(self, timeout_s: float) -> list[EndedAttempt]:
        """Wait until an attempt has ended or lost its path.

        Args:
            timeout_s: the longest time to wait.

        Returns:
            The attempts that have ended; they are no longer open.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        self._changed.clear()
        return self._take_ended()

    async def close(self) -> list[EndedAttempt]:
        """Cancel all attempts.

        Returns:
            Those that had ended or been cancelled before; the others stay
            open, because their sources may still run what was sent.
        """
        for task in self._attempts.values():
            task.cancel()
        if self._attempts:
            await asyncio.wait(tuple(self._attempts.values()))
        return self._take_ended()

    def _take_ended(self) -> list[EndedAttempt]:
        ended: list[EndedAttempt] = []
        for attempt, task in tuple(self._attempts.items()):
            if not task.done() or (task.cancelled() and attempt.cancelled_end is None):
                continue
            del self._attempts[attempt]
            if attempt.cancelled_end is not None:
                ended.append(EndedAttempt(attempt, attempt.cancelled_end))
            else:
                ended.append(EndedAttempt(attempt, task.result()))
        return ended


_SUPERSEDED = attempt_ends.superseded()
