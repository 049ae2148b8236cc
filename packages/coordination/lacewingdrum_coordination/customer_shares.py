"""Finds customers whose work is over their share while room is short.

The work of the last seconds is summed by customer, over all daemons that
report their work here. When room is short, a part of what is offered has to
give way; max-min fairness with equal weights says whose part it is. A share
that its customer does not use is lent to the others. A daemon that hears no
other decides by what it has seen itself.
"""

import collections
import dataclasses

from lacewingdrum_coordination import max_min_fairness

WINDOW_S = 10.0
# The part of the offered work that is divided among the customers.
DIVIDED_RATIO = 0.8
# A customer is over its share if its work exceeds its grant and an equal share
# by this factor, and consists of at least this many requests. One long prompt,
# or what varies by chance, puts no customer over its share.
OVER_EQUAL_RATIO = 3.0
OVER_SHARE_MIN_REQUESTS = 20
UPDATE_INTERVAL_S = 0.25
# Older requests are forgotten first.
RECORDS_MAX = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A customer's part of the work of the window, and what it is granted.

    ``granted_ratio`` is None if the customer is within its share.
    """

    offered_ratio: float
    granted_ratio: float | None = None

    @property
    def is_over(self) -> bool:
        """Whether the customer is over its share."""
        return self.granted_ratio is not None


@dataclasses.dataclass(slots=True)
class _Sum:
    work_ms: float = 0.0
    count: int = 0


class CustomerShares:
    """The offered work of each customer in the last ``WINDOW_S``."""

    def __init__(self) -> None:
        self._records: collections.deque[tuple[float, str, float]]
        self._records = collections.deque()
        self._sums: dict[str, _Sum] = {}
        self._over: dict[str, float] = {}
        self._updated_s = float("-inf")

    def record(self, customer: str, work_ms: float, now_s: float) -> None:
        """Count work that a customer offers; one without a name is left out.

        Args:
            customer: a short hash of the customer.
            work_ms: the prefill time of the prompt, on one engine.
            now_s: the current time.
        """
        if not customer:
            return
        self._records.append((now_s, customer, work_ms))
        total = self._sums.setdefault(customer, _Sum())
        total.work_ms += work_ms
        total.count += 1
        self._drop_old(now_s)

    def share(self, customer: str, now_s: float) -> Share:
        """Return the share of a customer, as of the last update."""
        if now_s - self._updated_s >= UPDATE_INTERVAL_S:
            self._update(now_s)
        own = self._sums.get(customer)
        if own is None:
            return Share(0.0)
        total_ms = sum(item.work_ms for item in self._sums.values())
        offered_ratio = own.work_ms / total_ms if total_ms > 0 else 0.0
        return Share(offered_ratio, self._over.get(customer))

    def _update(self, now_s: float) -> None:
        self._updated_s = now_s
        self._drop_old(now_s)
        offered = {name: item.work_ms for name, item in self._sums.items()}
        total_ms = sum(offered.values())
        self._over = {}
        if len(offered) < 2 or total_ms <= 0:
            return
        granted = max_min_fairness.fair_grants(
            offered, dict.fromkeys(offered, 1.0), DIVIDED_RATIO * total_ms
        )
        self._over = {
            name: granted[name] / total_ms
            for name, item in self._sums.items()
            if item.count >= OVER_SHARE_MIN_REQUESTS
            and item.work_ms > granted[name]
            and item.work_ms > OVER_EQUAL_RATIO * total_ms / len(offered)
        }

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        records = self._records
        while records and (records[0][0] < oldest_s or len(records) > RECORDS_MAX):
            _, customer, work_ms = records.popleft()
            total = self._sums[customer]
            total.work_ms -= work_ms
            total.count -= 1
            if not total.count:
                del self._sums[customer]
