"""Runners of one service, and the subset that a decision considers.

A decision considers all runners of a small pool. In a large pool it considers
a random sample and the runners that cache the prompt's prefix, so that its
cost does not grow with the number of runners.

The daemon ``lacewingdrumd`` uses this module, through ``routing``.
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
        """Create an empty pool without demand."""
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
        """Replace the live runners of the service."""
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
        """Update the sums of queued tokens and busy ratios."""
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
        """Return the prefill rate of all runners together.

        All runners are taken to have the speed of the first one.
        """
        if not self.runners:
            return 0.0
        return len(self.runners) * self.runners[0].prefill_tokens_per_s

    def backlog_s(self) -> float:
        """Return how long the reported queues take to drain."""
        rate = self.rate_tokens_per_s()
        return self._queued_tokens_sum / rate if rate else 0.0

    def utilisation(self, priority: int, now_s: float) -> float:
        """Estimate the share of the runners' time that requests take.

        The runners' reports state how busy they are. The work that this
        daemon sent gives the proportions of the priorities.

        Args:
            priority: lowest priority (highest number) that is counted.
            now_s: current time.

        Returns:
            The share, at most 1.
        """
        if not self.runners:
            return 0.0
        share = self.demand.share(priority, now_s)
        return share * self._busy_ratio_sum / len(self.runners)

    def without_long_runner_count(self, ratio: float, short_utilisation: float) -> int:
        """Return the number of runners that take no long prompts.

        Args:
            ratio: this number as a multiple of the runners that short prompts
                keep busy.
            short_utilisation: the share of the runners' time that short
                prompts take.

        Returns:
            The number, which is at most a third of the runners.
        """
        count = len(self.runners)
        return min(count // 3, math.ceil(ratio * short_utilisation * count))

    def candidates(
        self,
        rng: random.Random,
        priority: int,
        without_long_count: int,
        excluded: frozenset[ids.RunnerId],
        hits: prefixes.Hits,
    ) -> list[runner_projections.RunnerProjection]:
        """Choose the runners that a decision considers.

        Args:
            rng: random source for the sample of a large pool.
            priority: the request's priority.
            without_long_count: number of runners that take no long prompts.
            excluded: runners that must not be considered.
            hits: runners that cache the prompt's prefix.

        Returns:
            Runners without duplicates. If all considered runners are
            excluded, this is every runner that is not excluded.
        """
        considered = self._considered(rng, priority, without_long_count, hits)
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
        without_long_count: int,
        hits: prefixes.Hits,
    ) -> list[runner_projections.RunnerProjection]:
        eligible = self._ranked
        if priority == priorities.LONG and without_long_count:
            eligible = self._ranked[without_long_count:]
        if len(eligible) <= MAX_SCANNED_RUNNERS:
            return eligible
        # The ranking follows a hash of the runner ids, so neighbours are
        # unrelated and a slice from a random start is a random sample.
        start = int(rng.random() * len(eligible))
        sample = eligible[start : start + SAMPLE_SIZE]
        sample += eligible[: SAMPLE_SIZE - len(sample)]
        first_rank = without_long_count if priority == priorities.LONG else 0
        by_id = {}
        for runner_id in hits.best(MAX_CACHE_HOLDERS):
            projection = self._by_id.get(runner_id)
            if projection is not None and projection.rank >= first_rank:
                by_id[runner_id] = projection
        for projection in sample:
            by_id[projection.runner.runner_id] = projection
        return list(by_id.values())
