"""Enforces a customer's limits of tokens and requests per second.

Each limit has its own budget. Requests are counted in thousandths, so that a
slice of a small limit is still a whole number.
"""

from lacewingdrum_coordination import limits
from lacewingdrum_state import documents, ids, states

UNITS_PER_REQUEST = 1_000
Resource = states.Resource


def limit_per_s(customer: documents.Customer, resource: Resource) -> float:
    """Return the stated limit in units per second; 0 means no limit."""
    match resource:
        case Resource.TOKENS:
            return float(customer.limit_tokens_per_s)
        case Resource.REQUESTS:
            return customer.limit_requests_per_s * UNITS_PER_REQUEST


class CustomerLimits:
    """The tokens and requests that one daemon may still spend."""

    def __init__(self) -> None:
        """Create budgets without limits."""
        self._budgets = {resource: limits.DaemonBudget() for resource in Resource}

    def set_limits(
        self, service: ids.ServiceName, customer: documents.Customer
    ) -> None:
        """Set the limits that the service's document states for a customer."""
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
        """Charge one request against both limits.

        A request that is refused for its tokens still counts as a request.

        Args:
            service: the service that is called.
            customer: the customer that calls it.
            tokens: the tokens that the request may use.
            now_s: the time on the daemon's monotonic clock.

        Returns:
            Granted, or the time until a retry can succeed.
        """
        budget = self._budgets[Resource.REQUESTS]
        result = budget.spend(service, customer, UNITS_PER_REQUEST, now_s)
        if isinstance(result, limits.Exhausted) or not tokens:
            return result
        return self._budgets[Resource.TOKENS].spend(service, customer, tokens, now_s)

    def due_requests(
        self, now_s: float
    ) -> tuple[tuple[Resource, limits.SliceRequest], ...]:
        """Return the slice requests to coordinators that are due."""
        return tuple(
            (resource, request)
            for resource, budget in self._budgets.items()
            for request in budget.due_requests(now_s)
        )

    def give_back(self) -> tuple[tuple[Resource, limits.SliceRequest], ...]:
        """Return requests that give back all unspent slices before a stop."""
        return tuple(
            (resource, request)
            for resource, budget in self._budgets.items()
            for request in budget.give_back()
        )

    def granted(self, resource: Resource, grant: limits.Grant, now_s: float) -> None:
        """Add a slice that a coordinator lent."""
        self._budgets[resource].granted(grant, now_s)


class CoordinatorLimits:
    """The budgets of the customers that this daemon coordinates."""

    def __init__(self) -> None:
        """Create empty budgets."""
        self._budgets = {resource: limits.CoordinatorBudget() for resource in Resource}

    def request(
        self,
        resource: Resource,
        request: limits.SliceRequest,
        customer: documents.Customer,
        now_s: float,
    ) -> limits.Grant | None:
        """Lend a slice; return ``None`` if the customer has no such limit."""
        limit = limit_per_s(customer, resource)
        if limit <= 0:
            return None
        return self._budgets[resource].request(request, limit, now_s)
