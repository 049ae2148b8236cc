"""Sends calls of plain services to their runners."""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import admission, attempts, retries
from lacewingdrum_daemon import (
    decision_log,
    in_flight,
    membership_sync,
)
from lacewingdrum_protocol import callers_api, runner_api
from lacewingdrum_state import fleet, ids, requests, states
from lacewingdrum_transport import http_client, http_messages

MAX_ATTEMPTS = 4
MIN_TIMEOUT_S = 0.001
_PASSED_ON = ("content-type", "accept", "accept-language")

Result = http_messages.HttpResponse | callers_api.Failure


class ServiceCalls:
    """Carries out calls of applications."""

    def __init__(
        self,
        http: http_client.HttpClient,
        members: membership_sync.MembershipSync,
        table: in_flight.InFlightTable,
        budget: retries.RetryBudget,
        decisions: decision_log.DecisionLog,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._http = http
        self._members = members
        self._in_flight = table
        self._budget = budget
        self._decisions = decisions
        self._clock = clock
        self._rng = rng

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
        self._budget.record_request()
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
        may_repeat: bool,
    ) -> Result:
        """Send a call until a runner answers it.

        Args:
            request: who asks, and by when.
            received: what is asked.
            tried: takes each attempt.
            may_repeat: whether it may be sent again after an attempt that
                may have run.

        Returns:
            The runner's answer, or the failure of the last attempt.
        """
        excluded: set[ids.RunnerId] = set()
        failure = self._no_runner(tried)
        while len(tried) < MAX_ATTEMPTS:
            if tried and not self._budget.spend(self._clock()):
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
            requests.InFlightAttempt(attempt_id, runner.runner_id, 0, 0, now_s)
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
            attempts.determine_ran(tried),
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
                refusal = runner_api.parse_refusal(answer.status, answer.body)
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
            attempts.determine_ran(tried),
            self._retry_after_ms(),
        )

    def _retry_after_ms(self) -> int:
        return admission.retry_after_ms(0.0, self._rng)


def _moved(attempt: attempts.Attempt, state: states.AttemptState) -> attempts.Attempt:
    return attempts.change_state(attempt, state).unwrap_or(attempt)


def _headers(
    received: http_messages.HttpRequest, attempt_id: ids.AttemptId
) -> tuple[tuple[str, str], ...]:
    kept = [
        (name, received.headers[name])
        for name in _PASSED_ON
        if name in received.headers
    ]
    kept.append((runner_api.ATTEMPT_HEADER, attempt_id))
    key = received.headers.get(callers_api.IDEMPOTENCY_KEY_HEADER)
    if key is not None:
        kept.append((callers_api.IDEMPOTENCY_KEY_HEADER, key))
    return tuple(kept)
