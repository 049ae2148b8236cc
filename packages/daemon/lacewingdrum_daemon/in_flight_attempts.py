"""Tracks this daemon's attempts at runners, and cancels abandoned ones.

An attempt that is passed to ``abandon`` is cancelled. The cancel is retried
until the runner confirms it, because a lost cancel would leave engine memory
allocated. Calls of plain services are only passed to ``end`` and are never
cancelled.
"""

import asyncio
import logging
from collections.abc import Callable

from lacewingdrum_runtime import tasks
from lacewingdrum_state import fleet, ids, requests
from lacewingdrum_transport import runner_client

CANCEL_TIMEOUT_S = 1.0
CANCEL_RETRY_PAUSE_MIN_S = 0.25
CANCEL_RETRY_PAUSE_MAX_S = 4.0
CANCEL_MAX_ATTEMPTS = 60

_log = logging.getLogger(__name__)


class InFlightAttempts:
    """Stores attempts in flight and cancels abandoned ones.

    Args:
        client: sends the cancels to the runners.
        on_end: called with each attempt that ended, for the routing estimates.
    """

    def __init__(
        self,
        client: runner_client.RunnerClient,
        on_end: Callable[[ids.AttemptId], None],
    ) -> None:
        self._client = client
        self._on_end = on_end
        self._entries: dict[tuple[str, str], requests.InFlightAttempt] = {}
        self._tasks = tasks.TaskSet()

    def entries(self) -> tuple[requests.InFlightAttempt, ...]:
        """Return this daemon's attempts in flight at all runners."""
        return tuple(self._entries.values())

    def count(self, runner_id: ids.RunnerId) -> int:
        """Return the number of this daemon's attempts at a runner."""
        return sum(
            1 for _, entry_runner_id in self._entries if entry_runner_id == runner_id
        )

    def add(self, entry: requests.InFlightAttempt) -> None:
        """Add an attempt that is about to be sent."""
        self._entries[entry.attempt_id, entry.runner_id] = entry

    def end(self, runner: fleet.Runner, attempt_id: ids.AttemptId) -> None:
        """Remove an attempt that its runner has ended."""
        if self._entries.pop((attempt_id, runner.runner_id), None) is not None:
            self._on_end(attempt_id)

    def abandon(self, runner: fleet.Runner, attempt_id: ids.AttemptId) -> None:
        """Remove an attempt, and cancel it until its runner confirms."""
        self.end(runner, attempt_id)
        self._tasks.spawn(self._cancel(runner, attempt_id))

    async def close(self, grace_s: float) -> None:
        """Wait for unconfirmed cancels, at most ``grace_s`` seconds."""
        await self._tasks.close(grace_s)

    async def _cancel(self, runner: fleet.Runner, attempt_id: ids.AttemptId) -> None:
        pause_s = CANCEL_RETRY_PAUSE_MIN_S
        for _ in range(CANCEL_MAX_ATTEMPTS):
            answer = await self._client.cancel(runner, attempt_id, CANCEL_TIMEOUT_S)
            if answer.is_ok():
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, CANCEL_RETRY_PAUSE_MAX_S)
        # The runner's coordinator sees in the load reports what the engine
        # still holds, and continues to cancel it.
        _log.warning(
            "cancel not confirmed",
            extra={"attempt_id": attempt_id, "runner_id": runner.runner_id},
        )
