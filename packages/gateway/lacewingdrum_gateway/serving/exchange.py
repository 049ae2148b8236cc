"""Runs an attempt: sends the request and forwards the answer to the caller."""

import contextlib
import functools
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import connect_timeouts, engine_work_registry
from lacewingdrum_gateway.runners import engine_memory, work_sync
from lacewingdrum_gateway.serving import (
    active_request,
    answer_memory,
    attempt as attempts,
    attempt_ends,
    attempt_race,
    open_attempt,
    outcomes,
    plans,
    retry_limits,
    routing,
    stream_forwarding,
)
from lacewingdrum_platform import headers as platform_headers
from lacewingdrum_state import configurations, requests, states
from lacewingdrum_transport import http_client, http_messages


class Exchange:
    """Makes planned attempts and forwards their answers to the callers."""

    def __init__(
        self,
        sender: attempts.AttemptSender,
        planner: routing.Planner,
        streams: stream_forwarding.StreamForwarder,
        memory: engine_memory.EngineMemory,
        answers: answer_memory.AnswerMemory,
        work_updates: work_sync.WorkSync,
        work_ids: engine_work_registry.WorkIds,
        clock: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._streams = streams
        self._memory = memory
        self._answers = answers
        self._work_updates = work_updates
        self._work_ids = work_ids
        self._clock = clock

    def source(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> open_attempt.RunnerSource:
        """Return where the next attempt of a request goes."""
        work_id = self._work_ids.next(
            active.outgoing.attempt_id, active.attempt_count + 1
        )
        return open_attempt.RunnerSource(plan, work_id)

    async def run(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        source: open_attempt.RunnerSource,
    ) -> attempt_race.Result:
        """Make one attempt.

        Args:
            active: the request.
            attempt: the attempt.
            source: its runners and the expected work.

        Returns:
            ``ANSWERED`` if the caller has the whole answer, else the end of
            the attempt.
        """
        plan, work_id = source.plan, source.work_id
        if self._is_evacuated(plan):
            return self._evacuated(plan)
        runner_id = plan.entry.runner_id
        in_flight = self._planner.in_flight
        in_flight[runner_id] = in_flight.get(runner_id, 0) + 1
        if plan.work:
            self._work_updates.record_start(
                work_id,
                plan.work,
                active.left_s(self._clock()) * 1_000,
                active.routed.rank,
                active.routed.customer_digest,
            )
        try:
            if not plan.helper_memory_tokens:
                helpers = [requests.Helper(entry.address) for entry in plan.helpers]
                return await self._send(active, attempt, plan, tuple(helpers))
            return await self._send_with_memory(active, attempt, source)
        finally:
            if plan.work:
                self._work_updates.record_end(work_id)
            in_flight[runner_id] -= 1
            if not in_flight[runner_id]:
                del in_flight[runner_id]

    async def _send_with_memory(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        source: open_attempt.RunnerSource,
    ) -> attempt_race.Result:
        """Make an attempt while memory is reserved on its helpers."""
        plan = source.plan
        reserved = await self._memory.reserve(
            active.request_id,
            source.work_id,
            plan.entry,
            plan.helpers,
            plan.helper_memory_tokens,
            functools.partial(active.race.end, attempt, attempt_ends.replaced()),
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
            return await self._send(active, attempt, plan, tuple(helpers))
        finally:
            held.close()

    async def _send(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        plan: plans.Plan,
        helpers: tuple[requests.Helper, ...],
    ) -> attempt_race.Result:
        left_s = active.left_s(self._clock())
        customer = active.routed.customer
        attempt_headers = platform_headers.AttemptHeaders(
            left_ms=max(int(left_s * 1_000), 1),
            runner_id=plan.entry.runner_id,
            customer=customer.name if customer is not None else None,
            last_event_id=attempt.events.last_event_id,
            helpers=helpers,
            priority=plan.priority,
        )
        attempt.record_progress(self._clock())
        opened = await self._sender.open(
            plan.entry,
            active.outgoing,
            attempt_headers,
            left_s,
            on_new_connection=retry_limits.needs_new_connection(
                active, plan.entry.runner_id
            ),
            on_send=attempt.record_send,
            may_send=lambda: self._may_send(plan),
            connect_timeout_s=connect_timeouts.connect_timeout_s(
                active.routed.route.objective_ms,
                self._planner.candidates.delay_ms(active.routed.service, plan.entry),
            ),
            # A runner that still reads the request is not silent.
            on_part_taken=lambda: attempt.record_progress(self._clock()),
        )
        match opened:
            case Err(end):
                is_withheld = end.reason is attempt_ends.EndReason.WITHHELD
                is_evacuated = is_withheld and self._is_evacuated(plan)
                return self._evacuated(plan) if is_evacuated else end
            case Ok(reader):
                attempt.answer = reader
                attempt.record_progress(self._clock())
                if active.routed.route.kind is configurations.RouteKind.STREAM:
                    return await self._streams.forward(active, attempt, reader)
                return await self._forward_whole(active, attempt, reader)

    def _may_send(self, plan: plans.Plan) -> bool:
        """Return whether the first byte may be sent now; count it if so."""
        if self._is_evacuated(plan):
            return False
        return self._planner.candidates.may_send(plan.entry)

    def _is_evacuated(self, plan: plans.Plan) -> bool:
        return any(map(self._planner.candidates.is_evacuated, plan.entries))

    def _evacuated(self, plan: plans.Plan) -> attempt_ends.AttemptEnd:
        """Return the end of an attempt, with the helper that is evacuated."""
        is_evacuated = self._planner.candidates.is_evacuated
        if is_evacuated(plan.entry):
            return attempt_ends.evacuated()
        helper = next(filter(is_evacuated, plan.helpers), None)
        return attempt_ends.evacuated(helper.address if helper is not None else None)

    async def _forward_whole(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        reader: http_client.ResponseReader,
    ) -> attempt_race.Result:
        with contextlib.closing(self._answers.hold()) as held:
            left_s = active.left_s(self._clock())
            body = await attempts.read_whole(reader, left_s, held)
            if isinstance(body, Err):
                return body.err_value
            if not active.pass_on(attempt):
                return attempt_ends.superseded()
            answer = http_messages.HttpResponse(
                reader.status, reader.headers, body.ok_value
            )
            await active.responder.send(answer)
        return outcomes.Outcome.ANSWERED
