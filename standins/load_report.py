"""Load reports of a modelled engine, which lag behind its actual load."""

import collections
from collections.abc import Callable, Iterable, Mapping

import msgspec

from lacewingdrum_protocol import runner_api
from standins import engine_types

SNAPSHOTS_PER_LAG = 4


def make_load_answer(
    config: engine_types.RunnerConfig,
    entries: Iterable[engine_types.Entry],
    running_count: int,
    kv_used_tokens: int,
    held: Mapping[str, int],
) -> runner_api.LoadAnswer:
    """Compute an engine's current load.

    Args:
        config: The engine's size and speed.
        entries: Its waiting and running jobs.
        running_count: The number of jobs in the batch.
        kv_used_tokens: The memory in use.
        held: The memory in use by each attempt.
    """
    queued = [0, 0, 0]
    for entry in entries:
        queued[entry.job.priority] += entry.prefill_tokens_left
    return runner_api.LoadAnswer(
        runner_id=config.runner_id,
        age_ms=0,
        queued_short_tokens=queued[runner_api.Priority.SHORT],
        queued_mid_tokens=queued[runner_api.Priority.MID],
        queued_long_tokens=queued[runner_api.Priority.LONG],
        running_count=running_count,
        kv_used_tokens=kv_used_tokens,
        kv_capacity_tokens=config.kv_capacity_tokens,
        prefill_tokens_per_s=config.prefill_tokens_per_s,
        decode_tokens_per_s=1 / config.decode_step_s,
        held=tuple(
            runner_api.HeldMemoryEntry(key, tokens) for key, tokens in held.items()
        ),
    )


class LoadReport:
    """Stores recent loads and returns them with a lag."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._snapshots: collections.deque[tuple[float, runner_api.LoadAnswer]] = (
            collections.deque(maxlen=8 * SNAPSHOTS_PER_LAG)
        )

    def record(self, now_s: float, load: Callable[[], runner_api.LoadAnswer]) -> None:
        """Store the current load, unless the last snapshot is still recent.

        A snapshot is recent for a ``SNAPSHOTS_PER_LAG``-th of the lag.

        Args:
            now_s: The time of the load.
            load: Computes the load; called only if it is stored.
        """
        if (
            self._snapshots
            and now_s - self._snapshots[-1][0] < self._lag_s / SNAPSHOTS_PER_LAG
        ):
            return
        self._snapshots.append((now_s, load()))

    def lagged_load(self, now_s: float) -> runner_api.LoadAnswer:
        """Return the newest load that is at least as old as the lag.

        Args:
            now_s: The time of the read.

        Returns:
            That load with its age, or a more recent one if no load has an
            age between the lag and three times the lag.
        """
        chosen_s, chosen = self._snapshots[-1]
        for snapshot_s, answer in reversed(self._snapshots):
            if now_s - snapshot_s > 3 * self._lag_s:
                break
            chosen_s, chosen = snapshot_s, answer
            if now_s - snapshot_s >= self._lag_s:
                break
        return msgspec.structs.replace(chosen, age_ms=round((now_s - chosen_s) * 1000))
