"""The operators' configuration: routes, services, customers and limits."""

import dataclasses
import enum

from lacewingdrum_state import ids


class RouteKind(enum.Enum):
    """The kind of a route's requests, on which retries depend.

    The requests of a ``STREAM`` route may be retried if it is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's traffic that one service receives."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The services and limits for requests of one host and path prefix.

    An answer has its full worth if it arrives within ``objective_ms``; for a
    stream, this is the time to the first event. ``pause_objective_ms`` is
    the objective for each pause between two events of a stream.

    ``max_attempts`` is the number of runners that a request may be sent to.
    A ``priority`` of 0 is the most urgent. The requests of a public route
    need no credential. A stream is resumable if a second runner can continue
    it after its last event.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    objective_ms: float
    pause_objective_ms: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be sent to a second runner."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePerformanceModel:
    """Capacity and speed of a service's engines, as configured.

    A pass that decodes takes ``steps_per_pass`` steps and produces one event
    for each decoding request. Prefill adds time to the steps.
    """

    slots: int
    kv_capacity_tokens: int
    step_ms: float
    step_ms_per_writer: float
    step_ms_per_context_token: float
    read_tokens_per_ms: float
    read_ms_per_pair: float
    chunk_tokens: int
    steps_per_pass: int
    # Added to each step of a decoder whose prompt is held by several engines.
    hop_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a runner takes while it is cold, which it is after its start.

    ``duration_s`` is how long a runner stays cold; ``requests_per_s`` is what
    it takes from all daemons together meanwhile.
    """

    duration_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreDelay:
    """The delay of the network, one way, between two data centres."""

    data_centres: frozenset[ids.DataCentre]
    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None for a plain service.

    ``cold_limit`` is None if its runners are never cold. Pairs of data centres
    that ``delays`` does not name are as near as one data centre.
    """

    name: ids.ServiceName
    engine: EnginePerformanceModel | None
    cold_limit: ColdLimit | None = None
    delays: tuple[DataCentreDelay, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer; ``priority`` is None if the customer has none of its own."""

    name: ids.CustomerId
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for callers' connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    ``customers`` maps credentials to customers. If ``has_customers`` is
    False, no request needs a credential; otherwise those of public routes
    need none.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: CallerLimits
    customers: dict[str, Customer]
    has_customers: bool
