"""Customers' limits over all daemons, lent out in slices by a home.

The home of a customer fills a bucket at the stated rate and lends slices of
it. A daemon spends its slice without asking, may overdraw by one slice, and
pays the overdraft from the next slices before it spends more. So a decision
never waits for a message, and with the home dead a daemon goes over by at
most one slice.
"""

import dataclasses

from lacewingdrum_state import ids

SLICE_DURATION_S = 0.04
BURST_DURATION_S = 0.2
EMPTY_BUCKET_PAUSE_S = 0.1
REQUEST_TIMEOUT_S = 0.5
SLICE_EXPIRY_S = 2.0
MIN_RETRY_AFTER_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The tokens may be used."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exhausted:
    """The customer is at its limit."""

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SliceRequest:
    """A daemon's ask to a customer's home.

    ``wanted_tokens`` includes what the daemon has overdrawn. A negative
    ``used_tokens`` gives back what it did not spend of a lapsed slice.
    """

    service: ids.ServiceName
    customer: ids.CustomerId
    wanted_tokens: int
    used_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A slice lent to a daemon."""

    service: ids.ServiceName
    customer: ids.CustomerId
    granted_tokens: int
    expires_in_ms: int


_Key = tuple[ids.ServiceName, ids.CustomerId]


@dataclasses.dataclass(slots=True)
class _Slice:
    balance_tokens: float = 0.0
    requested_s: float | None = None
    next_request_s: float = 0.0
    expires_s: float = 0.0


class DaemonBudget:
    """What one daemon may still spend for each customer."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[_Key, float] = {}
        self._slices: dict[_Key, _Slice] = {}

    def set_limit(
        self,
        service: ids.ServiceName,
        customer: ids.CustomerId,
        limit_tokens_per_s: float,
    ) -> None:
        """Set a customer's limit as its document states it; 0 is none."""
        self._limits[(service, customer)] = limit_tokens_per_s

    def spend(
        self,
        service: ids.ServiceName,
        customer: ids.CustomerId,
        tokens: int,
        now_s: float,
    ) -> Granted | Exhausted:
        """Take tokens from the customer's slice.

        Args:
            service: the service asked.
            customer: who asks.
            tokens: what the request may use.
            now_s: the present.

        Returns:
            Granted, or how long until the overdraft is settled.
        """
        limit = self._limits.get((service, customer), 0.0)
        if limit <= 0:
            return Granted()
        budget_slice = self._slices.setdefault((service, customer), _Slice())
        if budget_slice.balance_tokens <= -limit * SLICE_DURATION_S:
            missing_s = -budget_slice.balance_tokens / limit
            return Exhausted(max(MIN_RETRY_AFTER_MS, int(missing_s * 1000)))
        budget_slice.balance_tokens -= tokens
        return Granted()

    def due_requests(self, now_s: float) -> tuple[SliceRequest, ...]:
        """Make the asks that are due.

        Args:
            now_s: the present.

        Returns:
            One ask for each customer whose slice runs low or lapsed.
        """
        due: list[SliceRequest] = []
        idle = [
            key for key, budget_slice in self._slices.items() if _is_idle(budget_slice)
        ]
        for key in idle:
            # A slice with nothing lent or owed is as good as none, and a
            # round shall cost by the customers that are active.
            del self._slices[key]
        for (service, customer), budget_slice in self._slices.items():
            limit = self._limits.get((service, customer), 0.0)
            if limit <= 0 or not self._is_due(budget_slice, limit, now_s):
                continue
            due.append(
                self._make_request(service, customer, budget_slice, limit, now_s)
            )
        return tuple(due)

    def _is_due(self, budget_slice: _Slice, limit: float, now_s: float) -> bool:
        if (
            budget_slice.requested_s is not None
            and now_s - budget_slice.requested_s < REQUEST_TIMEOUT_S
        ):
            return False
        if budget_slice.balance_tokens > 0 and now_s >= budget_slice.expires_s:
            return True
        is_idle = budget_slice.balance_tokens == 0
        is_low = budget_slice.balance_tokens < limit * SLICE_DURATION_S / 2
        return is_low and not is_idle and now_s >= budget_slice.next_request_s

    def _make_request(
        self,
        service: ids.ServiceName,
        customer: ids.CustomerId,
        budget_slice: _Slice,
        limit: float,
        now_s: float,
    ) -> SliceRequest:
        if budget_slice.balance_tokens > 0 and now_s >= budget_slice.expires_s:
            unspent = int(budget_slice.balance_tokens)
            budget_slice.balance_tokens = 0.0
            budget_slice.requested_s = None
            return SliceRequest(service, customer, 0, -unspent)
        budget_slice.requested_s = now_s
        wanted = int(limit * SLICE_DURATION_S - min(0.0, budget_slice.balance_tokens))
        return SliceRequest(service, customer, wanted, 0)

    def give_back(self) -> tuple[SliceRequest, ...]:
        """Returns: asks that give every unspent slice back, before an end."""
        unspent = [
            SliceRequest(service, customer, 0, -int(budget_slice.balance_tokens))
            for (service, customer), budget_slice in self._slices.items()
            if budget_slice.balance_tokens >= 1
        ]
        self._slices.clear()
        return tuple(unspent)

    def granted(self, grant: Grant, now_s: float) -> None:
        """Take over a slice that the home lent."""
        budget_slice = self._slices.get((grant.service, grant.customer))
        if budget_slice is None or budget_slice.requested_s is None:
            return
        budget_slice.balance_tokens += grant.granted_tokens
        budget_slice.requested_s = None
        budget_slice.expires_s = now_s + grant.expires_in_ms / 1000
        # An empty bucket is not asked again at once, or every daemon would
        # ask in each round as long as the customer is at its limit.
        if budget_slice.balance_tokens <= 0:
            budget_slice.next_request_s = now_s + EMPTY_BUCKET_PAUSE_S


def _is_idle(budget_slice: _Slice) -> bool:
    return budget_slice.balance_tokens == 0 and budget_slice.requested_s is None


@dataclasses.dataclass(slots=True)
class _Bucket:
    level_tokens: float
    filled_s: float


class CoordinatorBudget:
    """The buckets of the customers whose home this daemon is."""

    def __init__(self) -> None:
        """Start with no bucket; each starts empty when first asked for."""
        self._buckets: dict[_Key, _Bucket] = {}

    def request(
        self, request: SliceRequest, limit_tokens_per_s: float, now_s: float
    ) -> Grant:
        """Lend a slice of a customer's bucket.

        Args:
            ask: the daemon's ask.
            limit_tokens_per_s: the stated limit.
            now_s: the present.

        Returns:
            The slice; 0 tokens where the bucket is empty.
        """
        key = (request.service, request.customer)
        bucket = self._buckets.setdefault(key, _Bucket(0.0, now_s))
        self._fill(bucket, limit_tokens_per_s, now_s)
        returned = max(0, -request.used_tokens)
        burst = limit_tokens_per_s * BURST_DURATION_S
        bucket.level_tokens = min(burst, bucket.level_tokens + returned)
        granted = min(request.wanted_tokens, max(0, int(bucket.level_tokens)))
        bucket.level_tokens -= granted
        expires_in_ms = int(SLICE_EXPIRY_S * 1000)
        return Grant(request.service, request.customer, granted, expires_in_ms)

    def _fill(self, bucket: _Bucket, limit: float, now_s: float) -> None:
        level = bucket.level_tokens + (now_s - bucket.filled_s) * limit
        bucket.level_tokens = min(level, limit * BURST_DURATION_S)
        bucket.filled_s = now_s
