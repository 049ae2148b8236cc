"""Remembers for how long runners want no request from this daemon.

A pause belongs to an incarnation of a runner, and lasts also while the
platform's list does not have that: an entry may expire and come back while its
runner goes on.
"""

import dataclasses

from lacewingdrum_state import ids, runner_entries

PAUSES_MAX = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    born_ms: int
    until_s: float


class RunnerPauses:
    """The pauses of runners that have not ended."""

    def __init__(self) -> None:
        self._by_runner: dict[ids.RunnerId, _Pause] = {}

    def record(
        self, entry: runner_entries.RunnerEntry, until_s: float, now_s: float
    ) -> None:
        """Record that a runner wants no request until a time.

        A pause that is known of a later incarnation, or ends later, stays.
        """
        known = self._by_runner.get(entry.runner_id)
        if known is not None and known.until_s > now_s:
            if known.born_ms > entry.born_ms:
                return
            if known.born_ms == entry.born_ms:
                until_s = max(until_s, known.until_s)
        self._by_runner[entry.runner_id] = _Pause(entry.born_ms, until_s)
        self._drop_ended(now_s)

    def left_s(self, entry: runner_entries.RunnerEntry, now_s: float) -> float:
        """Return how long a runner still wants no request, or 0.

        A list from an older copy of the store may show an earlier incarnation;
        the pause holds for that too.
        """
        pause = self._by_runner.get(entry.runner_id)
        if pause is None or entry.born_ms > pause.born_ms:
            return 0.0
        return max(pause.until_s - now_s, 0.0)

    def _drop_ended(self, now_s: float) -> None:
        if len(self._by_runner) <= PAUSES_MAX:
            return
        self._by_runner = {
            runner_id: pause
            for runner_id, pause in self._by_runner.items()
            if pause.until_s > now_s
        }
        while len(self._by_runner) > PAUSES_MAX:
            del self._by_runner[next(iter(self._by_runner))]
