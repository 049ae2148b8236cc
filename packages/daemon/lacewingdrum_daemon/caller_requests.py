"""Parses, authenticates and charges the requests of callers.

Everything that can be refused without a runner is refused here, so that a
malformed or unauthenticated request is never forwarded.
"""

import dataclasses
from collections.abc import Callable

from result import Err

from lacewingdrum_coordination import customer_limits, directory, limits
from lacewingdrum_daemon import attempt_executor
from lacewingdrum_protocol import callers_api
from lacewingdrum_state import documents, ids, requests, states, units
from lacewingdrum_transport import http_messages

Failure = callers_api.Failure
ErrorCode = callers_api.ErrorCode


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A customer of a service, as stated in the document in force."""

    document: documents.ServiceDocument
    customer: documents.Customer


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service.

    ``service_request`` is the received request without the service prefix in
    its path. ``key`` is set for an order, which may take effect only once.
    """

    request: requests.Request
    service_request: http_messages.HttpRequest
    key: ids.IdempotencyKey | None


class RequestParser:
    """Builds requests according to the documents in force.

    Args:
        current: returns the directory of those documents.
        daemon_limits: the limits that requests are charged against.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        current: Callable[[], directory.Directory],
        daemon_limits: customer_limits.CustomerLimits,
        clock: Callable[[], float],
    ) -> None:
        self._current = current
        self._daemon_limits = daemon_limits
        self._clock = clock

    def completion(
        self, received: http_messages.HttpRequest, request_id: ids.RequestId
    ) -> attempt_executor.ModelCall | Failure:
        """Parse a model request and charge it to its customer.

        Args:
            received: the HTTP request.
            request_id: the id of the new request.

        Returns:
            The call, or the reason why it is refused.
        """
        received_s = self._clock()
        if received.method != "POST":
            return Failure(ErrorCode.MALFORMED, "method: allowed POST")
        parsed = callers_api.parse_completion(received.body)
        if isinstance(parsed, Err):
            return parsed.err_value
        body = parsed.ok_value
        caller = self._authenticate(received, self._current().by_model.get(body.model))
        if isinstance(caller, Failure):
            return caller
        prompt = body.prompt.encode("utf-8", "surrogatepass")
        prompt_tokens = callers_api.prompt_tokens(prompt)
        kind = directory.prompt_kind(caller.document, prompt_tokens)
        request = _build_request(received, request_id, caller, kind, received_s)
        if isinstance(request, Failure):
            return request
        request = dataclasses.replace(
            request,
            prompt_tokens=prompt_tokens,
            max_tokens=body.max_tokens,
            block_hashes=callers_api.block_hashes(prompt),
        )
        limit_failure = self._charge(request)
        if limit_failure is not None:
            return limit_failure
        return attempt_executor.ModelCall(
            request, body, caller.document.weights, caller.customer.share
        )

    def service_call(
        self, received: http_messages.HttpRequest, request_id: ids.RequestId
    ) -> ServiceCall | Failure:
        """Parse a call of a plain service and charge it to its customer.

        Args:
            received: the HTTP request.
            request_id: the id of the new request.

        Returns:
            The call, or the reason why it is refused.
        """
        received_s = self._clock()
        service, service_request = _strip_service_prefix(received)
        document = self._current().services.get(service)
        is_plain_service = (
            document is not None
            and document.service_type is states.ServiceType.APPLICATION
        )
        caller = self._authenticate(received, service if is_plain_service else None)
        if isinstance(caller, Failure):
            return caller
        kind = directory.call_kind(
            caller.document, service_request.method, service_request.path
        )
        request = _build_request(received, request_id, caller, kind, received_s)
        if isinstance(request, Failure):
            return request
        key = None if request.idempotent else _idempotency_key(received)
        if isinstance(key, Failure):
            return key
        limit_failure = self._charge(request)
        return limit_failure or ServiceCall(request, service_request, key)

    def _authenticate(
        self, received: http_messages.HttpRequest, service: ids.ServiceName | None
    ) -> Caller | Failure:
        current = self._current()
        authorization = received.headers.get("authorization", "")
        digest = directory.credential_sha256(authorization)
        if digest is None or digest not in current.credentials:
            return Failure(ErrorCode.UNKNOWN_CREDENTIAL, "Authorization: not known")
        if service is None:
            return Failure(ErrorCode.NOT_FOUND, "no such service or model")
        customer = current.customers.get((service, digest))
        if customer is None:
            message = "the service's document does not name this customer"
            return Failure(ErrorCode.CUSTOMER_NOT_SERVED, message)
        return Caller(current.services[service], customer)

    def _charge(self, request: requests.Request) -> Failure | None:
        charge_result = self._daemon_limits.charge(
            request.service, request.customer, request.total_tokens, self._clock()
        )
        match charge_result:
            case limits.Granted():
                return None
            case limits.Exhausted(retry_after_ms):
                message = "the customer's limit is reached"
                return Failure(
                    ErrorCode.LIMIT_REACHED, message, retry_after_ms=retry_after_ms
                )


def _strip_service_prefix(
    received: http_messages.HttpRequest,
) -> tuple[ids.ServiceName, http_messages.HttpRequest]:
    """Return the service named in the path, and the request without it."""
    name, _, _ = received.path[len(callers_api.SERVICES_PREFIX) :].partition("/")
    prefix_length = len(callers_api.SERVICES_PREFIX) + len(name)
    service_request = dataclasses.replace(
        received,
        path=received.path[prefix_length:] or "/",
        target=received.target[prefix_length:] or "/",
    )
    return ids.ServiceName(name), service_request


def _idempotency_key(
    received: http_messages.HttpRequest,
) -> ids.IdempotencyKey | Failure:
    key = received.headers.get(callers_api.IDEMPOTENCY_KEY_HEADER, "")
    if 1 <= len(key) <= callers_api.IDEMPOTENCY_KEY_CHARACTERS_MAX:
        return ids.IdempotencyKey(key)
    message = "Idempotency-Key: an order needs one of 1 to 200 characters"
    return Failure(ErrorCode.KEY_MISSING, message)


def _build_request(
    received: http_messages.HttpRequest,
    request_id: ids.RequestId,
    caller: Caller,
    kind: documents.RequestKind | None,
    received_s: float,
) -> requests.Request | Failure:
    if kind is None:
        message = "the service's document has no kind for this request"
        return Failure(ErrorCode.KIND_NOT_SERVED, message)
    patience_header = received.headers.get(callers_api.PATIENCE_HEADER, "")
    patience_ms = directory.patience_ms(kind, patience_header)
    if patience_ms is None:
        message = "Lacewingdrum-Patience-Ms: allowed a positive whole number"
        return Failure(ErrorCode.MALFORMED, message)
    return requests.Request(
        request_id=request_id,
        service=caller.document.service,
        customer=caller.customer.customer,
        kind=kind.kind,
        prompt_tokens=0,
        max_tokens=0,
        received_s=received_s,
        deadline_s=received_s + patience_ms / units.MS_PER_S,
        worth=kind.worth,
        idempotent=kind.idempotent,
    )
