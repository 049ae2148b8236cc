"""Overload control of one service: decides which requests to shed.

Below a backlog of ``NO_SHEDDING_BACKLOG_S`` only customers that flood the
service are limited. Above it, requests with the least worth per token are
shed first if more work arrives than the runners can process. For a customer
that sends far more than its share, its own excess is shed before requests of
other customers.
"""

import collections
import dataclasses
import math

from lacewingdrum_coordination import max_min_fairness, routing
from lacewingdrum_state import ids, requests

WINDOW_S = 30.0
MIN_WINDOW_S = 2.0
UPDATE_INTERVAL_S = 0.5
NO_SHEDDING_BACKLOG_S = 9.0
TARGET_BACKLOG_S = 13.0
# The admitted rate equals the runners' rate at TARGET_BACKLOG_S and falls
# linearly with the backlog. It would reach 0 at this much more backlog, but
# does not fall below MIN_SUPPLY_RATIO times the runners' rate.
BACKLOG_SPAN_S = 5.0
MIN_SUPPLY_RATIO = 0.3
# A customer floods the service if it sent at least FLOOD_MIN_REQUESTS in the
# window, and more than FLOOD_RATIO times its share of the offered tokens. Each
# request counts for at most FLOOD_MAX_REQUEST_TOKENS.
FLOOD_RATIO = 3.0
FLOOD_MIN_REQUESTS = 20
FLOOD_MAX_REQUEST_TOKENS = 20_000
# Flooding customers are limited while more than this ratio of the runners'
# capacity is offered.
FLOOD_LOAD_RATIO = 0.7
REQUEST_OVERHEAD_TOKENS = 500
MAX_OFFERS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class ShedDecision:
    """Whether a request is shed, and the time to drain the backlog."""

    shed: bool
    drain_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    at_s: float
    customer: ids.CustomerId
    tokens: int
    worth_per_token: float


class OverloadControl:
    """Overload control of one service on one daemon."""

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
    ) -> ShedDecision:
        """Count an offered request, and decide whether to shed it.

        Shed requests count as offered too.

        Args:
            request: the request.
            share: its customer's share in the service document.
            supply: prefill rate and backlog of the service's runners.
            daemon_count: number of daemons among which callers are spread.
            now_s: current time.

        Returns:
            Whether to shed the request, and the time to drain the backlog.
        """
        tokens = request.prompt_tokens + REQUEST_OVERHEAD_TOKENS
        offer = _Offer(now_s, request.customer, tokens, request.worth / tokens)
        self._shares[request.customer] = share
        self._add(offer)
        if now_s - self._updated_s >= UPDATE_INTERVAL_S:
            self._updated_s = now_s
            self._update_floors(supply, daemon_count, now_s)
        floor = self._customer_floors.get(request.customer, self._default_floor)
        return ShedDecision(offer.worth_per_token < floor, supply.backlog_s)

    def _add(self, offer: _Offer) -> None:
        self._offers.append(offer)
        oldest_s = offer.at_s - WINDOW_S
        while self._offers[0].at_s < oldest_s or len(self._offers) > MAX_OFFERS:
            self._offers.popleft()

    def _update_floors(
        self, supply: routing.Supply, daemon_count: int, now_s: float
    ) -> None:
        """Set the minimum worth per token from the offers in the window."""
        self._customer_floors, self._default_floor = {}, 0.0
        span_s = max(MIN_WINDOW_S, now_s - self._offers[0].at_s)
        if span_s <= MIN_WINDOW_S:
            return
        # Tokens per second of all daemons times this are the tokens of this
        # daemon in the window.
        own_window_s = span_s / daemon_count
        offered: dict[ids.CustomerId, float] = collections.defaultdict(float)
        for offer in self._offers:
            offered[offer.customer] += offer.tokens
        granted = self._limit_floods(offered, supply.rate_tokens_per_s * own_window_s)
        for customer, tokens in granted.items():
            self._customer_floors[customer] = self._floor_for(
                tokens / offered[customer]
            )
        affordable_tokens = affordable_tokens_per_s(supply) * own_window_s
        affordable_tokens -= sum(granted.values())
        total = sum(offered.values()) - sum(offered[each] for each in granted)
        if total > affordable_tokens:
            self._default_floor = self._floor_for(max(0.0, affordable_tokens) / total)

    def _limit_floods(
        self, offered: dict[ids.CustomerId, float], capacity_tokens: float
    ) -> dict[ids.CustomerId, float]:
        """Limit customers far above their share before a queue builds up."""
        flooding = self._flooding_customers()
        if not flooding or sum(offered.values()) <= FLOOD_LOAD_RATIO * capacity_tokens:
            return {}
        granted = max_min_fairness.fair_grants(
            offered, self._shares, FLOOD_LOAD_RATIO * capacity_tokens
        )
        return {
            customer: granted[customer]
            for customer in flooding
            if granted[customer] < offered[customer]
        }

    def _flooding_customers(self) -> list[ids.CustomerId]:
        """Return the customers that send far more than their share.

        The tokens counted for each request are bounded, so that a single long
        prompt does not count as a flood.
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
        """Return the minimum worth per token of an admitted request.

        About ``admitted_ratio`` of the offered tokens are worth as much or
        more. The minimum is 0 if all are admitted.
        """
        ordered = sorted(self._offers, key=lambda offer: -offer.worth_per_token)
        remaining = admitted_ratio * sum(offer.tokens for offer in ordered)
        for offer in ordered:
            remaining -= offer.tokens
            if remaining < 0:
                return offer.worth_per_token
        return 0.0


def affordable_tokens_per_s(supply: routing.Supply) -> float:
    """Return how much work may be admitted at the present backlog.

    Args:
        supply: prefill rate and backlog of the service's runners.

    Returns:
        Tokens per second over all daemons; infinite while the backlog is
        short.
    """
    if supply.backlog_s < NO_SHEDDING_BACKLOG_S:
        return math.inf
    ratio = 1 + (TARGET_BACKLOG_S - supply.backlog_s) / BACKLOG_SPAN_S
    return supply.rate_tokens_per_s * max(MIN_SUPPLY_RATIO, ratio)
