"""Counts which share of the recent requests has a part of a prompt."""

import collections

from lacewingdrum_state import ids

RECENT_REQUESTS = 64
# A share of fewer requests than this says too little.
REQUESTS_MIN = 32
NEARLY_ALL_SHARE = 0.9


class PartShares:
    """The parts of the recent requests for one service."""

    def __init__(self) -> None:
        self._recent: collections.deque[ids.PromptParts] = collections.deque()
        self._counts: collections.Counter[ids.PromptPart] = collections.Counter()

    def record(self, parts: ids.PromptParts) -> None:
        """Record the shared parts of a request."""
        self._recent.append(parts)
        self._counts.update(parts)
        if len(self._recent) > RECENT_REQUESTS:
            dropped = self._recent.popleft()
            self._counts.subtract(dropped)
            for part in dropped:
                if not self._counts[part]:
                    del self._counts[part]

    def in_nearly_all(self, parts: ids.PromptParts) -> frozenset[ids.PromptPart]:
        """Return those of the parts that nearly all requests have."""
        if len(self._recent) < REQUESTS_MIN:
            return frozenset()
        least_count = NEARLY_ALL_SHARE * len(self._recent)
        return frozenset(part for part in parts if self._counts[part] >= least_count)
