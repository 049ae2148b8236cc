"""Requests that are put off, in the order in which they go on."""

import bisect
import dataclasses
import heapq
import itertools
import math

WAITING_MAX = 10_000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Order:
    """The place of a request; the lowest goes on first.

    Requests go by rank, those of customers within their share first, then
    those that would still be in time, then by the objective of their route,
    then those that came back after a refusal, then by arrival.
    """

    rank: int
    is_over_share: bool
    is_late: bool
    objective_ms: float
    is_new: bool
    arrived_s: float


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits until ``until_s`` at the latest."""

    order: Order
    until_s: float
    body_bytes: int
    work_ms: float


class WaitingRequests:
    """The requests of one service that wait in this daemon.

    ``body_bytes_max`` bounds the bodies that are held for them together.
    """

    def __init__(self, body_bytes_max: int, waiting_max: int = WAITING_MAX) -> None:
        self._body_bytes_max = body_bytes_max
        self._waiting_max = waiting_max
        self._ordered: list[Waiting] = []
        self._ends: list[tuple[float, int, Waiting]] = []
        self._numbers = itertools.count()
        self._present: set[int] = set()
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self._ordered)

    def add(self, waiting: Waiting) -> list[Waiting]:
        """Add a request; return those that must be refused for it.

        The least urgent ones are, which may be the added one.
        """
        bisect.insort(self._ordered, waiting, key=_order)
        self._present.add(id(waiting))
        heapq.heappush(self._ends, (waiting.until_s, next(self._numbers), waiting))
        self.body_bytes += waiting.body_bytes
        dropped: list[Waiting] = []
        while (
            len(self._ordered) > self._waiting_max
            or self.body_bytes > self._body_bytes_max
        ):
            last = self._ordered[-1]
            self.remove(last)
            dropped.append(last)
        return dropped

    def remove(self, waiting: Waiting) -> None:
        """Remove a request; one that is not there is ignored."""
        if id(waiting) not in self._present:
            return
        self._present.discard(id(waiting))
        place = bisect.bisect_left(self._ordered, waiting.order, key=_order)
        while self._ordered[place] is not waiting:
            place += 1
        del self._ordered[place]
        self.body_bytes -= waiting.body_bytes
        if len(self._ends) > 2 * len(self._ordered) + 16:
            self._ends = [end for end in self._ends if id(end[2]) in self._present]
            heapq.heapify(self._ends)

    def has_before(self, order: Order) -> bool:
        """Return whether any request waits that goes before this place."""
        return bool(self._ordered) and self._ordered[0].order < order

    def work_before_ms(self, order: Order) -> float:
        """Return the work of the requests that go before this place."""
        place = bisect.bisect_left(self._ordered, order, key=_order)
        return sum(item.work_ms for item in self._ordered[:place])

    def next_end_s(self) -> float:
        """Return when the next wait ends, or infinity."""
        while self._ends and id(self._ends[0][2]) not in self._present:
            heapq.heappop(self._ends)
        return self._ends[0][0] if self._ends else math.inf

    def take_ended(self, now_s: float) -> list[Waiting]:
        """Remove and return the requests whose wait is over."""
        ended: list[Waiting] = []
        while self.next_end_s() <= now_s:
            _, _, waiting = heapq.heappop(self._ends)
            ended.append(waiting)
            self.remove(waiting)
        return ended

    def take_first(self) -> list[Waiting]:
        """Remove and return the request that goes on first, if any waits."""
        first = self._ordered[:1]
        for waiting in first:
            self.remove(waiting)
        return first


def _order(waiting: Waiting) -> Order:
    return waiting.order
