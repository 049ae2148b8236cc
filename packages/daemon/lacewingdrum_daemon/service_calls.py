"""Runs calls of plain services: reads, and orders that may run only once."""

import asyncio
import hashlib
import random
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import attempts, orders, retries
from lacewingdrum_daemon import (
    decision_log,
    in_flight,
    members_keeper,
    order_calls,
    tasks,
)
from lacewingdrum_protocol import callers_api, runner_api
from lacewingdrum_state import fleet, ids, orders as order_rows, requests, states
from lacewingdrum_transport import http_client, http_messages

MAX_ATTEMPTS = 4
MIN_TIMEOUT_S = 0.001
STOP_GRACE_S = 30.0
_PASSED_ON = ("content-type", "accept", "accept-language")

Result = http_messages.HttpResponse | callers_api.Failure


class ServiceCalls:
    """Carries out calls of applications."""

    def __init__(
        self,
        http: http_client.HttpClient,
        members: members_keeper.MembersKeeper,
        table: in_flight.InFlightTable,
        order_table: order_calls.OrderCalls,
        budget: retries.Budget,
        decisions: decision_log.DecisionLog,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._http = http
        self._members = members
        self._in_flight = table
        self._orders = order_table
        self._budget = budget
        self._decisions = decisions
        self._clock = clock
        self._rng = rng
        self._order_tasks = tasks.TaskSet()

    async def close(self, grace_s: float = STOP_GRACE_S) -> None:
        """Let orders in progress run to their end."""
        await self._order_tasks.close(grace_s)

    async def call(
        self, request: requests.Request, received: http_messages.HttpRequest
    ) -> Result:
        """Carry out a call that may be repeated.

        Args:
            request: who asks, and by when.
            received: what is asked; its path is the application's own.

        Returns:
            The runner's answer, or the failure at the deadline at the latest.
        """
        tried: list[attempts.Attempt] = []
        self._budget.note_request()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return await self._try_runners(request, received, tried, True)
        except TimeoutError:
            return callers_api.Failure(
                callers_api.ErrorCode.PATIENCE_OVER,
                "the patience is over",
                _ran(tried),
                self._retry_after_ms(),
            )

    async def order(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        key: ids.IdempotencyKey,
    ) -> Result:
        """Carry out a call that may take effect only once.

        The order runs to its end and is recorded even when the task that
        asked for it is cancelled, as when its caller goes away.

        Args:
            request: who asks, and by when.
            received: what is asked.
            key: the caller's key, which makes repeats the same order.

        Returns:
            The runner's answer, stored or new, or an honest failure.
        """
        work = self._run_order(request, received, key)
        return await asyncio.shield(self._order_tasks.spawn(work))

    async def _run_order(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        key: ids.IdempotencyKey,
    ) -> Result:
        tried: list[attempts.Attempt] = []

        async def send() -> orders.SendOutcome:
            return _send_outcome(
                await self._try_runners(request, received, tried, False), tried
            )

        result = await self._orders.run(
            order_rows.OrderId(request.service, request.customer, key),
            fingerprint(received),
            ids.new_attempt_id(request.request_id, 1),
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
                headers = (("Content-Type", answer.content_type),)
                return http_messages.HttpResponse(answer.status, headers, answer.body)
            case orders.NotSent(ran, reason, retry_after_ms):
                code = _CODE_OF[reason]
                return callers_api.Failure(code, reason.value, ran, retry_after_ms)

    async def _try_runners(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        tried: list[attempts.Attempt],
        may_repeat: bool,
    ) -> Result:
        excluded: set[ids.RunnerId] = set()
        failure = self._no_runner(tried)
        while len(tried) < MAX_ATTEMPTS:
            if tried and not self._budget.take(self._clock()):
                return failure
            runner = self._choose(request, excluded)
            if runner is None:
                return failure
            excluded.add(runner.runner_id)
            outcome = await self._send(request, received, runner, tried)
            if isinstance(outcome, http_messages.HttpResponse):
                return outcome
            failure = outcome
            if failure.ran is not states.Ran.NO and not may_repeat:
                return failure
        return failure

    def _choose(
        self, request: requests.Request, excluded: set[ids.RunnerId]
    ) -> fleet.Runner | None:
        usable = [
            runner
            for runner in self._members.view.usable_runners(request.service)
            if runner.runner_id not in excluded
        ]
        if not usable:
            return None
        fewest = min(self._in_flight.count(runner.runner_id) for runner in usable)
        best = [
            runner
            for runner in usable
            if self._in_flight.count(runner.runner_id) == fewest
        ]
        runner = self._rng.choice(best)
        self._decisions.record(
            decision_log.DecisionEvent.ROUTED,
            request.request_id,
            runner_id=runner.runner_id,
            reason="fewest_in_flight",
            in_flight=fewest,
            candidates=[found.runner_id for found in usable],
        )
        return runner

    async def _send(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        runner: fleet.Runner,
        tried: list[attempts.Attempt],
    ) -> Result:
        attempt_id = ids.new_attempt_id(request.request_id, len(tried) + 1)
        attempt = attempts.Attempt(attempt_id, runner.runner_id)
        left_s = request.deadline_s - self._clock()
        if left_s <= MIN_TIMEOUT_S:
            return self._no_runner(tried)
        tried.append(attempt)
        now_s = self._clock()
        self._in_flight.add(
            requests.InFlight(attempt_id, runner.runner_id, 0, 0, now_s)
        )
        try:
            tried[-1] = _moved(attempt, states.AttemptState.SENT)
            response = await self._http.request(
                runner.address,
                received.method,
                received.target,
                _headers(received, attempt_id),
                received.body,
                left_s,
            )
            tried[-1], outcome = self._read(runner, tried[-1], response)
        finally:
            self._in_flight.end(runner, attempt_id)
        if isinstance(outcome, http_messages.HttpResponse):
            return outcome
        return callers_api.Failure(
            outcome,
            "the runner did not answer in full",
            _ran(tried),
            self._retry_after_ms(),
        )

    def _read(
        self,
        runner: fleet.Runner,
        attempt: attempts.Attempt,
        response: Ok[http_messages.HttpResponse] | Err[http_client.HttpClientError],
    ) -> tuple[attempts.Attempt, http_messages.HttpResponse | callers_api.ErrorCode]:
        match response:
            case Ok(answer):
                refusal = runner_api.read_refusal(answer.status, answer.body)
                if refusal is None:
                    return _moved(attempt, states.AttemptState.ANSWERED), answer
                if refusal.reason is runner_api.RefusalReason.LEAVING:
                    self._members.mark_runner_leaving(
                        runner.runner_id, runner.incarnation
                    )
                refused = _moved(attempt, states.AttemptState.REFUSED_BY_RUNNER)
                return refused, callers_api.ErrorCode.NO_RUNNER
            case Err(error):
                state = states.AttemptState.UNKNOWN
                if not error.may_have_left:
                    # No byte left, which proves as much as a refusal does.
                    state = states.AttemptState.REFUSED_BY_RUNNER
                return _moved(attempt, state), callers_api.ErrorCode.RUNNER_LOST

    def _no_runner(self, tried: list[attempts.Attempt]) -> callers_api.Failure:
        return callers_api.Failure(
            callers_api.ErrorCode.NO_RUNNER,
            "no runner takes this call now",
            _ran(tried),
            self._retry_after_ms(),
        )

    def _retry_after_ms(self) -> int:
        return int(1000 * self._rng.uniform(0.5, 2.0))


def fingerprint(received: http_messages.HttpRequest) -> str:
    """Returns: hex SHA-256 of method, target and body."""
    digest = hashlib.sha256()
    digest.update(f"{received.method} {received.target}\n".encode())
    digest.update(received.body)
    return digest.hexdigest()


def _moved(attempt: attempts.Attempt, state: states.AttemptState) -> attempts.Attempt:
    return attempts.move(attempt, state).unwrap_or(attempt)


def _ran(tried: list[attempts.Attempt]) -> states.Ran:
    return attempts.ran(tried)


def _headers(
    received: http_messages.HttpRequest, attempt_id: ids.AttemptId
) -> tuple[tuple[str, str], ...]:
    kept = [
        (name, received.headers[name])
        for name in _PASSED_ON
        if name in received.headers
    ]
    kept.append((runner_api.ATTEMPT_HEADER, attempt_id))
    key = received.headers.get(callers_api.KEY_HEADER)
    if key is not None:
        kept.append((callers_api.KEY_HEADER, key))
    return tuple(kept)


def _send_outcome(result: Result, tried: list[attempts.Attempt]) -> orders.SendOutcome:
    match result:
        case http_messages.HttpResponse(status, _, body):
            content_type = result.header("content-type") or "application/octet-stream"
            return orders.Answered(order_rows.OrderAnswer(status, content_type, body))
        case callers_api.Failure():
            if result.ran is not states.Ran.NO:
                return orders.Lost()
            return orders.RefusedNotStarted() if tried else orders.Unsent()


_CODE_OF = {
    orders.NotSentReason.NO_TABLE: callers_api.ErrorCode.STORE_DOWN,
    orders.NotSentReason.UNSETTLED: callers_api.ErrorCode.STORE_DOWN,
    orders.NotSentReason.UNREADABLE_ROW: callers_api.ErrorCode.ORDER_MAY_HAVE_RUN,
    orders.NotSentReason.KEY_REUSED: callers_api.ErrorCode.KEY_REUSED,
    orders.NotSentReason.IN_PROGRESS: callers_api.ErrorCode.ORDER_IN_PROGRESS,
    orders.NotSentReason.MAY_HAVE_RUN: callers_api.ErrorCode.ORDER_MAY_HAVE_RUN,
    orders.NotSentReason.ANSWER_NOT_KEPT: callers_api.ErrorCode.ORDER_MAY_HAVE_RUN,
    orders.NotSentReason.DEADLINE: callers_api.ErrorCode.PATIENCE_OVER,
    orders.NotSentReason.RUNNER_REFUSED: callers_api.ErrorCode.NO_RUNNER,
    orders.NotSentReason.RUNNER_UNREACHED: callers_api.ErrorCode.NO_RUNNER,
    orders.NotSentReason.ANSWER_LOST: callers_api.ErrorCode.RUNNER_LOST,
    orders.NotSentReason.STOPPING: callers_api.ErrorCode.LEAVING,
}
