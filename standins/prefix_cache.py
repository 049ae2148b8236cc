"""The prefix cache of a modelled engine; its events are late and have gaps."""

import collections
import dataclasses
from collections.abc import Sequence

from lacewingdrum_protocol import runner_api

BLOCK_TOKENS = 256
EVENT_LOG_LENGTH = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _LoggedEvent:
    at_s: float
    event: runner_api.CacheEvent


class PrefixCache:
    """The prompt blocks that an engine holds, with LRU eviction."""

    def __init__(self, capacity_tokens: int, lag_s: float, gap_every: int) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._log: collections.deque[_LoggedEvent] = collections.deque(
            maxlen=EVENT_LOG_LENGTH
        )
        self._last_seq = 0

    def cached_tokens(self, block_hashes: Sequence[int]) -> int:
        """Count the tokens of the longest prefix of a prompt that is held.

        The blocks of this prefix become the most recently used ones.

        Args:
            block_hashes: Chained hashes of the prompt's blocks.

        Returns:
            The number of tokens that need no prefill.
        """
        count = 0
        for block_hash in block_hashes:
            if block_hash not in self._blocks:
                break
            self._blocks.move_to_end(block_hash)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, block_hashes: Sequence[int], now_s: float) -> None:
        """Store a prompt's first blocks, up to half of the cache's capacity.

        Args:
            block_hashes: Chained hashes of the prompt's blocks.
            now_s: The time of the resulting events.
        """
        # A prompt longer than the cache would otherwise evict its own first
        # blocks, and the blocks after them can only be found through these.
        for block_hash in block_hashes[: self._capacity_blocks // 2]:
            if block_hash in self._blocks:
                self._blocks.move_to_end(block_hash)
                continue
            self._blocks[block_hash] = None
            self._record_event(runner_api.CacheChange.STORED, block_hash, now_s)
        while len(self._blocks) > self._capacity_blocks:
            block_hash, _ = self._blocks.popitem(last=False)
            self._record_event(runner_api.CacheChange.EVICTED, block_hash, now_s)

    def events(self, since: int, now_s: float) -> runner_api.CacheEventsAnswer:
        """Return the events after ``since`` that have been published.

        Args:
            since: The last sequence number that the reader has received.
            now_s: The time of the read, on the engine's clock.

        Returns:
            The events, without every ``gap_every``-th one.
        """
        visible = [
            logged.event
            for logged in self._log
            if logged.event.seq > since and logged.at_s + self._lag_s <= now_s
        ]
        last_seq = visible[-1].seq if visible else since
        reported = tuple(event for event in visible if event.seq % self._gap_every != 0)
        return runner_api.CacheEventsAnswer(reported, last_seq)

    def _record_event(
        self, change: runner_api.CacheChange, block_hash: int, now_s: float
    ) -> None:
        self._last_seq += 1
        event = runner_api.CacheEvent(self._last_seq, change, block_hash)
        self._log.append(_LoggedEvent(now_s, event))
