"""Times at which refused requests are told to come back.

A refused request comes back when room is expected for it, after those that
were told to come back before it and have no less urgent rank.
"""

import collections
import dataclasses
import random

RETRY_AFTER_MIN_S = 0.15
# Times are lengthened by up to this share at random, against herds.
SPREAD_RATIO = 0.25
PROMISES_MAX = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Promise:
    due_s: float
    rank: int
    work_ms: float


class PromisedReturns:
    """The refused requests of one service that are told to come back."""

    def __init__(self) -> None:
        self._promises: collections.deque[_Promise] = collections.deque()

    def __len__(self) -> int:
        return len(self._promises)

    def promise(
        self,
        rank: int,
        work_ms: float,
        needed_ms: float,
        ahead_ms: float,
        engine_count: float,
        now_s: float,
        rng: random.Random,
    ) -> float:
        """Promise a request room, and return when it is to come back.

        Args:
            rank: its rank, 0 for the most urgent.
            work_ms: the prefill time of its prompt, on one engine.
            needed_ms: the time that must pass at the least.
            ahead_ms: the prefill time of the requests that wait before it.
            engine_count: the engines on which this daemon's requests may
                count, its share of those of the service.
            now_s: the current time.
            rng: spreads the times.

        Returns:
            The time from now on, in seconds.
        """
        if self._promises and self._promises[0].due_s <= now_s:
            self._promises = collections.deque(
                item for item in self._promises if item.due_s > now_s
            )
        promised_ms = sum(item.work_ms for item in self._promises if item.rank <= rank)
        queued_ms = (ahead_ms + promised_ms + work_ms) / max(engine_count, 1e-3)
        retry_s = max((needed_ms + queued_ms) / 1_000, RETRY_AFTER_MIN_S)
        retry_s *= 1.0 + SPREAD_RATIO * rng.random()
        self._promises.append(_Promise(now_s + retry_s, rank, work_ms))
        if len(self._promises) > PROMISES_MAX:
            self._promises.popleft()
        return retry_s
