"""Both limits of a customer: tokens and requests a second.

Each is a budget of its own. Requests are counted in thousandths, so that a
slice of a small limit is still a whole number.
"""

import enum

from lacewingdrum_coordination import limits
from lacewingdrum_state import documents, ids

UNITS_PER_REQUEST = 1_000


class Resource(enum.Enum):
    """What a limit counts."""

    TOKENS = "tokens"
    REQUESTS = "requests"


def limit_per_s(customer: documents.Customer, resource: Resource) -> float:
    """Returns: the stated limit in units a second; 0 for none."""
    match resource:
        case Resource.TOKENS:
            return float(customer.limit_tokens_per_s)
        case Resource.REQUESTS:
            return customer.limit_requests_per_s * UNITS_PER_REQUEST


class CustomerLimits:
    """What one daemon may still use for each customer."""

    def __init__(self) -> None:
        """Start without limits."""
        self._budgets = {resource: limits.DaemonBudget() for resource in Resource}

    def set_limits(
        self, service: ids.ServiceName, customer: documents.Customer
    ) -> None:
        """Set a customer's limits as its document states them."""
        for resource, budget in self._budgets.items():
            limit = limit_per_s(customer, resource)
            budget.set_limit(service, customer.customer, limit)

    def charge(
        self,
        service: ids.ServiceName,
        customer: ids.CustomerId,
        tokens: int,
        now_s: float,
    ) -> limits.Granted | limits.Exhausted:
        """Charge one request.

        Args:
            service: the service asked.
            customer: who asks.
            tokens: what the request may use.
            now_s: the present.

        Returns:
            Granted, or how long until a later try can help. A request that
            is refused for its tokens still counts as a request.
        """
        budget = self._budgets[Resource.REQUESTS]
        result = budget.spend(service, customer, UNITS_PER_REQUEST, now_s)
        if isinstance(result, limits.Exhausted) or not tokens:
            return result
        return self._budgets[Resource.TOKENS].spend(service, customer, tokens, now_s)

    def due_requests(
        self, now_s: float
    ) -> tuple[tuple[Resource, limits.SliceRequest], ...]:
        """Returns: the asks to customers' homes that are due."""
        return tuple(
            (resource, request)
            for resource, budget in self._budgets.items()
            for request in budget.due_requests(now_s)
        )

    def give_back(self) -> tuple[tuple[Resource, limits.SliceRequest], ...]:
        """Returns: asks that give every unspent slice back, before an end."""
        return tuple(
            (resource, request)
            for resource, budget in self._budgets.items()
            for request in budget.give_back()
        )

    def granted(self, resource: Resource, grant: limits.Grant, now_s: float) -> None:
        """Take over a slice that a home lent."""
        self._budgets[resource].granted(grant, now_s)


class CoordinatorLimits:
    """The budgets of the customers whose home this daemon is."""

    def __init__(self) -> None:
        """Start empty."""
        self._budgets = {resource: limits.CoordinatorBudget() for resource in Resource}

    def request(
        self,
        resource: Resource,
        request: limits.SliceRequest,
        customer: documents.Customer,
        now_s: float,
    ) -> limits.Grant | None:
        """Lend a slice; ``None`` where the customer has no such limit."""
        limit = limit_per_s(customer, resource)
        if limit <= 0:
            return None
        return self._budgets[resource].request(request, limit, now_s)
