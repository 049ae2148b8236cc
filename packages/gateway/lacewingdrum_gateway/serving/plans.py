"""Routed requests and the plans of their attempts."""

import dataclasses

from lacewingdrum_coordination import coordinators, engine_load, service_room
from lacewingdrum_state import configurations, requests, runner_entries

DEFAULT_OBJECTIVE_MS = 1_000.0
CUSTOMER_DIGITS = 8


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

    @property
    def rank(self) -> int:
        """The customer's rank or the route's; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def objective_ms(self) -> float:
        """The objective for the first event."""
        return self.route.objective_ms or DEFAULT_OBJECTIVE_MS

    @property
    def customer_digest(self) -> str:
        """A short hash of the customer, which other daemons compare."""
        if self.customer is None:
            return ""
        return f"{coordinators.stable_hash(self.customer.name):x}"[:CUSTOMER_DIGITS]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A planned attempt.

    ``entry`` is the runner that receives the request; ``helpers`` prefill a
    part of its prompt. ``work`` is empty for plain services.
    ``first_event_ms`` is the expected time until the first event; for a plain
    service it is the route's objective. ``cost`` is the worth that is expected
    to be lost. ``evacuated_count`` is how many runners evacuations
    leave out. ``prefill_ms`` is the prefill time of the whole prompt on one
    engine. ``costs_urgent`` is set if requests of a more urgent rank would
    lose a part of its worth, and ``room`` is what more urgent requests have
    beside this one, or None if none lacks any.
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
    prefill_ms: float = 0.0
    costs_urgent: bool = False
    room: service_room.Room | None = None

    @property
    def entries(self) -> tuple[runner_entries.RunnerEntry, ...]:
        """All runners that have a part in the attempt."""
        return (self.entry, *self.helpers)


@dataclasses.dataclass(frozen=True, slots=True)
class TooCostly:
    """A plan that is not to be made, as it costs others too much worth."""

    lost_worth: float
    worth: float
    first_event_ms: float
    plan: Plan
