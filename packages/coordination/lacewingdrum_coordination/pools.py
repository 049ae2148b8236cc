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

MAX_SCANNED_RUNNERS = 32
SAMPLE_SIZE = 10
MAX_CACHE_HOLDERS = 4


class RunnerPool:
    """The live runners of one service."""

    def __init__(self) -> None:
        """Start without runners and without demand."""
        self.runners: list[runner_projections.RunnerProjection] = []
        self.demand = demand.DemandMeter()
        self._by_id: dict[ids.RunnerId, runner_projections.RunnerProjection] = {}
        self._ranked: list[runner_projections.RunnerProjection] = []
        self._queued_tokens: dict[ids.RunnerId, float] = {}
        self._queued_tokens_sum = 0.0
        self._busy_ratios: dict[ids.RunnerId, float] = {}
        self._busy_ratio_sum = 0.0

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
        for removed_id in self._queued_tokens.keys() - self._by_id.keys():
            del self._queued_tokens[removed_id]
            del self._busy_ratios[removed_id]
        self._queued_tokens_sum = sum(self._queued_tokens.values())
        self._busy_ratio_sum = sum(self._busy_ratios.values())

    def observe_load(self, load: fleet.RunnerLoad) -> None:
        """Keep the sum of what runners report as queued."""
        if load.runner_id not in self._by_id:
            return
        busy_ratio = self._by_id[load.runner_id].busy_ratio
        self._busy_ratio_sum += busy_ratio - self._busy_ratios.get(load.runner_id, 0.0)
        self._busy_ratios[load.runner_id] = busy_ratio
        queued_tokens = (
            load.queued_short_tokens + load.queued_mid_tokens + load.queued_long_tokens
        )
        previous_tokens = self._queued_tokens.get(load.runner_id, 0.0)
        self._queued_tokens[load.runner_id] = queued_tokens
        self._queued_tokens_sum += queued_tokens - previous_tokens

    def rate_tokens_per_s(self) -> float:
        """Returns: what all runners together can prefill."""
        if not self.runners:
            return 0.0
        return len(self.runners) * self.runners[0].prefill_tokens_per_s

    def backlog_s(self) -> float:
        """Returns: how long the reported queues take to drain."""
        rate = self.rate_tokens_per_s()
        return self._queued_tokens_sum / rate if rate else 0.0

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
        return share * self._busy_ratio_sum / len(self.runners)

    def no_long_runner_count(self, ratio: float, short_utilisation: float) -> int:
        """Returns: runners kept free of long prompts for short demand."""
        count = len(self.runners)
        return min(count // 3, math.ceil(ratio * short_utilisation * count))

    def candidates(
        self,
        rng: random.Random,
        priority: int,
        no_long_count: int,
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
        considered = self._considered(rng, priority, no_long_count, hits)
        if excluded:
            considered = [
                projection
                for projection in considered
                if projection.runner.runner_id not in excluded
            ]
            if not considered:
                return [
                    projection
                    for projection in self.runners
                    if projection.runner.runner_id not in excluded
                ]
        return considered

    def _considered(
        self,
        rng: random.Random,
        priority: int,
        no_long_count: int,
        hits: prefixes.Hits,
    ) -> list[runner_projections.RunnerProjection]:
        eligible = self._ranked
        if priority == priorities.LONG and no_long_count:
            eligible = self._ranked[no_long_count:]
        if len(eligible) <= MAX_SCANNED_RUNNERS:
            return eligible
        # Neighbours in the ranked order are strangers to each other, so a
        # stretch of it from a random place is as good as a drawn sample.
        start = int(rng.random() * len(eligible))
        sample = eligible[start : start + SAMPLE_SIZE]
        sample += eligible[: SAMPLE_SIZE - len(sample)]
        first_rank = no_long_count if priority == priorities.LONG else 0
        by_id = {}
        for runner_id in hits.best(MAX_CACHE_HOLDERS):
            projection = self._by_id.get(runner_id)
            if projection is not None and projection.rank >= first_rank:
                by_id[runner_id] = projection
        for projection in sample:
            by_id[projection.runner.runner_id] = projection
        return list(by_id.values())
