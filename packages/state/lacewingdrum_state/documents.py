"""Service documents: a team's configuration of one service."""

import dataclasses

from lacewingdrum_state import ids, states


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights of a service's two latency measures, each from 0 to 1."""

    time_to_first_token: float = 0.5
    short_slowdown: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer that the service accepts requests from.

    ``credential_sha256`` is the hex digest of the bearer token. ``share`` is
    the customer's weight against other customers when they compete. A limit
    of 0 means that there is no limit.
    """

    customer: ids.CustomerId
    credential_sha256: str
    share: float = 1.0
    limit_tokens_per_s: int = 0
    limit_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request, with its patience and worth.

    A request to a model has the first kind whose ``max_prompt_tokens`` is
    not exceeded. A request to an application has the first kind whose
    ``methods`` and ``path_prefix`` match.
    """

    kind: ids.KindName
    patience_ms: int
    worth: float = 1.0
    idempotent: bool = True
    max_prompt_tokens: int = 0
    methods: tuple[str, ...] = ()
    path_prefix: str = "/"


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerOptions:
    """Options that apply to all runners of a service.

    ``checks_fencing`` states whether the runners refuse an order with an old
    fencing number. ``desired_model`` is the model version to place on each
    runner; if it is empty, no placement orders are sent.
    """

    checks_fencing: bool = False
    desired_model: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDocument:
    """A parsed service document."""

    service: ids.ServiceName
    service_type: states.ServiceType
    purpose: str
    customers: tuple[Customer, ...]
    kinds: tuple[RequestKind, ...]
    model: str = ""
    weights: Weights = Weights()
    runners: RunnerOptions = RunnerOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDocument:
    """One accepted version of a document, as stored in the table.

    ``digest`` is the hex SHA-256 of ``text``.
    """

    service: ids.ServiceName
    version: ids.DocumentVersion
    submission_id: ids.SubmissionId
    digest: str
    text: str
