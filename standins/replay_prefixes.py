"""Compares methods of locating the runners that cache a prompt's prefix.

Run as ``python -m standins.replay_prefixes``. The variant ``index`` is the
product's prefix index: it tracks all blocks, from the engines' cache events
and from the prompts that the daemon sent. ``events`` and ``sends`` use only
one of these two sources. ``sketch`` follows Algorithm 1 of the paper on
cluster deduplication: a prompt is represented by its k smallest fingerprints.
Their remainders select candidate runners, and they are compared with the
fingerprints of prompts sent before. A sketch needs no cache events.
"""

import argparse
import collections
import dataclasses
import multiprocessing
import time
from collections.abc import Callable, Sequence

from lacewingdrum_coordination import prefixes
from lacewingdrum_state import ids
from standins import (
    prefix_cache,
    replay_fleet,
    replay_measures,
    replay_policies,
    traces,
)

LOAD = 0.9
PROCESS_COUNT = 6
SKETCH_ENTRIES = 16_384
FINGERPRINT_BYTES = 8
EVENT_BYTES = 11


class CountingCache(prefix_cache.PrefixCache):
    """An engine's prefix cache that sums the tokens it saved."""

    hit_tokens = 0

    def cached_tokens(self, block_hashes: Sequence[int]) -> int:
        """Return the tokens that need no prefill, and add them to the sum."""
        tokens = super().cached_tokens(block_hashes)
        self.hit_tokens += tokens
        return tokens


class MeasuredIndex(prefixes.PrefixIndex):
    """A prefix index that counts its lookups, their time and its events."""

    def __init__(self) -> None:
        """Create an empty index."""
        super().__init__()
        self.lookup_s = 0.0
        self.lookups = 0
        self.events = 0

    def observe(
        self, runner_id: ids.RunnerId, changes: Sequence[prefixes.BlockChange]
    ) -> None:
        """Apply and count cache events."""
        self.events += len(changes)
        super().observe(runner_id, changes)

    def sent(self, runner_id: ids.RunnerId, block_hashes: Sequence[int]) -> None:
        """Record the blocks of a sent prompt as stored, but not as events."""
        event_count = self.events
        super().sent(runner_id, block_hashes)
        self.events = event_count

    def lookup(self, block_hashes: Sequence[int]) -> prefixes.Hits:
        """Return how many tokens each runner holds, and time the lookup."""
        start_s = time.perf_counter()
        hits = self.find(block_hashes)
        self.lookup_s += time.perf_counter() - start_s
        self.lookups += 1
        return hits

    def find(self, block_hashes: Sequence[int]) -> prefixes.Hits:
        """Return how many tokens each runner holds."""
        return super().lookup(block_hashes)

    def entry_count(self) -> int:
        """Return the number of stored fingerprints."""
        return len(self)


class EventsIndex(MeasuredIndex):
    """An index that uses only cache events."""

    def sent(self, runner_id: ids.RunnerId, block_hashes: Sequence[int]) -> None:
        """Ignore the prompts that the daemon sent."""


class EmptyIndex(EventsIndex):
    """An index that stays empty; the base of the comparison."""

    def observe(
        self, runner_id: ids.RunnerId, changes: Sequence[prefixes.BlockChange]
    ) -> None:
        """Ignore cache events."""


class SendsIndex(MeasuredIndex):
    """An index that uses only the prompts that the daemon sent."""

    _is_sending = False

    def sent(self, runner_id: ids.RunnerId, block_hashes: Sequence[int]) -> None:
        """Record the blocks of a sent prompt as stored."""
        self._is_sending = True
        super().sent(runner_id, block_hashes)
        self._is_sending = False

    def observe(
        self, runner_id: ids.RunnerId, changes: Sequence[prefixes.BlockChange]
    ) -> None:
        """Ignore the cache events of engines.

        The base class calls this method for sent prompts, too.
        """
        if self._is_sending:
            super().observe(runner_id, changes)


class SketchIndex(MeasuredIndex):
    """Stores the k smallest fingerprints of each sent prompt."""

    k = 8

    def __init__(self) -> None:
        """Create an index without any prompt."""
        super().__init__()
        self._runners_by_fingerprint: collections.OrderedDict[
            int, set[ids.RunnerId]
        ] = collections.OrderedDict()
        self._runner_ids: list[ids.RunnerId] = []

    def observe(
        self, runner_id: ids.RunnerId, changes: Sequence[prefixes.BlockChange]
    ) -> None:
        """Record only the runner's identifier."""
        if runner_id not in self._runner_ids:
            self._runner_ids = sorted([*self._runner_ids, runner_id])

    def sent(self, runner_id: ids.RunnerId, block_hashes: Sequence[int]) -> None:
        """Store the sketch of a sent prompt."""
        for fingerprint in sorted(block_hashes)[: self.k]:
            self._runners_by_fingerprint.setdefault(fingerprint, set()).add(runner_id)
            self._runners_by_fingerprint.move_to_end(fingerprint)
        while len(self._runners_by_fingerprint) > SKETCH_ENTRIES:
            self._runners_by_fingerprint.popitem(last=False)

    def find(self, block_hashes: Sequence[int]) -> prefixes.Hits:
        """Estimate the tokens held from the share of common fingerprints."""
        sketch = sorted(block_hashes)[: self.k]
        shares: dict[ids.RunnerId, float] = {}
        for fingerprint in sketch:
            for runner_id in self._runners_by_fingerprint.get(fingerprint, ()):
                shares[runner_id] = shares.get(runner_id, 0.0) + 1 / len(sketch)
            if self._runner_ids:
                candidate = self._runner_ids[fingerprint % len(self._runner_ids)]
                shares.setdefault(candidate, 1 / (4 * self.k))
        total_tokens = len(block_hashes) * prefixes.BLOCK_TOKENS
        bits = {runner_id: 1 << n for n, runner_id in enumerate(shares)}
        steps = sorted(
            ((int(total_tokens * share), bits[key]) for key, share in shares.items()),
            reverse=True,
        )
        return prefixes.Hits(steps, bits, list(shares))

    def entry_count(self) -> int:
        """Return the number of stored fingerprints."""
        return len(self._runners_by_fingerprint)


class Sketch32(SketchIndex):
    """A sketch index with 32 fingerprints for each prompt."""

    k = 32


VARIANTS: dict[str, type[MeasuredIndex]] = {
    "none": EmptyIndex,
    "events": EventsIndex,
    "index": MeasuredIndex,
    "sends": SendsIndex,
    "sketch k=8": SketchIndex,
    "sketch k=32": Sketch32,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A replay that fills one line of the table."""

    workload: str
    variant: str


def run(task: Task) -> str:
    """Return the table line of one variant and one workload."""
    trace = traces.load(traces.path_of(task.workload))
    indexes: list[MeasuredIndex] = []

    def make() -> prefixes.PrefixIndex:
        indexes.append(VARIANTS[task.variant]())
        return indexes[-1]

    maker: Callable[[], prefixes.PrefixIndex] = make
    plan = replay_fleet.Plan(
        trace, LOAD, replay_policies.PolicyName.OURS, make_index=maker
    )
    fleet_replay = replay_fleet.Replay(plan)
    caches = _count_hits(fleet_replay)
    outcomes = fleet_replay.run()
    measures = replay_measures.measure(trace.header, outcomes, ())
    prompt_tokens = sum(
        outcome.row.prompt_tokens for outcome in outcomes if not outcome.refusal
    )
    hit_tokens = sum(cache.hit_tokens for cache in caches)
    span_s = outcomes[-1].arrived_s
    lookup_us = sum(index.lookup_s for index in indexes) * 1e6
    lookup_us /= sum(index.lookups for index in indexes)
    index_bytes = max(index.entry_count() for index in indexes) * 2 * FINGERPRINT_BYTES
    event_bytes = max(index.events for index in indexes) * EVENT_BYTES / span_s
    short_s, mid_s, _ = measures.first_token_p95_s
    return (
        f"{task.workload:<12} {task.variant:<16} {hit_tokens / 1e6:>8.2f}"
        f" {hit_tokens / prompt_tokens:>7.3f} {index_bytes:>10} {event_bytes:>8.0f}"
        f" {lookup_us:>8.1f} {short_s:>8.3f} {mid_s:>7.2f} {measures.worth_share:>7.3f}"
    )


def _count_hits(fleet_replay: replay_fleet.Replay) -> list[CountingCache]:
    caches = []
    for engine in fleet_replay.engines.values():
        config = engine.config
        cache = CountingCache(
            config.cache_tokens, config.cache_event_lag_s, config.cache_gap_every
        )
        engine._cache = cache
        caches.append(cache)
    return caches


def main() -> None:
    """Print the table."""
    names = [header.workload for header in traces.WORKLOADS]
    parser = argparse.ArgumentParser(prog="python -m standins.replay_prefixes")
    parser.add_argument("--variant", choices=list(VARIANTS), action="append")
    chosen = parser.parse_args().variant or list(VARIANTS)
    tasks = [Task(name, variant) for name in names for variant in chosen]
    print(
        f"{'trace':<12} {'variant':<16} {'hits, M':>8} {'share':>7} {'bytes':>10}"
        f" {'B/s':>8} {'us':>8} {'short s':>8} {'mid s':>7} {'worth':>7}"
    )
    with multiprocessing.Pool(PROCESS_COUNT) as pool:
        for line in pool.imap(run, tasks):
            print(line)


if __name__ == "__main__":
    main()
