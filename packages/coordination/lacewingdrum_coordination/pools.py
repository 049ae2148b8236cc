"""The runners of one service, and which of them a decision looks at.

A small pool is looked at whole. Of a large one a decision sees a random
sample and the runners that hold the prompt's start, so that its cost does not
grow with the fleet.
"""

import math
import random
from collections.abc import Iterable

from lacewingdrum_coordination import (
    coordinators,
    demand,
    prefixes,
    priorities,
    runner_projections,
)
from lacewingdrum_state import fleet, ids

SCAN_ALL_COUNT = 32
SAMPLE_COUNT = 10
MAX_HOLDERS = 4


class RunnerPool:
    """The live runners of one service."""

    def __init__(self) -> None:
        """Start without runners and without demand."""
        self.runners: list[runner_projections.RunnerProjection] = []
        self.demand = demand.DemandMeter()
        self._by_id: dict[ids.RunnerId, runner_projections.RunnerProjection] = {}
        self._ranked: list[runner_projections.RunnerProjection] = []
        self._backlogs: dict[ids.RunnerId, float] = {}
        self._backlog_tokens = 0.0
        self._busy: dict[ids.RunnerId, float] = {}
        self._busy_sum = 0.0

    def set_runners(
        self, runners: Iterable[runner_projections.RunnerProjection]
    ) -> None:
        """Take over the live runners of the service."""
        self.runners = list(runners)
        self._by_id = {
            projection.runner.runner_id: projection for projection in self.runners
        }
        self._ranked = sorted(
            self.runners,
            key=lambda projection: coordinators.stable_hash(
                projection.runner.runner_id
            ),
        )
        for position, projection in enumerate(self._ranked):
            projection.rank = position
        for gone in self._backlogs.keys() - self._by_id.keys():
            del self._backlogs[gone]
            del self._busy[gone]
        self._backlog_tokens = sum(self._backlogs.values())
        self._busy_sum = sum(self._busy.values())

    def note_load(self, load: fleet.RunnerLoad) -> None:
        """Keep the sum of what runners report as queued."""
        if load.runner_id not in self._by_id:
            return
        busy_ratio = self._by_id[load.runner_id].busy_ratio
        self._busy_sum += busy_ratio - self._busy.get(load.runner_id, 0.0)
        self._busy[load.runner_id] = busy_ratio
        queued = (
            load.queued_short_tokens + load.queued_mid_tokens + load.queued_long_tokens
        )
        before = self._backlogs.get(load.runner_id, 0.0)
        self._backlogs[load.runner_id] = queued
        self._backlog_tokens += queued - before

    def rate_tokens_per_s(self) -> float:
        """Returns: what all runners together can prefill."""
        if not self.runners:
            return 0.0
        return len(self.runners) * self.runners[0].prefill_tokens_per_s

    def backlog_s(self) -> float:
        """Returns: how long the reported queues take to drain."""
        rate = self.rate_tokens_per_s()
        return self._backlog_tokens / rate if rate else 0.0

    def utilisation(self, priority: int, now_s: float) -> float:
        """Estimate the share of the runners' time that demand takes.

        The runners' own reports say how busy they are; this daemon's sends
        say which part of that is of which priority.

        Args:
            priority: demand up to this priority is counted.
            now_s: the present.

        Returns:
            The share, 1 at most.
        """
        if not self.runners:
            return 0.0
        share = self.demand.share(priority, now_s)
        return share * self._busy_sum / len(self.runners)

    def kept_free_count(self, ratio: float, short_utilisation: float) -> int:
        """Returns: runners kept free of long prompts for short demand."""
        count = len(self.runners)
        return min(count // 3, math.ceil(ratio * short_utilisation * count))

    def candidates(
        self,
        rng: random.Random,
        priority: int,
        kept_free: int,
        excluded: frozenset[ids.RunnerId],
        hits: prefixes.Hits,
    ) -> list[runner_projections.RunnerProjection]:
        """Choose the runners that a decision looks at.

        Args:
            rng: draws the sample of a large pool.
            priority: the request's priority.
            kept_free: how many runners take no long prompt.
            excluded: runners that must not be looked at.
            hits: which runners hold the prompt's start.

        Returns:
            Runners, none of them twice.
        """
        seen = self._seen(rng, priority, kept_free, hits)
        if excluded:
            seen = [
                projection
                for projection in seen
                if projection.runner.runner_id not in excluded
            ]
            if not seen:
                return [
                    projection
                    for projection in self.runners
                    if projection.runner.runner_id not in excluded
                ]
        return seen

    def _seen(
        self,
        rng: random.Random,
        priority: int,
        kept_free: int,
        hits: prefixes.Hits,
    ) -> list[runner_projections.RunnerProjection]:
        eligible = self._ranked
        if priority == priorities.LONG and kept_free:
            eligible = self._ranked[kept_free:]
        if len(eligible) <= SCAN_ALL_COUNT:
            return eligible
        # Neighbours in the ranked order are strangers to each other, so a
        # stretch of it from a random place is as good as a drawn sample.
        start = int(rng.random() * len(eligible))
        sample = eligible[start : start + SAMPLE_COUNT]
        sample += eligible[: SAMPLE_COUNT - len(sample)]
        first_rank = kept_free if priority == priorities.LONG else 0
        extra = {}
        for runner_id in hits.best(MAX_HOLDERS):
            projection = self._by_id.get(runner_id)
            if projection is not None and projection.rank >= first_rank:
                extra[runner_id] = projection
        for projection in sample:
            extra[projection.runner.runner_id] = projection
        return list(extra.values())
