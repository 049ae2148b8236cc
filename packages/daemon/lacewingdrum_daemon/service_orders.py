"""Executes orders of plain services, each at most once."""

import asyncio
import hashlib

from lacewingdrum_coordination import attempts, orders
from lacewingdrum_daemon import large_answers, order_executor, service_calls
from lacewingdrum_protocol import callers_api
from lacewingdrum_runtime import decision_log, tasks
from lacewingdrum_state import ids, orders as order_rows, requests, states
from lacewingdrum_transport import http_messages

STOP_GRACE_S = 30.0

Result = service_calls.Result


class ServiceOrders:
    """Runs each order to its end, whether or not its caller waits.

    Args:
        plain_service_calls: sends calls to the runners.
        executor: ensures that each order is sent at most once.
        answer_store: stores answers that do not fit into a row.
        decisions: records the outcome.
    """

    def __init__(
        self,
        plain_service_calls: service_calls.ServiceCalls,
        executor: order_executor.OrderExecutor,
        answer_store: large_answers.LargeAnswerStore,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._plain_service_calls = plain_service_calls
        self._executor = executor
        self._answer_store = answer_store
        self._decisions = decisions
        self._tasks = tasks.TaskSet()

    async def close(self, grace_s: float = STOP_GRACE_S) -> None:
        """Wait until orders in progress are recorded, then cancel the rest.

        Args:
            grace_s: how long to wait for the orders, and then once more for
                the executor's tasks.
        """
        await self._tasks.close(grace_s)
        await self._executor.close(grace_s)

    async def run_order(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        key: ids.IdempotencyKey,
    ) -> Result:
        """Execute a call that may take effect only once.

        The order runs to its end and is recorded even if the calling task is
        cancelled, for example because the caller disconnects.

        Args:
            request: the service, the customer and the deadline.
            received: the HTTP request, without the service prefix in its path.
            key: the caller's idempotency key, which identifies retries of the
                same order.

        Returns:
            The runner's answer, stored or new, or a failure that states
            whether the order ran.
        """
        work = self._run(request, received, key)
        return await asyncio.shield(self._tasks.spawn(work))

    async def _run(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        key: ids.IdempotencyKey,
    ) -> Result:
        attempt_id = ids.new_attempt_id(request.request_id, 1)

        async def send() -> orders.SendOutcome:
            return await self._send(request, received, attempt_id)

        result = await self._executor.run(
            order_rows.OrderId(request.service, request.customer, key),
            fingerprint(received),
            attempt_id,
            request.deadline_s,
            send,
        )
        self._decisions.record(
            decision_log.DecisionEvent.ORDER_ANSWERED,
            request.request_id,
            outcome=type(result).__name__,
            reason=result.reason.value if isinstance(result, orders.NotSent) else "",
        )
        match result:
            case orders.Done(answer, _):
                return await self._response(answer)
            case orders.NotSent(ran, reason, retry_after_ms):
                code = _CODE_OF[reason]
                return callers_api.Failure(code, reason.value, ran, retry_after_ms)

    async def _send(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        attempt_id: ids.AttemptId,
    ) -> orders.SendOutcome:
        tried: list[attempts.Attempt] = []
        result = await self._plain_service_calls.try_runners(
            request, received, tried, False
        )
        match result:
            case http_messages.HttpResponse(status, _, body):
                content_type = (
                    result.header("content-type") or "application/octet-stream"
                )
                answer = order_rows.OrderAnswer(status, content_type, body)
                return orders.Answered(await self._answer_store.put(attempt_id, answer))
            case callers_api.Failure(ran=states.Ran.NO):
                return orders.RefusedNotStarted() if tried else orders.Unsent()
        return orders.AnswerLost()

    async def _response(self, stored: order_rows.OrderAnswer) -> Result:
        answer = await self._answer_store.get(stored)
        if answer is None:
            return callers_api.Failure(
                callers_api.ErrorCode.STORE_DOWN,
                "the order ran; its answer cannot be read now",
                states.Ran.YES,
                callers_api.DEFAULT_RETRY_AFTER_MS,
            )
        headers = (("Content-Type", answer.content_type),)
        return http_messages.HttpResponse(answer.status, headers, answer.body)


def fingerprint(received: http_messages.HttpRequest) -> str:
    """Return the SHA-256 of method, target and body, in hex."""
    digest = hashlib.sha256()
    digest.update(f"{received.method} {received.target}\n".encode())
    digest.update(received.body)
    return digest.hexdigest()


_CODE_OF = {
    orders.NotSentReason.NO_TABLE: callers_api.ErrorCode.STORE_DOWN,
    orders.NotSentReason.UNRESOLVED: callers_api.ErrorCode.STORE_DOWN,
    orders.NotSentReason.UNREADABLE_ROW: callers_api.ErrorCode.ORDER_MAY_HAVE_RUN,
    orders.NotSentReason.KEY_REUSED: callers_api.ErrorCode.KEY_REUSED,
    orders.NotSentReason.IN_PROGRESS: callers_api.ErrorCode.ORDER_IN_PROGRESS,
    orders.NotSentReason.MAY_HAVE_RUN: callers_api.ErrorCode.ORDER_MAY_HAVE_RUN,
    orders.NotSentReason.ANSWER_NOT_KEPT: callers_api.ErrorCode.ORDER_RAN,
    orders.NotSentReason.DEADLINE: callers_api.ErrorCode.PATIENCE_OVER,
    orders.NotSentReason.RUNNER_REFUSED: callers_api.ErrorCode.NO_RUNNER,
    orders.NotSentReason.RUNNER_UNREACHED: callers_api.ErrorCode.NO_RUNNER,
    orders.NotSentReason.ANSWER_LOST: callers_api.ErrorCode.RUNNER_LOST,
    orders.NotSentReason.STOPPING: callers_api.ErrorCode.LEAVING,
}
