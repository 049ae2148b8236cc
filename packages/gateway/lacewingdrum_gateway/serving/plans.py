"""Routed requests and the plans of their attempts."""

import dataclasses

from lacewingdrum_coordination import coordinators, engine_load
from lacewingdrum_state import configurations, requests, runner_entries


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route, service and customer.

    ``received_s`` is when its first bytes arrived.
    """

    service: configurations.Service
    route: configurations.Route
    customer: configurations.Customer | None
    caller_headers: requests.CallerHeaders
    received_s: float
    deadline_s: float

    @property
    def route_digest(self) -> str:
        """A hash of what was found, to compare it with another daemon's."""
        customer = self.customer.name if self.customer is not None else ""
        found = f"{self.route.name}\x1f{self.service.name}\x1f{customer}"
        return f"{coordinators.stable_hash(found):x}"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A planned attempt.

    ``entry`` is the runner that receives the request; ``helpers`` prefill a
    part of its prompt. ``work`` is empty for plain services.
    ``first_event_ms`` is the expected time until the first event; for a plain
    service it is the route's objective. ``cost`` is the worth that is expected
    to be lost. ``evacuated_count`` is how many runners evacuations
    leave out.
    """

    entry: runner_entries.RunnerEntry
    helpers: tuple[runner_entries.RunnerEntry, ...]
    work: tuple[engine_load.Work, ...]
    helper_memory_tokens: int
    priority: int | None
    first_event_ms: float
    cost: float
    candidate_count: int
    cold_left_ms: int = 0
    evacuated_count: int = 0

    @property
    def entries(self) -> tuple[runner_entries.RunnerEntry, ...]:
        """All runners that have a part in the attempt."""
        return (self.entry, *self.helpers)


@dataclasses.dataclass(frozen=True, slots=True)
class TooCostly:
    """A request that is refused because it costs others too much worth."""

    lost_worth: float
    worth: float
    first_event_ms: float
