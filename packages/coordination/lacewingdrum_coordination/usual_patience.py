"""Tells requests that come back after a refusal from those that are new.

Callers state the time that they have left. One that came back has used some
of it, so it states less than is usual on its route.
"""

import collections

# A caller with less than this share of the usual time has come back.
RETURNED_RATIO = 0.9
# The usual time is the longest of this many requests.
REMEMBERED_REQUESTS = 64


class UsualPatience:
    """The times that the last callers of each route stated."""

    def __init__(self) -> None:
        self._stated_ms: dict[str, collections.deque[float]] = {}

    def has_returned(self, route: str, patience_ms: float | None) -> bool:
        """Count a request, and return whether it has probably come back.

        Args:
            route: the name of its route.
            patience_ms: the time that its caller has left, or None if that is
                not stated.
        """
        if patience_ms is None:
            return False
        stated_ms = self._stated_ms.get(route)
        if stated_ms is None:
            stated_ms = collections.deque(maxlen=REMEMBERED_REQUESTS)
            self._stated_ms[route] = stated_ms
        stated_ms.append(patience_ms)
        return patience_ms < RETURNED_RATIO * max(stated_ms)
