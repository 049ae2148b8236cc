"""Sends calls of plain services to their runners, with retries."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import admission, attempts, retries
from lacewingdrum_daemon import in_flight_attempts, membership_sync
from lacewingdrum_protocol import callers_api, runner_api
from lacewingdrum_runtime import decision_log
from lacewingdrum_state import fleet, ids, requests, states
from lacewingdrum_transport import http_client, http_messages

MAX_ATTEMPTS = 4
MIN_TIMEOUT_S = 0.001
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language")

Result = http_messages.HttpResponse | callers_api.Failure


class ServiceCalls:
    """Forwards calls to the runners of plain services."""

    def __init__(
        self,
        http: http_client.HttpClient,
        members: membership_sync.MembershipSync,
        attempts_in_flight: in_flight_attempts.InFlightAttempts,
        retry_budget: retries.RetryBudget,
        decisions: decision_log.DecisionLog,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._http = http
        self._members = members
        self._in_flight = attempts_in_flight
        self._retry_budget = retry_budget
        self._decisions = decisions
        self._clock = clock
        self._rng = rng

    async def call(
        self, request: requests.Request, received: http_messages.HttpRequest
    ) -> Result:
        """Forward an idempotent call, which may be retried.

        Args:
            request: the service, the customer and the deadline.
            received: the HTTP request, without the service prefix in its path.

        Returns:
            The runner's answer or a failure, at the deadline at the latest.
        """
        tried: list[attempts.Attempt] = []
        self._retry_budget.record_request()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return await self.try_runners(request, received, tried, True)
        except TimeoutError:
            return callers_api.Failure(
                callers_api.ErrorCode.PATIENCE_OVER,
                "the patience is over",
                attempts.determine_ran(tried),
                self._retry_after_ms(),
            )

    async def try_runners(
        self,
        request: requests.Request,
        received: http_messages.HttpRequest,
        tried: list[attempts.Attempt],
        may_retry: bool,
    ) -> Result:
        """Send a call until a runner answers it.

        Args:
            request: the service, the customer and the deadline.
            received: the HTTP request, without the service prefix in its path.
            tried: the list to which each attempt is appended.
            may_retry: whether the call may be sent again after an attempt
                that may have run.

        Returns:
            The runner's answer, or the failure of the last attempt.
        """
        excluded: set[ids.RunnerId] = set()
        failure = self._no_runner_failure(tried)
        while len(tried) < MAX_ATTEMPTS:
            if tried and not self._retry_budget.spend(self._clock()):
                return failure
            runner = self._choose(request, excluded)
            if runner is None:
                return failure
            excluded.add(runner.runner_id)
            outcome = await self._send(request, received, runner, tried)
            if isinstance(outcome, http_messages.HttpResponse):
                return outcome
            failure = outcome
            if failure.ran is not states.Ran.NO and not may_retry:
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
            candidates=[candidate.runner_id for candidate in usable],
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
            return self._no_runner_failure(tried)
        tried.append(attempt)
        now_s = self._clock()
        self._in_flight.add(
            requests.InFlightAttempt(attempt_id, runner.runner_id, 0, 0, now_s)
        )
        try:
            tried[-1] = _with_state(attempt, states.AttemptState.SENT)
            response = await self._http.request(
                runner.address,
                received.method,
                received.target,
                _forwarded_headers(received, attempt_id),
                received.body,
                left_s,
            )
            tried[-1], outcome = self._evaluate_response(runner, tried[-1], response)
        finally:
            self._in_flight.end(runner, attempt_id)
        if isinstance(outcome, http_messages.HttpResponse):
            return outcome
        return callers_api.Failure(
            outcome,
            "the runner did not answer in full",
            attempts.determine_ran(tried),
            self._retry_after_ms(),
        )

    def _evaluate_response(
        self,
        runner: fleet.Runner,
        attempt: attempts.Attempt,
        response: Ok[http_messages.HttpResponse] | Err[http_client.HttpClientError],
    ) -> tuple[attempts.Attempt, http_messages.HttpResponse | callers_api.ErrorCode]:
        match response:
            case Ok(answer):
                refusal = runner_api.parse_refusal(answer.status, answer.body)
                if refusal is None:
                    return _with_state(attempt, states.AttemptState.ANSWERED), answer
                if refusal.reason is runner_api.RefusalReason.LEAVING:
                    self._members.mark_runner_leaving(
                        runner.runner_id, runner.incarnation
                    )
                refused = _with_state(attempt, states.AttemptState.REFUSED_BY_RUNNER)
                return refused, callers_api.ErrorCode.NO_RUNNER
            case Err(error):
                state = states.AttemptState.UNKNOWN
                if not error.may_have_been_sent:
                    # No byte was sent, so the attempt cannot have run.
                    state = states.AttemptState.REFUSED_BY_RUNNER
                return _with_state(attempt, state), callers_api.ErrorCode.RUNNER_LOST

    def _no_runner_failure(self, tried: list[attempts.Attempt]) -> callers_api.Failure:
        return callers_api.Failure(
            callers_api.ErrorCode.NO_RUNNER,
            "no runner takes this call now",
            attempts.determine_ran(tried),
            self._retry_after_ms(),
        )

    def _retry_after_ms(self) -> int:
        return admission.retry_after_ms(0.0, self._rng)


def _with_state(
    attempt: attempts.Attempt, state: states.AttemptState
) -> attempts.Attempt:
    return attempts.change_state(attempt, state).unwrap_or(attempt)


def _forwarded_headers(
    received: http_messages.HttpRequest, attempt_id: ids.AttemptId
) -> tuple[tuple[str, str], ...]:
    forwarded = [
        (name, received.headers[name])
        for name in _FORWARDED_HEADERS
        if name in received.headers
    ]
    forwarded.append((runner_api.ATTEMPT_HEADER, attempt_id))
    key = received.headers.get(callers_api.IDEMPOTENCY_KEY_HEADER)
    if key is not None:
        forwarded.append((callers_api.IDEMPOTENCY_KEY_HEADER, key))
    return tuple(forwarded)
