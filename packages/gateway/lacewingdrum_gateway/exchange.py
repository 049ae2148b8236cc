"""One attempt of a request: sent to its runner, passed on to its caller."""

from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import engine_book
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

WHOLE_ANSWER_BYTES = 8 * 1024 * 1024
# A runner that shows nothing for so long is given up, if another may be asked.
SILENCE_MIN_S = 0.8
FIRST_SILENCE_OBJECTIVES = 2.0
PAUSE_SILENCE_LIMITS = 4.0
PLAIN_SILENCE_OBJECTIVES = 1.5
PLAIN_SILENCE_MIN_S = 0.35
# The shortest of so many pauses tells an engine's pace.
PACE_PAUSES = 5


class Exchange:
    """Carries out planned attempts, one at a time for each request."""

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
        self, work: active_request.ActiveRequest, plan: plans.Plan
    ) -> attempt.AttemptEnd | None:
        """Make one attempt.

        Args:
            work: the request.
            plan: the runners.

        Returns:
            None if the caller has the whole answer, else how it ended.
        """
        work_id = engine_book.work_id(work.outgoing.attempt_id, work.try_count)
        runner_id = plan.entry.runner_id
        in_flight = self._planner.in_flight
        in_flight[runner_id] = in_flight.get(runner_id, 0) + 1
        if plan.work:
            self._work_updates.begin(
                work_id, plan.work, work.left_s(self._clock()) * 1_000
            )
        try:
            if not plan.helper_memory_tokens:
                helpers = [requests.Helper(entry.address) for entry in plan.helpers]
                return await self._exchange(work, plan, work_id, tuple(helpers))
            return await self._exchange_with_memory(work, plan, work_id)
        finally:
            if plan.work:
                self._work_updates.end(work_id)
            in_flight[runner_id] -= 1
            if not in_flight[runner_id]:
                del in_flight[runner_id]

    async def _exchange_with_memory(
        self, work: active_request.ActiveRequest, plan: plans.Plan, work_id: str
    ) -> attempt.AttemptEnd | None:
        """Set the helpers' memory aside before, and give it back after."""
        reserved = await self._memory.reserve(
            work.request_id,
            work_id,
            plan.entry,
            plan.helpers,
            plan.helper_memory_tokens,
        )
        if isinstance(reserved, Err):
            refusals = reserved.err_value
            for refused in refusals:
                if refused.is_unreachable:
                    self._sender.unreachable(refused.entry, refused.detail)
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
            return await self._exchange(work, plan, work_id, tuple(helpers))
        finally:
            held.close()

    async def _exchange(
        self,
        work: active_request.ActiveRequest,
        plan: plans.Plan,
        work_id: str,
        helpers: tuple[requests.Helper, ...],
    ) -> attempt.AttemptEnd | None:
        left_s = work.left_s(self._clock())
        customer = work.target.customer
        delivery = platform_headers.Delivery(
            left_ms=max(int(left_s * 1_000), 1),
            runner_id=plan.entry.runner_id,
            customer=customer.name if customer is not None else None,
            last_event_id=work.events.last_event_id,
            helpers=helpers,
            priority=plan.priority,
        )
        opened = await self._sender.open(
            plan.entry,
            work.outgoing,
            delivery,
            self._first_patience_s(work, plan),
            on_new_connection=not work.target.route.is_repeatable,
        )
        match opened:
            case Err(end):
                return end
            case Ok(reader):
                if work.target.route.kind is configurations.RouteKind.STREAM:
                    return await self._pass_events(work, plan, work_id, reader)
                return await self._pass_whole(work, reader)

    def _first_patience_s(
        self, work: active_request.ActiveRequest, plan: plans.Plan
    ) -> float:
        """Returns: how long a runner may show nothing at all."""
        left_s = work.left_s(self._clock())
        if not self._could_repeat(work):
            return left_s
        route = work.target.route
        objective_s = route.objective_ms / 1_000
        if route.kind is not configurations.RouteKind.STREAM:
            silence_s = max(PLAIN_SILENCE_OBJECTIVES * objective_s, PLAIN_SILENCE_MIN_S)
            return min(left_s, silence_s)
        silence_s = max(FIRST_SILENCE_OBJECTIVES * objective_s, SILENCE_MIN_S)
        return min(left_s, silence_s + plan.first_event_ms / 1_000)

    def _pause_patience_s(
        self, work: active_request.ActiveRequest, plan: plans.Plan
    ) -> float:
        left_s = work.left_s(self._clock())
        if not self._could_repeat(work):
            return left_s
        pause_s = work.target.route.pause_objective_ms / 1_000
        silence_s = max(PAUSE_SILENCE_LIMITS * pause_s, SILENCE_MIN_S)
        return min(left_s, silence_s + self._planner.prefill_backlog_s(plan))

    def _could_repeat(self, work: active_request.ActiveRequest) -> bool:
        """Returns: whether another runner may be asked after this one."""
        route = work.target.route
        return route.is_repeatable and len(work.sent_to) + 1 < route.max_attempts

    async def _pass_whole(
        self, work: active_request.ActiveRequest, reader: http_client.ResponseReader
    ) -> attempt.AttemptEnd | None:
        body = await attempt.read_whole(
            reader, work.left_s(self._clock()), WHOLE_ANSWER_BYTES
        )
        if isinstance(body, Err):
            return body.err_value
        answer = http_messages.HttpResponse(
            reader.status, reader.headers, body.ok_value
        )
        await work.responder.send(answer)
        return None

    async def _pass_events(
        self,
        work: active_request.ActiveRequest,
        plan: plans.Plan,
        work_id: str,
        reader: http_client.ResponseReader,
    ) -> attempt.AttemptEnd | None:
        """Pass whole events on until the stream's clean end."""
        events = work.events
        events.drop_rest()
        has_events = False
        try:
            while True:
                patience_s = (
                    self._pause_patience_s(work, plan)
                    if has_events
                    else self._first_patience_s(work, plan)
                )
                part = await reader.read(patience_s)
                if isinstance(part, Err):
                    return attempt.body_end(part.err_value)
                self._sender.heard(plan.entry)
                data = events.feed(part.ok_value) if part.ok_value else events.rest
                if data and not has_events:
                    has_events = True
                    self._work_updates.first_event(work_id)
                if data:
                    self._note_event(work, plan)
                if data and not await self._pass_on(work, reader, data):
                    return _CALLER_GONE
                if not part.ok_value:
                    return await self._end_stream(work, reader)
                if events.is_too_large:
                    return _TOO_LARGE
        finally:
            await reader.close()

    async def _pass_on(
        self,
        work: active_request.ActiveRequest,
        reader: http_client.ResponseReader,
        data: bytes,
    ) -> bool:
        if work.responder.started:
            return await work.responder.write(data)
        return await work.responder.start_stream(reader.status, reader.headers, data)

    async def _end_stream(
        self, work: active_request.ActiveRequest, reader: http_client.ResponseReader
    ) -> attempt.AttemptEnd | None:
        responder = work.responder
        if not responder.started:
            await responder.send(
                http_messages.HttpResponse(reader.status, reader.headers)
            )
            return None
        if not await responder.finish():
            return _CALLER_GONE
        return None

    def _note_event(self, work: active_request.ActiveRequest, plan: plans.Plan) -> None:
        now_s = self._clock()
        if work.first_event_s is None:
            work.first_event_s = now_s
        else:
            pause_s = now_s - work.last_event_s
            work.longest_pause_s = max(work.longest_pause_s, pause_s)
            work.shortest_pause_s = min(work.shortest_pause_s, pause_s)
            work.pause_count += 1
        work.last_event_s = now_s
        if plan.work and work.pause_count >= PACE_PAUSES:
            pass_ms = self._planner.stated_pass_ms(work.target, plan)
            slowdown = work.shortest_pause_s * 1_000 / pass_ms
            self._work_updates.record_slowdown(plan.entry.runner_id, slowdown)
            work.pause_count, work.shortest_pause_s = 0, float("inf")


_CALLER_GONE = attempt.AttemptEnd(
    states.AttemptState.UNKNOWN, attempt.EndReason.LOST, "the caller has gone"
)
_TOO_LARGE = attempt.AttemptEnd(
    states.AttemptState.UNKNOWN, attempt.EndReason.MALFORMED, "event too large"
)
