"""Handles callers' requests: finds route, customer and deadline."""

import asyncio
from collections.abc import Callable

from result import Err

from lacewingdrum_coordination import route_table
from lacewingdrum_gateway import configuration_sync
from lacewingdrum_gateway.runners import runner_list_sync
from lacewingdrum_gateway.serving import (
    active_request,
    attempt,
    final_answers,
    forwarding,
    outcomes,
    plans,
    unrouted_answers,
)
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_protocol import event_stream
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import configurations, ids, requests
from lacewingdrum_transport import http_messages, responder as responders

NOT_READY_RETRY_S = 0.5
# A daemon that starts knows configuration and runners after a few calls.
INITIAL_STATE_WAIT_S = 0.3
INITIAL_STATE_POLL_S = 0.01
LEAVING_RETRY_S = 0.1
# Streams that start in this last share of a planned stop are refused, because
# they might be aborted.
STREAM_MIN_LEFT_SHARE = 0.6
# Requests other than streams are refused if less time than this is left.
CALL_MIN_LEFT_S = 1.2
# Requests that are cut are counted by the age of the configuration in whole
# seconds, up to this one.
CONFIGURATION_AGE_MAX_S = 5


class RequestHandler:
    """Forwards callers' requests and answers those that are refused."""

    def __init__(
        self,
        configuration_updates: configuration_sync.ConfigurationSync,
        runner_list: runner_list_sync.RunnerListSync,
        forwarder: forwarding.Forwarder,
        answers: final_answers.FinalAnswers,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._configurations = configuration_updates
        self._runner_list = runner_list
        self._forwarder = forwarder
        self._final_answers = answers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._unrouted = unrouted_answers.UnroutedAnswers(
            configuration_updates, decisions, counts
        )
        self._running: dict[asyncio.Future, active_request.ActiveRequest] = {}
        self._stream_cutoff_s = float("inf")
        self._call_cutoff_s = float("inf")

    def set_leaving(self, abort_s: float) -> None:
        """Begin to refuse requests that could not end before the stop.

        Args:
            abort_s: when open requests will be aborted.
        """
        left_s = max(abort_s - self._clock(), 0.0)
        self._stream_cutoff_s = abort_s - STREAM_MIN_LEFT_SHARE * left_s
        self._call_cutoff_s = abort_s - CALL_MIN_LEFT_S

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
        await self._wait_for_initial_state(request)
        table = self._configurations.table
        if table is None or not self._runner_list.is_known:
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
        if self._is_too_late(found.route):
            await self._unrouted.answer_unavailable(
                caller_headers, responder, "leaving", LEAVING_RETRY_S
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
            deadline_s=_deadline_s(request, caller_headers, found.route.timeout_ms),
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
        await self._forward(active)

    async def _wait_for_initial_state(self, request: http_messages.HttpRequest) -> None:
        """Wait a moment for configuration and runners after a start."""
        until_s = request.received_s + INITIAL_STATE_WAIT_S
        while not (self._configurations.table and self._runner_list.is_known):
            if self._clock() >= until_s:
                return
            await asyncio.sleep(INITIAL_STATE_POLL_S)

    async def _forward(self, active: active_request.ActiveRequest) -> None:
        running = asyncio.ensure_future(self._forwarder.forward(active))
        self._running[running] = active
        if active.routed.route.is_retryable or active.routed.service.engine:
            disconnected = asyncio.ensure_future(active.responder.disconnected.wait())
            try:
                await asyncio.wait(
                    (running, disconnected), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                disconnected.cancel()
                if not running.done():
                    running.cancel()
        try:
            outcome = await running
        except asyncio.CancelledError:
            outcome = outcomes.Outcome.CALLER_GONE
            if active.is_overdue or active.is_blamed:
                outcome = await self._final_answers.give_up(active)
            elif not active.responder.disconnected.is_set():
                self._record(active, outcomes.Outcome.STOPPED)
                raise
        except Exception:
            self._record(active, outcomes.Outcome.INTERNAL_ERROR)
            raise
        finally:
            del self._running[running]
            if not running.done():
                running.cancel()
        self._record(active, outcome)

    def _record(
        self, active: active_request.ActiveRequest, outcome: outcomes.Outcome
    ) -> None:
        routed = active.routed
        now_s = self._clock()
        elapsed_s = now_s - routed.received_s
        service = routed.service.name
        length = requests.length_class(routed.caller_headers.prompt_tokens)
        self._counts.count("requests", outcome=outcome.value, service=service)
        self._counts.time(metrics.Timing.COMPLETE, service, length, elapsed_s)
        first_ms = None
        if active.first_event_s is not None:
            first_s = active.first_event_s - routed.received_s
            first_ms = round(first_s * 1_000, 1)
            self._counts.time(metrics.Timing.FIRST_TOKEN, service, length, first_s)
        event = decision_log.DecisionEvent.FAILED
        if outcome is outcomes.Outcome.ANSWERED:
            event = decision_log.DecisionEvent.FINISHED
        configuration_age_s = self._configurations.age_s
        if outcome in outcomes.CUT_OUTCOMES:
            self._counts.count(
                "cut_requests",
                outcome=outcome.value,
                configuration_age_s=_age_class(configuration_age_s),
            )
        self._decisions.record(
            event,
            ids.RequestId(active.outgoing.attempt_id),
            outcome=outcome,
            route=routed.route.name,
            customer=routed.customer.name if routed.customer else "",
            attempts=active.attempt_count,
            elapsed_ms=round(elapsed_s * 1_000, 1),
            first_event_ms=first_ms,
            events=active.events.event_count,
            longest_pause_ms=round(active.longest_pause_s * 1_000, 1),
            configuration_age_s=round(configuration_age_s, 3),
            **active.describe_answer_end(),
        )

    def _is_too_late(self, route: configurations.Route) -> bool:
        is_stream = route.kind is configurations.RouteKind.STREAM
        cutoff_s = self._stream_cutoff_s if is_stream else self._call_cutoff_s
        return self._clock() > cutoff_s


def _age_class(age_s: float) -> str:
    """Return the age in whole seconds as a metric's label."""
    if age_s >= CONFIGURATION_AGE_MAX_S:
        return f"{CONFIGURATION_AGE_MAX_S}+"
    return str(int(age_s))


def _deadline_s(
    request: http_messages.HttpRequest,
    caller_headers: requests.CallerHeaders,
    timeout_ms: float,
) -> float:
    patience_ms = timeout_ms
    if caller_headers.patience_ms is not None:
        patience_ms = min(patience_ms, caller_headers.patience_ms)
    return request.received_s + patience_ms / 1_000
