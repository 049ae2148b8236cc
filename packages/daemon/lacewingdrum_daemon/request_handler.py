"""Dispatches the requests of callers to the components that answer them."""

import asyncio
from collections.abc import Awaitable, Callable

from lacewingdrum_daemon import (
    answers,
    caller_requests,
    completions,
    probes,
    readiness,
    service_calls,
    service_orders,
)
from lacewingdrum_protocol import callers_api
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids, requests, states, units
from lacewingdrum_transport import caller_presence, http_messages, http_server

Failure = callers_api.Failure
ErrorCode = callers_api.ErrorCode


class RequestHandler:
    """Handles the requests of callers, and health and metrics probes."""

    def __init__(
        self,
        own_readiness: readiness.Readiness,
        health: probes.Probes,
        parser: caller_requests.RequestParser,
        model_calls: completions.Completions,
        plain_service_calls: service_calls.ServiceCalls,
        plain_service_orders: service_orders.ServiceOrders,
        decisions: decision_log.DecisionLog,
        daemon_metrics: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._readiness = own_readiness
        self._health = health
        self._parser = parser
        self._model_calls = model_calls
        self._plain_service_calls = plain_service_calls
        self._plain_service_orders = plain_service_orders
        self._decisions = decisions
        self._metrics = daemon_metrics
        self._clock = clock

    async def handle(
        self, received: http_messages.HttpRequest, responder: http_server.Responder
    ) -> None:
        """Answer a request of a caller, a load balancer or a monitor."""
        probe = self._health.answer(received)
        if probe is not None:
            await responder.send(probe)
            return
        request_id = ids.new_request_id()
        failure = await self._serve(received, responder, request_id)
        if failure is not None:
            self._count_outcome(failure)
            await answers.send_failure(responder, request_id, failure)

    async def _serve(
        self,
        received: http_messages.HttpRequest,
        responder: http_server.Responder,
        request_id: ids.RequestId,
    ) -> Failure | None:
        """Answer a request, or return a failure that must still be sent."""
        is_completion = received.path == callers_api.COMPLETIONS_PATH
        is_service_call = received.path.startswith(callers_api.SERVICES_PREFIX)
        if not is_completion and not is_service_call:
            return Failure(ErrorCode.NOT_FOUND, "no such path")
        not_ready_reason = self._readiness.not_admitting_reason()
        if not_ready_reason:
            return Failure(
                ErrorCode.NOT_READY,
                not_ready_reason,
                retry_after_ms=callers_api.DEFAULT_RETRY_AFTER_MS,
            )
        if is_completion:
            return await self._completion(received, responder, request_id)
        return await self._service_call(received, responder, request_id)

    async def _completion(
        self,
        received: http_messages.HttpRequest,
        responder: http_server.Responder,
        request_id: ids.RequestId,
    ) -> Failure | None:
        call = self._parser.completion(received, request_id)
        if isinstance(call, Failure):
            return call
        request = call.request
        answer = answers.Answer(responder, request_id, call.body, request.prompt_tokens)
        failure = await _run_until_disconnect(
            self._model_calls.run(call, answer), responder
        )
        self._count_outcome(failure)
        self._record_end(request, failure)
        if failure is not None and not responder.started:
            await answers.send_failure(responder, request_id, failure)
        return None

    async def _service_call(
        self,
        received: http_messages.HttpRequest,
        responder: http_server.Responder,
        request_id: ids.RequestId,
    ) -> Failure | None:
        call = self._parser.service_call(received, request_id)
        if isinstance(call, Failure):
            return call
        if call.key is None:
            outcome = await self._plain_service_calls.call(
                call.request, call.service_request
            )
        else:
            outcome = await self._plain_service_orders.run_order(
                call.request, call.service_request, call.key
            )
        if isinstance(outcome, Failure):
            self._record_end(call.request, outcome)
            return outcome
        self._count_outcome(None)
        self._record_end(call.request, None)
        headers = (
            ("Content-Type", outcome.header("content-type")),
            (callers_api.REQUEST_ID_HEADER, request_id),
        )
        await responder.send(
            http_messages.HttpResponse(outcome.status, headers, outcome.body)
        )
        return None

    def _count_outcome(self, failure: Failure | None) -> None:
        code = "ok" if failure is None else failure.code.value
        self._metrics.count("requests", outcome=code)

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
            elapsed_ms=int(units.MS_PER_S * (self._clock() - request.received_s)),
            outcome="ok" if failure is None else failure.code.value,
            ran="yes" if failure is None else failure.ran.value,
        )


async def _run_until_disconnect(
    work: Awaitable[Failure | None], responder: http_server.Responder
) -> Failure | None:
    """Run ``work``, and cancel it when the caller has left.

    A caller that has only ended its own stream waits for the answer.
    """
    task = asyncio.ensure_future(work)
    left = asyncio.ensure_future(_has_left(responder))
    try:
        await asyncio.wait({task, left}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done() and not left.result():
            await asyncio.wait({task})
        if task.done():
            return task.result()
        return Failure(
            ErrorCode.CALLER_GONE, "the caller ended its stream", states.Ran.MAYBE
        )
    finally:
        left.cancel()
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _has_left(responder: http_server.Responder) -> bool:
    """Wait for the end of the caller's stream; return whether it has left."""
    await responder.input_ended.wait()
    return not await caller_presence.is_waiting(responder)
