"""Handles callers' requests: finds route, customer and deadline."""

import asyncio
from collections.abc import Callable

from result import Err

from lacewingdrum_coordination import route_table, stop_admission
from lacewingdrum_gateway import configuration_sync
from lacewingdrum_gateway.serving import (
    active_request,
    attempt,
    caller_ends,
    final_answers,
    forwarding,
    outcomes,
    plans,
    request_log,
    unrouted_answers,
)
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_protocol import event_stream
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import configurations, requests
from lacewingdrum_transport import http_messages, responder as responders

NOT_READY_RETRY_S = 0.5
# A daemon that starts knows configuration and runners after a few calls.
INITIAL_STATE_WAIT_S = 0.3
INITIAL_STATE_POLL_S = 0.01


class RequestHandler:
    """Forwards callers' requests and answers those that are refused."""

    def __init__(
        self,
        configuration_updates: configuration_sync.ConfigurationSync,
        knows_fleet: Callable[[], bool],
        forwarder: forwarding.Forwarder,
        answers: final_answers.FinalAnswers,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._configurations = configuration_updates
        self._knows_fleet = knows_fleet
        self._forwarder = forwarder
        self._final_answers = answers
        self._clock = clock
        self._counts = counts
        self._log = request_log.RequestLog(
            configuration_updates, clock, decisions, counts
        )
        self._unrouted = unrouted_answers.UnroutedAnswers(
            configuration_updates, decisions, counts
        )
        self._running: dict[asyncio.Future, active_request.ActiveRequest] = {}
        self._stop: stop_admission.StopAdmission | None = None

    def set_leaving(self, abort_s: float) -> None:
        """Begin to refuse requests that could not end before the stop.

        Args:
            abort_s: when open requests will be interrupted.
        """
        self._stop = stop_admission.StopAdmission(self._clock(), abort_s)

    def end_overdue(self) -> int:
        """End requests whose deadline passed while the VM was suspended.

        Returns:
            The number of these requests.
        """
        now_s = self._clock()
        overdue_count = 0
        for running, active in self._running.items():
            if active.routed.deadline_s <= now_s and not active.is_overdue:
                active.is_overdue = True
                running.cancel()
                overdue_count += 1
        return overdue_count

    def end_unbegun_streams(self) -> int:
        """End streams whose answers would begin only to be broken off.

        Returns:
            The number of these streams.
        """
        if self._stop is None:
            return 0
        now_s = self._clock()
        ended_count = 0
        for running, active in self._running.items():
            routed = active.routed
            may_answer = self._stop.may_answer(routed.route, routed.deadline_s, now_s)
            if may_answer or active.responder.started or active.is_ended_early:
                continue
            active.is_ended_early = True
            running.cancel()
            ended_count += 1
        return ended_count

    def end_blamed(
        self, is_blamed: Callable[[active_request.ActiveRequest], bool]
    ) -> None:
        """End requests that have not begun and probably crash engines.

        Args:
            is_blamed: whether a request is not to be sent on.
        """
        for running, active in self._running.items():
            has_begun = any(
                item.events.run_event_count for item in active.race.attempts
            )
            if has_begun or active.is_trial or active.is_blamed:
                continue
            if is_blamed(active):
                active.is_blamed = True
                running.cancel()

    async def handle(
        self, request: http_messages.HttpRequest, responder: responders.Responder
    ) -> None:
        """Serve one request of a caller.

        Args:
            request: the request with its whole body.
            responder: sends the answer.
        """
        await self._serve(request, responder, is_relayed=False)

    async def handle_relayed(
        self, request: http_messages.HttpRequest, responder: responders.Responder
    ) -> None:
        """Serve one request that another daemon has passed on."""
        if platform_headers.has_unknown_daemon_headers(request.headers):
            self._counts.count("relayed_headers_unread")
        await self._serve(request, responder, is_relayed=True)

    async def _serve(
        self,
        request: http_messages.HttpRequest,
        responder: responders.Responder,
        is_relayed: bool,
    ) -> None:
        caller_headers = platform_headers.parse_caller_headers(request.headers)
        try:
            await self._wait_for_initial_state(request)
        except asyncio.CancelledError:
            await self._unrouted.answer_unavailable(
                caller_headers, responder, "leaving", final_answers.LEAVING_RETRY_S
            )
            raise
        table = self._configurations.table
        if table is None or not self._knows_fleet():
            await self._unrouted.answer_unavailable(
                caller_headers, responder, "not_ready", NOT_READY_RETRY_S
            )
            return
        host = request.headers.get("host", "")
        allowed = table.allow(host, request.path, caller_headers.credential)
        if isinstance(allowed, Err):
            await self._unrouted.answer_route_fault(
                caller_headers, responder, allowed.err_value
            )
            return
        found = allowed.ok_value
        deadline_s = _deadline_s(request, caller_headers, found.route.timeout_ms)
        if not self._may_begin(found.route, deadline_s):
            await self._unrouted.answer_unavailable(
                caller_headers, responder, "leaving", final_answers.LEAVING_RETRY_S
            )
            return
        name = route_table.pick_service(found.route, caller_headers.attempt_id)
        service = table.configuration.services.get(name)
        if service is None:
            await self._unrouted.answer_unavailable(
                caller_headers, responder, "no_service", NOT_READY_RETRY_S
            )
            return
        routed = plans.RoutedRequest(
            service=service,
            route=found.route,
            customer=found.customer,
            caller_headers=caller_headers,
            received_s=request.received_s,
            deadline_s=deadline_s,
        )
        expected = request.headers.get(platform_headers.RELAYED_ROUTE)
        if is_relayed and expected != routed.route_digest:
            await self._unrouted.answer_unavailable(
                caller_headers, responder, "other_configuration", NOT_READY_RETRY_S
            )
            return
        outgoing = attempt.Outgoing(
            request.method,
            request.target,
            request.headers,
            request.body,
            caller_headers.attempt_id,
        )
        events = event_stream.EventStream(caller_headers.last_event_id)
        active = active_request.ActiveRequest(
            routed, outgoing, responder, events, found.version
        )
        if is_relayed:
            active.is_relayed = True
            active.earlier_runner_count = platform_headers.parse_earlier_runners(
                request.headers
            )
        if not await caller_ends.may_send(active):
            await self._unrouted.answer_unavailable(
                caller_headers, responder, "caller_ended", final_answers.LEAVING_RETRY_S
            )
            return
        await self._forward(active)

    async def _wait_for_initial_state(self, request: http_messages.HttpRequest) -> None:
        """Wait a moment for configuration and runners after a start."""
        until_s = request.received_s + INITIAL_STATE_WAIT_S
        while not (self._configurations.table and self._knows_fleet()):
            if self._clock() >= until_s:
                return
            await asyncio.sleep(INITIAL_STATE_POLL_S)

    async def _forward(self, active: active_request.ActiveRequest) -> None:
        running = asyncio.ensure_future(self._forwarder.forward(active))
        self._running[running] = active
        try:
            outcome = await self._run_to_end(active, running)
        except Exception:
            self._log.record(active, outcomes.Outcome.INTERNAL_ERROR)
            raise
        finally:
            del self._running[running]
        self._log.record(active, outcome)

    async def _run_to_end(
        self, active: active_request.ActiveRequest, running: asyncio.Future
    ) -> outcomes.Outcome:
        """Return the outcome of a request, also if it is interrupted."""
        try:
            await self._wait_for_end(active, running)
            return await running
        except asyncio.CancelledError:
            running.cancel()
            await asyncio.wait((running,))
        if not running.cancelled():
            # It ended in the turn in which it was interrupted.
            return running.result()
        return await self._end_interrupted(active)

    async def _wait_for_end(
        self, active: active_request.ActiveRequest, running: asyncio.Future
    ) -> None:
        """Wait until a request has ended, or its caller has left it."""
        if not caller_ends.is_watched(active):
            return
        left = asyncio.ensure_future(caller_ends.has_left(active))
        try:
            await asyncio.wait((running, left), return_when=asyncio.FIRST_COMPLETED)
        finally:
            left.cancel()
        if not running.done() and left.result():
            active.has_caller_left = True
            running.cancel()

    async def _end_interrupted(
        self, active: active_request.ActiveRequest
    ) -> outcomes.Outcome:
        """Give the caller the last answer of an interrupted request."""
        if active.responder.is_disconnected:
            return outcomes.Outcome.CALLER_GONE
        if active.is_overdue or active.is_blamed:
            return await self._final_answers.give_up(active)
        if active.has_caller_left:
            return await self._final_answers.end_for_caller(active)
        return await self._final_answers.end_for_stop(active)

    def _may_begin(self, route: configurations.Route, deadline_s: float) -> bool:
        if self._stop is None:
            return True
        return self._stop.may_begin(route, deadline_s, self._clock())


def _deadline_s(
    request: http_messages.HttpRequest,
    caller_headers: requests.CallerHeaders,
    timeout_ms: float,
) -> float:
    patience_ms = timeout_ms
    if caller_headers.patience_ms is not None:
        patience_ms = min(patience_ms, caller_headers.patience_ms)
    return request.received_s + patience_ms / 1_000
