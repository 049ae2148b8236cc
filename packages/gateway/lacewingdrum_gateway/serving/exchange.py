"""Runs an attempt: sends the request and forwards the answer to the caller."""

import contextlib
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import engine_work_registry
from lacewingdrum_gateway.runners import engine_memory, work_sync
from lacewingdrum_gateway.serving import (
    active_request,
    answer_memory,
    attempt,
    attempt_ends,
    plans,
    retry_limits,
    routing,
    silence_limits,
    stream_forwarding,
)
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_state import configurations, requests, states
from lacewingdrum_transport import http_client, http_messages


class Exchange:
    """Makes planned attempts and forwards their answers to the callers."""

    def __init__(
        self,
        sender: attempt.AttemptSender,
        planner: routing.Planner,
        silence: silence_limits.SilenceLimits,
        streams: stream_forwarding.StreamForwarder,
        memory: engine_memory.EngineMemory,
        answers: answer_memory.AnswerMemory,
        work_updates: work_sync.WorkSync,
        clock: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._silence = silence
        self._streams = streams
        self._memory = memory
        self._answers = answers
        self._work_updates = work_updates
        self._clock = clock

    async def run(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> attempt_ends.AttemptEnd | None:
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
    ) -> attempt_ends.AttemptEnd | None:
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
            return attempt_ends.AttemptEnd(
                states.AttemptState.UNSENT,
                attempt_ends.EndReason.NO_MEMORY,
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
    ) -> attempt_ends.AttemptEnd | None:
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
        active.attempt_event_count = 0
        opened = await self._sender.open(
            plan.entry,
            active.outgoing,
            attempt_headers,
            min(left_s, self._silence.first_event_s(active, plan)),
            on_new_connection=retry_limits.needs_new_connection(
                active, plan.entry.runner_id
            ),
        )
        match opened:
            case Err(end):
                return end
            case Ok(reader):
                active.answer = reader
                if active.routed.route.kind is configurations.RouteKind.STREAM:
                    source = stream_forwarding.RunnerSource(plan, work_id)
                    return await self._streams.forward(active, source, reader)
                return await self._forward_whole(active, reader)

    async def _forward_whole(
        self, active: active_request.ActiveRequest, reader: http_client.ResponseReader
    ) -> attempt_ends.AttemptEnd | None:
        with contextlib.closing(self._answers.hold()) as held:
            left_s = active.left_s(self._clock())
            body = await attempt.read_whole(reader, left_s, held)
            if isinstance(body, Err):
                return body.err_value
            answer = http_messages.HttpResponse(
                reader.status, reader.headers, body.ok_value
            )
            await active.responder.send(answer)
        return None
