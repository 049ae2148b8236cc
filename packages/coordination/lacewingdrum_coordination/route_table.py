"""Finds the route and the customer of a request in a configuration."""

import dataclasses
import enum

from result import Err, Ok, Result

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import configurations, ids

HASH_STEPS = 1 << 32


class RouteFault(enum.Enum):
    """Why a configuration does not allow a request."""

    NO_ROUTE = "no_route"
    NO_CUSTOMER = "no_customer"


@dataclasses.dataclass(frozen=True, slots=True)
class AllowedRequest:
    """A request that a configuration allows."""

    route: configurations.Route
    customer: configurations.Customer | None
    version: int


class RouteTable:
    """The routes of one configuration, by host and path."""

    def __init__(self, configuration: configurations.Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, dict[str, configurations.Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route

    @property
    def services(self) -> frozenset[ids.ServiceName]:
        """The services that the configuration names."""
        shares = (
            share for route in self.configuration.routes for share in route.shares
        )
        routed = (share.service for share in shares)
        return frozenset((*self.configuration.services, *routed))

    def find(self, host: str, path: str) -> configurations.Route | None:
        """Find the route with the longest prefix of a path.

        Args:
            host: the Host header, with or without a port.
            path: the path without its query.

        Returns:
            The route, or None if no route matches.
        """
        by_prefix = self._routes.get(_host_name(host))
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def allow(
        self, host: str, path: str, credential: str
    ) -> Result[AllowedRequest, RouteFault]:
        """Check whether the configuration allows a request.

        Args:
            host: the Host header.
            path: the path without its query.
            credential: as the caller sent it, or ``""`` without one.

        Returns:
            The route and the customer, or why the request is not allowed.
        """
        route = self.find(host, path)
        if route is None:
            return Err(RouteFault.NO_ROUTE)
        customer = self.configuration.customers.get(credential)
        needs_customer = self.configuration.has_customers and not route.is_public
        if needs_customer and customer is None:
            return Err(RouteFault.NO_CUSTOMER)
        return Ok(AllowedRequest(route, customer, self.configuration.version))


def pick_service(route: configurations.Route, attempt_id: str) -> ids.ServiceName:
    """Pick a service in proportion to the weights of a route's shares.

    Args:
        route: the route.
        attempt_id: the key that is hashed, so that the same key always picks
            the same service.

    Returns:
        The picked service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(max(share.weight, 0.0) for share in route.shares)
    point = coordinators.stable_hash(attempt_id) % HASH_STEPS / HASH_STEPS * total
    for share in route.shares:
        point -= max(share.weight, 0.0)
        if point < 0:
            return share.service
    return route.shares[-1].service


def _host_name(host: str) -> str:
    name, colon, port = host.strip().lower().rpartition(":")
    return name if colon and port.isdigit() else host.strip().lower()
