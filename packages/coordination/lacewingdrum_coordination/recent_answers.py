"""Remembers for a moment which requests were answered whole."""

import collections

REQUESTS_MAX = 2_000
EDGE_BYTES = 64


def quick_key(target: str, customer: str, body: bytes) -> int:
    """Return a key that copies of a request share, without reading its body.

    Different requests may share it too: those whose bodies differ in the
    middle only.
    """
    return hash((target, customer, len(body), body[:EDGE_BYTES], body[-EDGE_BYTES:]))


class RecentAnswers:
    """When requests were last answered whole, by their quick key."""

    def __init__(self) -> None:
        self._at_s: collections.OrderedDict[int, float] = collections.OrderedDict()

    def record(self, key: int, now_s: float) -> None:
        """Record a whole answer; the oldest of too many are forgotten."""
        self._at_s[key] = now_s
        self._at_s.move_to_end(key)
        if len(self._at_s) > REQUESTS_MAX:
            self._at_s.popitem(last=False)

    def last_s(self, key: int) -> float | None:
        """Return when a request was last answered whole, if that is known."""
        return self._at_s.get(key)
