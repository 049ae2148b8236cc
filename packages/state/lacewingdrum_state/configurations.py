"""The operators' configuration: routes, services, customers and limits."""

import dataclasses
import enum

from lacewingdrum_state import ids


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's part of a route's traffic."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path go, and what they are owed.

    ``objective_ms`` is the time for an answer's full worth, up to its first
    event on streams; ``pause_objective_ms`` bounds the pause between events.
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
        """Whether a request may run at a second runner."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePerformanceModel:
    """What the operators state of a service's engines.

    A pass with writing requests takes ``steps_per_pass`` steps and makes one
    event for each of them; reading adds to the steps.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None for a plain one."""

    name: ids.ServiceName
    engine: EnginePerformanceModel | None


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its priority, None where it has none of its own."""

    name: ids.CustomerId
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or rest."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    ``customers`` are by credential; ``has_customers`` is False where
    requests carry none.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: CallerLimits
    customers: dict[str, Customer]
    has_customers: bool
