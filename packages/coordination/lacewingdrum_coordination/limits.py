"""Enforces customers' rate limits over all daemons with token buckets.

The coordinator of a customer fills a bucket at the stated rate and lends
slices of it to daemons. A daemon spends its slice without sending a message.
It may spend more as long as its overdraft is less than one slice, and repays
the overdraft from the next slices. So a decision never waits for a message,
and if the coordinator has failed a daemon exceeds the limit by at most one
slice and one request.

The unit is a token, or a thousandth of a request for a limit of requests (see
``customer_limits``). ``tokens`` in a name stands for either of them.
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
    """The request may spend the tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exhausted:
    """The customer has reached its limit."""

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SliceRequest:
    """A daemon's request to a customer's coordinator.

    ``wanted_units`` includes the daemon's overdraft. ``used_units`` is 0, or
    minus the units that return the unspent rest of a slice.
    """

    service: ids.ServiceName
    customer: ids.CustomerId
    wanted_units: int
    used_units: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A slice that is lent to a daemon."""

    service: ids.ServiceName
    customer: ids.CustomerId
    granted_units: int
    expires_in_ms: int


_Key = tuple[ids.ServiceName, ids.CustomerId]


@dataclasses.dataclass(slots=True)
class _Slice:
    balance_units: float = 0.0
    requested_s: float | None = None
    next_request_s: float = 0.0
    expires_s: float = 0.0


class DaemonBudget:
    """The tokens that one daemon may still spend for each customer."""

    def __init__(self) -> None:
        """Create a budget without limits."""
        self._limits: dict[_Key, float] = {}
        self._slices: dict[_Key, _Slice] = {}

    def set_limit(
        self,
        service: ids.ServiceName,
        customer: ids.CustomerId,
        limit_tokens_per_s: float,
    ) -> None:
        """Set the limit stated for a customer; 0 means no limit."""
        self._limits[(service, customer)] = limit_tokens_per_s

    def spend(
        self,
        service: ids.ServiceName,
        customer: ids.CustomerId,
        tokens: int,
        now_s: float,
    ) -> Granted | Exhausted:
        """Spend tokens of the customer's slice.

        Args:
            service: the service that is called.
            customer: the customer that calls it.
            tokens: the tokens that the request may use.
            now_s: the time on the daemon's monotonic clock.

        Returns:
            Granted, or the time until the overdraft is repaid.
        """
        limit = self._limits.get((service, customer), 0.0)
        if limit <= 0:
            return Granted()
        budget_slice = self._slices.setdefault((service, customer), _Slice())
        if budget_slice.balance_units <= -limit * SLICE_DURATION_S:
            missing_s = -budget_slice.balance_units / limit
            return Exhausted(max(MIN_RETRY_AFTER_MS, int(missing_s * 1000)))
        budget_slice.balance_units -= tokens
        return Granted()

    def due_requests(self, now_s: float) -> tuple[SliceRequest, ...]:
        """Return the slice requests that are due.

        Args:
            now_s: the time on the daemon's monotonic clock.

        Returns:
            One request for each customer whose slice is low or has expired.
        """
        due: list[SliceRequest] = []
        idle = [
            key for key, budget_slice in self._slices.items() if _is_idle(budget_slice)
        ]
        for key in idle:
            # A slice with a balance of 0 and no request in progress is the
            # same as no slice. Dropping it keeps the cost of a round
            # proportional to the number of active customers.
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
        if budget_slice.balance_units > 0 and now_s >= budget_slice.expires_s:
            return True
        is_idle = budget_slice.balance_units == 0
        is_low = budget_slice.balance_units < limit * SLICE_DURATION_S / 2
        return is_low and not is_idle and now_s >= budget_slice.next_request_s

    def _make_request(
        self,
        service: ids.ServiceName,
        customer: ids.CustomerId,
        budget_slice: _Slice,
        limit: float,
        now_s: float,
    ) -> SliceRequest:
        if budget_slice.balance_units > 0 and now_s >= budget_slice.expires_s:
            unspent = int(budget_slice.balance_units)
            budget_slice.balance_units = 0.0
            budget_slice.requested_s = None
            return SliceRequest(service, customer, 0, -unspent)
        budget_slice.requested_s = now_s
        wanted = int(limit * SLICE_DURATION_S - min(0.0, budget_slice.balance_units))
        return SliceRequest(service, customer, wanted, 0)

    def give_back(self) -> tuple[SliceRequest, ...]:
        """Return requests that give back all unspent slices before a stop."""
        unspent = [
            SliceRequest(service, customer, 0, -int(budget_slice.balance_units))
            for (service, customer), budget_slice in self._slices.items()
            if budget_slice.balance_units >= 1
        ]
        self._slices.clear()
        return tuple(unspent)

    def granted(self, grant: Grant, now_s: float) -> None:
        """Add a slice that the coordinator lent."""
        budget_slice = self._slices.get((grant.service, grant.customer))
        if budget_slice is None or budget_slice.requested_s is None:
            return
        budget_slice.balance_units += grant.granted_units
        budget_slice.requested_s = None
        budget_slice.expires_s = now_s + grant.expires_in_ms / 1000
        # No new request is sent at once to an empty bucket. Otherwise every
        # daemon would send one in each round while the customer is at its
        # limit.
        if budget_slice.balance_units <= 0:
            budget_slice.next_request_s = now_s + EMPTY_BUCKET_PAUSE_S


def _is_idle(budget_slice: _Slice) -> bool:
    return budget_slice.balance_units == 0 and budget_slice.requested_s is None


@dataclasses.dataclass(slots=True)
class _Bucket:
    level_units: float
    filled_s: float


class CoordinatorBudget:
    """The buckets of the customers that this daemon coordinates."""

    def __init__(self) -> None:
        """Create no buckets; each is created empty at its first request."""
        self._buckets: dict[_Key, _Bucket] = {}

    def request(
        self, request: SliceRequest, limit_tokens_per_s: float, now_s: float
    ) -> Grant:
        """Lend a slice of a customer's bucket.

        Args:
            request: the daemon's request.
            limit_tokens_per_s: the stated limit.
            now_s: the time on the daemon's monotonic clock.

        Returns:
            The slice, which has 0 tokens if the bucket is empty.
        """
        key = (request.service, request.customer)
        bucket = self._buckets.setdefault(key, _Bucket(0.0, now_s))
        self._fill(bucket, limit_tokens_per_s, now_s)
        returned = max(0, -request.used_units)
        burst = limit_tokens_per_s * BURST_DURATION_S
        bucket.level_units = min(burst, bucket.level_units + returned)
        granted = min(request.wanted_units, max(0, int(bucket.level_units)))
        bucket.level_units -= granted
        expires_in_ms = int(SLICE_EXPIRY_S * 1000)
        return Grant(request.service, request.customer, granted, expires_in_ms)

    def _fill(self, bucket: _Bucket, limit: float, now_s: float) -> None:
        level = bucket.level_units + (now_s - bucket.filled_s) * limit
        bucket.level_units = min(level, limit * BURST_DURATION_S)
        bucket.filled_s = now_s
