"""Runs an attempt: sends the request and forwards the answer to the caller."""

from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import engine_work_registry
from lacewingdrum_gateway import (
    active_request,
    attempt,
    engine_memory,
    plans,
    routing,
    work_sync,
)
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_state import configurations, requests, states
from lacewingdrum_transport import http_client, http_messages

ANSWER_MAX_BYTES = 8 * 1024 * 1024
# An attempt is abandoned after this silence of its runner if the request may
# be retried at another one.
SILENCE_MIN_S = 0.8
# These are multiples of the route's objective; PAUSE_SILENCE_RATIO is one of
# its objective for pauses.
FIRST_EVENT_SILENCE_RATIO = 2.0
PAUSE_SILENCE_RATIO = 4.0
SERVICE_SILENCE_RATIO = 1.5
SERVICE_SILENCE_MIN_S = 0.35
# The slowdown of an engine is taken from the shortest of this many pauses.
SLOWDOWN_PAUSES = 5


class Exchange:
    """Makes planned attempts and forwards their answers to the callers."""

    def __init__(
        self,
        sender: attempt.AttemptSender,
        planner: routing.Planner,
        memory: engine_memory.EngineMemory,
        work_updates: work_sync.WorkSync,
        clock: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._memory = memory
        self._work_updates = work_updates
        self._clock = clock

    async def run(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> attempt.AttemptEnd | None:
        """Make one attempt.

        Args:
            active: the request.
            plan: the runners and the expected work.

        Returns:
            None if the caller has the whole answer, else the end of the
            attempt.
        """
        work_id = engine_work_registry.work_id(
            active.outgoing.attempt_id, active.attempt_count
        )
        runner_id = plan.entry.runner_id
        in_flight = self._planner.in_flight
        in_flight[runner_id] = in_flight.get(runner_id, 0) + 1
        if plan.work:
            self._work_updates.record_start(
                work_id, plan.work, active.left_s(self._clock()) * 1_000
            )
        try:
            if not plan.helper_memory_tokens:
                helpers = [requests.Helper(entry.address) for entry in plan.helpers]
                return await self._run_attempt(active, plan, work_id, tuple(helpers))
            return await self._run_with_memory(active, plan, work_id)
        finally:
            if plan.work:
                self._work_updates.record_end(work_id)
            in_flight[runner_id] -= 1
            if not in_flight[runner_id]:
                del in_flight[runner_id]

    async def _run_with_memory(
        self, active: active_request.ActiveRequest, plan: plans.Plan, work_id: str
    ) -> attempt.AttemptEnd | None:
        """Make an attempt while memory is reserved on its helpers."""
        reserved = await self._memory.reserve(
            active.request_id,
            work_id,
            plan.entry,
            plan.helpers,
            plan.helper_memory_tokens,
        )
        if isinstance(reserved, Err):
            refusals = reserved.err_value
            for refused in refusals:
                if refused.is_unreachable:
                    self._sender.report_unreachable(refused.entry, refused.detail)
            refused = refusals[0]
            return attempt.AttemptEnd(
                states.AttemptState.UNSENT,
                attempt.EndReason.NO_MEMORY,
                f"{refused.entry.runner_id} {refused.detail}",
                at_fault=refused.entry.address,
            )
        held = reserved.ok_value
        helpers = [
            requests.Helper(entry.address, held.reservation_id)
            for entry in plan.helpers
        ]
        try:
            return await self._run_attempt(active, plan, work_id, tuple(helpers))
        finally:
            held.close()

    async def _run_attempt(
        self,
        active: active_request.ActiveRequest,
        plan: plans.Plan,
        work_id: str,
        helpers: tuple[requests.Helper, ...],
    ) -> attempt.AttemptEnd | None:
        left_s = active.left_s(self._clock())
        customer = active.routed.customer
        attempt_headers = platform_headers.AttemptHeaders(
            left_ms=max(int(left_s * 1_000), 1),
            runner_id=plan.entry.runner_id,
            customer=customer.name if customer is not None else None,
            last_event_id=active.events.last_event_id,
            helpers=helpers,
            priority=plan.priority,
        )
        active.answer = None
        opened = await self._sender.open(
            plan.entry,
            active.outgoing,
            attempt_headers,
            min(left_s, self._first_event_silence_s(active, plan)),
            on_new_connection=not active.routed.route.is_retryable,
        )
        match opened:
            case Err(end):
                return end
            case Ok(reader):
                active.answer = reader
                if active.routed.route.kind is configurations.RouteKind.STREAM:
                    return await self._forward_events(active, plan, work_id, reader)
                return await self._forward_whole(active, reader)

    def _first_event_silence_s(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> float:
        """Return how long a runner may stay silent before its first event.

        It is infinite if the request cannot be retried elsewhere.
        """
        if not self._can_retry_elsewhere(active):
            return float("inf")
        route = active.routed.route
        objective_s = route.objective_ms / 1_000
        if route.kind is not configurations.RouteKind.STREAM:
            return max(SERVICE_SILENCE_RATIO * objective_s, SERVICE_SILENCE_MIN_S)
        silence_s = max(FIRST_EVENT_SILENCE_RATIO * objective_s, SILENCE_MIN_S)
        return silence_s + plan.first_event_ms / 1_000

    def _pause_silence_s(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> float:
        """Return how long a runner may stay silent between two events."""
        if not self._can_retry_elsewhere(active):
            return float("inf")
        pause_s = active.routed.route.pause_objective_ms / 1_000
        silence_s = max(PAUSE_SILENCE_RATIO * pause_s, SILENCE_MIN_S)
        return silence_s + self._planner.prefill_backlog_s(plan)

    def _can_retry_elsewhere(self, active: active_request.ActiveRequest) -> bool:
        """Return whether the request may be retried at another runner."""
        route = active.routed.route
        return route.is_retryable and len(active.sent_to) + 1 < route.max_attempts

    async def _forward_whole(
        self, active: active_request.ActiveRequest, reader: http_client.ResponseReader
    ) -> attempt.AttemptEnd | None:
        body = await attempt.read_whole(
            reader, active.left_s(self._clock()), ANSWER_MAX_BYTES
        )
        if isinstance(body, Err):
            return body.err_value
        answer = http_messages.HttpResponse(
            reader.status, reader.headers, body.ok_value
        )
        await active.responder.send(answer)
        return None

    async def _forward_events(
        self,
        active: active_request.ActiveRequest,
        plan: plans.Plan,
        work_id: str,
        reader: http_client.ResponseReader,
    ) -> attempt.AttemptEnd | None:
        """Forward complete events until the stream ends or fails.

        Returns:
            None if the stream ended without an error, else the end of the
            attempt.
        """
        events = active.events
        events.discard_partial_event()
        has_events = False
        # Only whole events count as progress, so that a stream which sends
        # single bytes of one is not waited for without end.
        progress_s = self._clock()
        try:
            while True:
                silence_s = (
                    self._pause_silence_s(active, plan)
                    if has_events
                    else self._first_event_silence_s(active, plan)
                )
                now_s = self._clock()
                timeout_s = min(active.left_s(now_s), progress_s + silence_s - now_s)
                part = await reader.read(max(timeout_s, 0.0))
                if isinstance(part, Err):
                    return attempt.body_failure(part.err_value)
                self._sender.record_contact(plan.entry)
                if not part.ok_value:
                    return await self._end_stream(active, reader)
                data = events.feed(part.ok_value)
                if data and not has_events:
                    has_events = True
                    self._work_updates.record_first_event(work_id)
                    self._memory.record_use(work_id)
                if data:
                    progress_s = self._clock()
                    self._record_event_time(active, plan)
                if data and not await self._write_events(active, reader, data):
                    return _CALLER_DISCONNECTED
                if events.is_event_too_large:
                    return _TOO_LARGE
        finally:
            await reader.close()

    async def _write_events(
        self,
        active: active_request.ActiveRequest,
        reader: http_client.ResponseReader,
        data: bytes,
    ) -> bool:
        if active.responder.started:
            return await active.responder.write(data)
        return await active.responder.start_stream(reader.status, reader.headers, data)

    async def _end_stream(
        self, active: active_request.ActiveRequest, reader: http_client.ResponseReader
    ) -> attempt.AttemptEnd | None:
        """End the caller's answer, unless the stream was broken off."""
        responder = active.responder
        events = active.events
        if events.is_inside_event:
            return _ENDED_INSIDE_EVENT
        has_events = bool(events.event_count or events.last_event_id)
        # Only its framing can say that a stream without events is whole.
        if not has_events and reader.answer_end is _CONNECTION_CLOSE:
            return _ENDED_BEFORE_EVENTS
        rest = events.partial_event
        if rest and not await self._write_events(active, reader, rest):
            return _CALLER_DISCONNECTED
        if not responder.started:
            await responder.send(
                http_messages.HttpResponse(reader.status, reader.headers)
            )
            return None
        if not await responder.finish():
            return _CALLER_DISCONNECTED
        return None

    def _record_event_time(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> None:
        now_s = self._clock()
        if active.first_event_s is None:
            active.first_event_s = now_s
        else:
            pause_s = now_s - active.last_event_s
            active.longest_pause_s = max(active.longest_pause_s, pause_s)
            active.shortest_pause_s = min(active.shortest_pause_s, pause_s)
            active.pause_count += 1
        active.last_event_s = now_s
        if plan.work and active.pause_count >= SLOWDOWN_PAUSES:
            pass_ms = self._planner.stated_pass_ms(active.routed, plan)
            slowdown = active.shortest_pause_s * 1_000 / pass_ms
            self._work_updates.record_slowdown(plan.entry.runner_id, slowdown)
            active.pause_count, active.shortest_pause_s = 0, float("inf")


_CONNECTION_CLOSE = http_client.AnswerEnd.CONNECTION_CLOSE
_CALLER_DISCONNECTED = attempt.AttemptEnd(
    states.AttemptState.UNKNOWN, attempt.EndReason.LOST, "the caller has gone"
)
_ENDED_INSIDE_EVENT = attempt.AttemptEnd(
    states.AttemptState.UNKNOWN,
    attempt.EndReason.LOST,
    "the stream ended inside an event",
)
_ENDED_BEFORE_EVENTS = attempt.AttemptEnd(
    states.AttemptState.UNKNOWN,
    attempt.EndReason.LOST,
    "the connection ended before any event",
)
_TOO_LARGE = attempt.AttemptEnd(
    states.AttemptState.UNKNOWN, attempt.EndReason.MALFORMED, "event too large"
)
