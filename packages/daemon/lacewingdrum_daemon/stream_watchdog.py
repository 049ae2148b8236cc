"""Detects connections to runners that went silent.

A connection can go silent permanently while new connections work. Therefore,
when no part of an answer arrived for a while, the runner is probed over
another connection. If it no longer holds the attempt, no further part can
arrive on the old connection.
"""

import asyncio
from collections.abc import Callable

from result import Err, Result

from lacewingdrum_runtime import tasks
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import runner_client

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
ARRIVAL_MARGIN_S = 0.5


LoadResult = Result[fleet.RunnerLoad, runner_client.RunnerError]


class LoadProbes:
    """Probes runners for their load, with one probe per runner at a time.

    Many streams of a runner go silent together, and one probe for each of
    them would make the problem worse.

    Args:
        runners: sends the probes.
    """

    def __init__(self, runners: runner_client.RunnerClient) -> None:
        self._runners = runners
        self._open_probes: dict[ids.RunnerId, asyncio.Task[LoadResult]] = {}
        self._tasks = tasks.TaskSet()

    async def load(self, runner: fleet.Runner) -> LoadResult:
        """Return the runner's load; concurrent calls share one probe."""
        task = self._open_probes.get(runner.runner_id)
        if task is None or task.done():
            work = self._runners.load(runner, PROBE_TIMEOUT_S)
            task = self._open_probes[runner.runner_id] = self._tasks.spawn(work)
            task.add_done_callback(
                lambda _: self._open_probes.pop(runner.runner_id, None)
            )
        return await asyncio.shield(task)


class StreamWatchdog:
    """Watches the stream of one attempt.

    Args:
        probes: probe the runner.
        runner: the runner that was sent the attempt.
        attempt_id: the attempt.
        silence_timeout: a timeout that is made to expire when the runner no
            longer holds the attempt.
        first_part_limit_s: how long the first part may take before the runner
            is probed.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        probes: LoadProbes,
        runner: fleet.Runner,
        attempt_id: ids.AttemptId,
        silence_timeout: asyncio.Timeout,
        first_part_limit_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._probes = probes
        self._runner = runner
        self._attempt_id = attempt_id
        self._silence_timeout = silence_timeout
        self._silence_limit_s = max(PROBE_INTERVAL_S, first_part_limit_s)
        self._clock = clock
        self._last_part_s = clock()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to watch the stream."""
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def close(self) -> None:
        """Stop watching the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def record_part(self) -> None:
        """Record that a part has arrived."""
        self._last_part_s = self._clock()
        self._silence_limit_s = PROBE_INTERVAL_S

    async def _watch(self) -> None:
        while True:
            silent_s = self._clock() - self._last_part_s
            if silent_s < self._silence_limit_s:
                await asyncio.sleep(self._silence_limit_s - silent_s)
                continue
            last_part_s = self._last_part_s
            if await self._is_attempt_over() and self._last_part_s == last_part_s:
                self._silence_timeout.reschedule(asyncio.get_running_loop().time())
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_attempt_over(self) -> bool:
        probe_result = await self._probes.load(self._runner)
        if isinstance(probe_result, Err):
            return False
        load = probe_result.ok_value
        # A load report that is not clearly newer than the last part, or than
        # the start if there was no part, may predate the arrival of the
        # attempt, and does not show that it ended.
        if load.as_of_s <= self._last_part_s + ARRIVAL_MARGIN_S:
            return False
        return all(memory.attempt_id != self._attempt_id for memory in load.held)
