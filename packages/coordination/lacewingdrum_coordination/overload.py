"""Overload control of one service: what to give up, and for whom.

While the runners keep up nothing is given up. Once more work arrives than
they can do, the work with the least worth goes first, and a customer that
asks for far more than its share loses its own excess before others lose any.
"""

import collections
import dataclasses
import math

from lacewingdrum_coordination import routing
from lacewingdrum_state import ids, requests

WINDOW_S = 30.0
MIN_WINDOW_S = 2.0
UPDATE_INTERVAL_S = 0.5
NO_SHEDDING_BACKLOG_S = 9.0
TARGET_BACKLOG_S = 13.0
BACKLOG_SPAN_S = 5.0
MIN_SUPPLY_RATIO = 0.3
FLOOD_RATIO = 3.0
FLOOD_MIN_REQUESTS = 20
FLOOD_MAX_REQUEST_TOKENS = 20_000
FLOOD_LOAD_RATIO = 0.7
REQUEST_OVERHEAD_TOKENS = 500
MAX_OFFERS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Evaluation:
    """Whether a request is given up, and how long the backlog drains."""

    shed: bool
    drain_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    at_s: float
    customer: ids.CustomerId
    tokens: int
    worth_per_token: float


class OverloadControl:
    """Decides for one service on one daemon."""

    def __init__(self) -> None:
        """Start without offers."""
        self._offers: collections.deque[_Offer] = collections.deque()
        self._shares: dict[ids.CustomerId, float] = {}
        self._customer_floors: dict[ids.CustomerId, float] = {}
        self._default_floor = 0.0
        self._updated_s = -math.inf

    def evaluate(
        self,
        request: requests.Request,
        share: float,
        supply: routing.Supply,
        daemon_count: int,
        now_s: float,
    ) -> Evaluation:
        """Count a request that is offered, and say whether to give it up.

        Args:
            request: the request.
            share: its customer's share, as the document states it.
            supply: what the service's runners can do and have to do.
            daemon_count: daemons that share the callers.
            now_s: the present.

        Returns:
            The verdict; shed requests are counted as offered as well.
        """
        tokens = request.prompt_tokens + REQUEST_OVERHEAD_TOKENS
        offer = _Offer(now_s, request.customer, tokens, request.worth / tokens)
        self._shares[request.customer] = share
        self._add(offer)
        if now_s - self._updated_s >= UPDATE_INTERVAL_S:
            self._updated_s = now_s
            self._update_floors(supply, daemon_count, now_s)
        floor = self._customer_floors.get(request.customer, self._default_floor)
        return Evaluation(offer.worth_per_token < floor, supply.backlog_s)

    def _add(self, offer: _Offer) -> None:
        self._offers.append(offer)
        oldest_s = offer.at_s - WINDOW_S
        while self._offers[0].at_s < oldest_s or len(self._offers) > MAX_OFFERS:
            self._offers.popleft()

    def _update_floors(
        self, supply: routing.Supply, daemon_count: int, now_s: float
    ) -> None:
        """Set the floors of worth from the last window's offers."""
        self._customer_floors, self._default_floor = {}, 0.0
        span_s = max(MIN_WINDOW_S, now_s - self._offers[0].at_s)
        if span_s <= MIN_WINDOW_S:
            return
        scale = span_s / daemon_count
        offered: dict[ids.CustomerId, float] = collections.defaultdict(float)
        for offer in self._offers:
            offered[offer.customer] += offer.tokens
        granted = self._limit_floods(offered, supply.rate_tokens_per_s * scale)
        for customer, tokens in granted.items():
            self._customer_floors[customer] = self._floor_for(
                tokens / offered[customer]
            )
        affordable_tokens = affordable_tokens_per_s(supply) * scale
        affordable_tokens -= sum(granted.values())
        total = sum(offered.values()) - sum(offered[each] for each in granted)
        if total > affordable_tokens:
            self._default_floor = self._floor_for(max(0.0, affordable_tokens) / total)

    def _limit_floods(
        self, offered: dict[ids.CustomerId, float], rate_tokens: float
    ) -> dict[ids.CustomerId, float]:
        """Bound customers far above their share before a queue builds up."""
        flooding = self._flooding_customers()
        if not flooding or sum(offered.values()) <= FLOOD_LOAD_RATIO * rate_tokens:
            return {}
        granted = fair_grants(offered, self._shares, FLOOD_LOAD_RATIO * rate_tokens)
        return {
            customer: granted[customer]
            for customer in flooding
            if granted[customer] < offered[customer]
        }

    def _flooding_customers(self) -> list[ids.CustomerId]:
        """Find customers far above their share.

        Each request counts up to a bound, since one long prompt is no flood.
        """
        counts: dict[ids.CustomerId, int] = collections.defaultdict(int)
        tokens: dict[ids.CustomerId, int] = collections.defaultdict(int)
        for offer in self._offers:
            counts[offer.customer] += 1
            tokens[offer.customer] += min(offer.tokens, FLOOD_MAX_REQUEST_TOKENS)
        per_share = sum(tokens.values()) / sum(self._shares[each] for each in tokens)
        return [
            customer
            for customer, count in counts.items()
            if count >= FLOOD_MIN_REQUESTS
            and tokens[customer] > FLOOD_RATIO * per_share * self._shares[customer]
        ]

    def _floor_for(self, admitted_ratio: float) -> float:
        """Returns: the worth per token above which that much work lies."""
        ordered = sorted(self._offers, key=lambda offer: -offer.worth_per_token)
        remaining = admitted_ratio * sum(offer.tokens for offer in ordered)
        for offer in ordered:
            remaining -= offer.tokens
            if remaining < 0:
                return offer.worth_per_token
        return 0.0


def affordable_tokens_per_s(supply: routing.Supply) -> float:
    """Say how much work may be admitted: all while little is queued.

    Args:
        supply: rate and backlog of the service's runners.

    Returns:
        Tokens a second over all daemons.
    """
    if supply.backlog_s < NO_SHEDDING_BACKLOG_S:
        return math.inf
    ratio = 1 + (TARGET_BACKLOG_S - supply.backlog_s) / BACKLOG_SPAN_S
    return supply.rate_tokens_per_s * max(MIN_SUPPLY_RATIO, ratio)


def fair_grants(
    offered: dict[ids.CustomerId, float],
    shares: dict[ids.CustomerId, float],
    affordable_tokens: float,
) -> dict[ids.CustomerId, float]:
    """Share work out by weight; who asks for less leaves the rest to others.

    Args:
        offered: what each customer asks for.
        shares: their weights.
        affordable: what there is.

    Returns:
        What each customer is granted.
    """
    granted: dict[ids.CustomerId, float] = {}
    waiting = dict(offered)
    remaining = affordable_tokens
    while waiting:
        weight = sum(shares[customer] for customer in waiting)
        tokens_per_share = remaining / weight
        satisfied = [
            customer
            for customer, tokens in waiting.items()
            if tokens <= tokens_per_share * shares[customer]
        ]
        if not satisfied:
            for customer in waiting:
                granted[customer] = tokens_per_share * shares[customer]
            return granted
        for customer in satisfied:
            granted[customer] = waiting.pop(customer)
            remaining -= granted[customer]
    return granted
