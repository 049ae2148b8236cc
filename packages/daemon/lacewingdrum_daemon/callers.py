"""The callers' edge: who asks, for what, and with how much patience.

Everything that can be refused without a runner is refused here, so a
malformed or unknown request is never forwarded.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from result import Err

from lacewingdrum_coordination import customer_limits, directory, limits
from lacewingdrum_daemon import (
    answers,
    attempt_runner,
    completions,
    decision_log,
    metrics,
    probes,
    service_calls,
    service_orders,
)
from lacewingdrum_protocol import callers_api
from lacewingdrum_state import documents, ids, requests, states
from lacewingdrum_transport import http_messages, http_server

Failure = callers_api.Failure
ErrorCode = callers_api.ErrorCode

NOT_READY_RETRY_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A customer of a service, as the document in force has it."""

    document: documents.ServiceDocument
    customer: documents.Customer


class Gate:
    """Says whether this daemon takes requests now, and why not.

    Args:
        knows_fleet: whether the membership list was read.
        knows_documents: whether it has the documents in force.
        may_admit: whether they are fresh enough to admit by.
    """

    def __init__(
        self,
        knows_fleet: Callable[[], bool],
        knows_documents: Callable[[], bool],
        may_admit: Callable[[], bool],
    ) -> None:
        self._knows_fleet = knows_fleet
        self._knows_documents = knows_documents
        self._may_admit = may_admit
        self.is_leaving = False

    def not_ready_reason(self) -> str:
        """Returns: why the balancer must not send callers; empty if it may."""
        if self.is_leaving:
            return "leaving"
        return self.not_admitting_reason()

    def not_admitting_reason(self) -> str:
        """Returns: why nothing is admitted; empty if it is.

        A daemon that is leaving still takes what open connections bring,
        until the balancer has noticed.
        """
        if not self._knows_fleet():
            return "the membership list was not read yet"
        if not self._knows_documents():
            return "the documents in force are not known yet"
        if not self._may_admit():
            return "neither the table nor a peer confirms the documents"
        return ""


class Callers:
    """Handles the requests of callers."""

    def __init__(
        self,
        current: Callable[[], directory.Directory],
        gate: Gate,
        health: probes.Probes,
        model_calls: completions.Completions,
        app_calls: service_calls.ServiceCalls,
        app_orders: service_orders.ServiceOrders,
        budget: customer_limits.CustomerLimits,
        decisions: decision_log.DecisionLog,
        figures: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._current = current
        self._gate = gate
        self._health = health
        self._model_calls = model_calls
        self._app_calls = app_calls
        self._app_orders = app_orders
        self._budget = budget
        self._decisions = decisions
        self._figures = figures
        self._clock = clock

    async def handle(
        self, received: http_messages.HttpRequest, responder: http_server.Responder
    ) -> None:
        """Answer one request of a caller, of the balancer or of a monitor."""
        probe = self._health.answer(received)
        if probe is not None:
            await responder.send(probe)
            return
        match received.path:
            case callers_api.COMPLETIONS_PATH:
                await self._completion(received, responder)
            case path if path.startswith(callers_api.SERVICES_PREFIX):
                await self._service_call(received, responder)
            case _:
                failure = Failure(ErrorCode.NOT_FOUND, "no such path")
                await answers.send_failure(responder, ids.new_request_id(), failure)

    async def _completion(
        self, received: http_messages.HttpRequest, responder: http_server.Responder
    ) -> None:
        received_s = self._clock()
        request_id = ids.new_request_id()
        prepared = self._prepare_completion(received, request_id, received_s)
        if isinstance(prepared, Failure):
            self._count("completion", prepared)
            await answers.send_failure(responder, request_id, prepared)
            return
        request = prepared.request
        answer = answers.Answer(
            responder, request_id, prepared.body, request.prompt_tokens
        )
        failure = await _until_gone(self._model_calls.run(prepared, answer), responder)
        self._count("completion", failure)
        self._record_end(request, failure)

    def _prepare_completion(
        self,
        received: http_messages.HttpRequest,
        request_id: ids.RequestId,
        received_s: float,
    ) -> attempt_runner.Call | Failure:
        if received.method != "POST":
            return Failure(ErrorCode.MALFORMED, "method: allowed POST")
        closed = self._gate.not_admitting_reason()
        if closed:
            return _not_ready(closed)
        parsed = callers_api.parse_completion(received.body)
        if isinstance(parsed, Err):
            return parsed.err_value
        body = parsed.ok_value
        service = self._current().by_model.get(body.model)
        caller = self._caller(received, service)
        if isinstance(caller, Failure):
            return caller
        prompt = body.prompt.encode("utf-8", "surrogatepass")
        prompt_tokens = callers_api.prompt_tokens(prompt)
        kind = directory.prompt_kind(caller.document, prompt_tokens)
        request = self._request(
            received, request_id, caller, kind, prompt_tokens, body.max_tokens
        )
        if isinstance(request, Failure):
            return request
        request = dataclasses.replace(
            request,
            received_s=received_s,
            block_hashes=callers_api.block_hashes(prompt),
        )
        over = self._charge(request)
        if over is not None:
            return over
        return attempt_runner.Call(
            request, body, caller.document.weights, caller.customer.share
        )

    async def _service_call(
        self, received: http_messages.HttpRequest, responder: http_server.Responder
    ) -> None:
        request_id = ids.new_request_id()
        outcome = await self._run_service_call(received, responder, request_id)
        if isinstance(outcome, Failure):
            self._count("service_call", outcome)
            await answers.send_failure(responder, request_id, outcome)
            return
        self._count("service_call", None)
        headers = [
            (name, value)
            for name, value in outcome.headers
            if name.lower() == "content-type"
        ]
        headers.append((callers_api.REQUEST_ID_HEADER, request_id))
        response = http_messages.HttpResponse(
            outcome.status, tuple(headers), outcome.body
        )
        await responder.send(response)

    async def _run_service_call(
        self,
        received: http_messages.HttpRequest,
        responder: http_server.Responder,
        request_id: ids.RequestId,
    ) -> service_calls.Result:
        closed = self._gate.not_admitting_reason()
        if closed:
            return _not_ready(closed)
        name, _, _ = received.path[len(callers_api.SERVICES_PREFIX) :].partition("/")
        prefix = callers_api.SERVICES_PREFIX + name
        own = dataclasses.replace(
            received,
            path=received.path[len(prefix) :] or "/",
            target=received.target[len(prefix) :] or "/",
        )
        service = ids.ServiceName(name)
        document = self._current().services.get(service)
        is_app = (
            document is not None
            and document.service_type is states.ServiceType.APPLICATION
        )
        caller = self._caller(received, service if is_app else None)
        if isinstance(caller, Failure):
            return caller
        kind = directory.call_kind(caller.document, own.method, own.path)
        request = self._request(received, request_id, caller, kind, 0, 0)
        if isinstance(request, Failure):
            return request
        over = self._charge(request)
        if over is not None:
            return over
        if request.idempotent:
            return await self._app_calls.call(request, own)
        key = received.headers.get(callers_api.KEY_HEADER, "")
        if not 1 <= len(key) <= callers_api.MAX_KEY_CHARACTERS:
            message = "Idempotency-Key: an order needs one of 1 to 200 characters"
            return Failure(ErrorCode.KEY_MISSING, message)
        return await self._app_orders.order(request, own, ids.IdempotencyKey(key))

    def _caller(
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

    def _request(
        self,
        received: http_messages.HttpRequest,
        request_id: ids.RequestId,
        caller: Caller,
        kind: documents.RequestKind | None,
        prompt_tokens: int,
        max_tokens: int,
    ) -> requests.Request | Failure:
        if kind is None:
            message = "the service's document has no kind for this request"
            return Failure(ErrorCode.KIND_NOT_SERVED, message)
        asked = received.headers.get(callers_api.PATIENCE_HEADER, "")
        patience_ms = directory.patience_ms(kind, asked)
        if patience_ms is None:
            message = "Lacewingdrum-Patience-Ms: allowed a positive whole number"
            return Failure(ErrorCode.MALFORMED, message)
        now_s = self._clock()
        return requests.Request(
            request_id=request_id,
            service=caller.document.service,
            customer=caller.customer.customer,
            kind=kind.kind,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            received_s=now_s,
            deadline_s=now_s + patience_ms / 1000,
            worth=kind.worth,
            idempotent=kind.idempotent,
        )

    def _charge(self, request: requests.Request) -> Failure | None:
        spent = self._budget.charge(
            request.service, request.customer, request.total_tokens, self._clock()
        )
        match spent:
            case limits.Granted():
                return None
            case limits.Exhausted(retry_after_ms):
                message = "the customer's limit is reached"
                return Failure(
                    ErrorCode.LIMIT_REACHED, message, retry_after_ms=retry_after_ms
                )

    def _count(self, what: str, failure: Failure | None) -> None:
        code = "ok" if failure is None else failure.code.value
        self._figures.count("requests", call=what, outcome=code)

    def _record_end(self, request: requests.Request, failure: Failure | None) -> None:
        event = decision_log.DecisionEvent.FINISHED
        if failure is not None:
            event = decision_log.DecisionEvent.FAILED
        self._decisions.record(
            event,
            request.request_id,
            service=request.service,
            customer=request.customer,
            kind=request.kind,
            prompt_tokens=request.prompt_tokens,
            elapsed_ms=int(1000 * (self._clock() - request.received_s)),
            outcome="ok" if failure is None else failure.code.value,
            ran="yes" if failure is None else failure.ran.value,
        )


async def _until_gone(
    work: Awaitable[Failure | None], responder: http_server.Responder
) -> Failure | None:
    """Run ``work``, and give it up when the caller has gone."""
    task = asyncio.ensure_future(work)
    gone = asyncio.ensure_future(responder.gone.wait())
    try:
        await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        return Failure(ErrorCode.PATIENCE_OVER, "the caller is gone", states.Ran.MAYBE)
    finally:
        gone.cancel()
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def _not_ready(reason: str) -> Failure:
    return Failure(ErrorCode.NOT_READY, reason, retry_after_ms=NOT_READY_RETRY_MS)
