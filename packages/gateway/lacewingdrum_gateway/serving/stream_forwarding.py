"""Forwards the events of a runner's answer to the caller."""

import dataclasses
from collections.abc import Callable

from result import Err

from lacewingdrum_gateway.crashes import crash_watch
from lacewingdrum_gateway.runners import engine_memory, work_sync
from lacewingdrum_gateway.serving import (
    active_request,
    answer_memory,
    attempt,
    attempt_ends,
    plans,
    routing,
    silence_limits,
    stream_runs,
)
from lacewingdrum_state import ids, states
from lacewingdrum_transport import http_client, http_messages

# The slowdown of an engine is taken from the shortest of this many pauses.
SLOWDOWN_PAUSES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSource:
    """A stream that a runner sends to this daemon's own attempt."""

    plan: plans.Plan
    work_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSource:
    """A stream that another daemon forwards for this one."""

    address: ids.VmId


Source = RunnerSource | PeerSource


class StreamForwarder:
    """Forwards complete events, and finds out whether a stream is complete."""

    def __init__(
        self,
        sender: attempt.AttemptSender,
        planner: routing.Planner,
        silence: silence_limits.SilenceLimits,
        memory: engine_memory.EngineMemory,
        answers: answer_memory.AnswerMemory,
        crashes: crash_watch.CrashWatch,
        work_updates: work_sync.WorkSync,
        clock: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._silence = silence
        self._memory = memory
        self._answers = answers
        self._crashes = crashes
        self._work_updates = work_updates
        self._clock = clock

    async def forward(
        self,
        active: active_request.ActiveRequest,
        source: Source,
        reader: http_client.ResponseReader,
    ) -> attempt_ends.AttemptEnd | None:
        """Forward complete events until the stream ends or fails.

        Returns:
            None if the stream ended without an error, else the end of the
            attempt.
        """
        failure = stream_runs.head_failure(reader, active.responder.started)
        if failure is not None:
            await reader.close()
            return failure
        events = active.events = active.events.next_run()
        has_events = False
        held = self._answers.hold()
        # Only whole events count as progress, so that a stream which sends
        # single bytes of one is not waited for without end.
        progress_s = self._clock()
        try:
            while True:
                silence_s = self._silence_s(active, source, has_events)
                now_s = self._clock()
                timeout_s = min(active.left_s(now_s), progress_s + silence_s - now_s)
                part = await reader.read(max(timeout_s, 0.0))
                if isinstance(part, Err):
                    return attempt_ends.body_failure(part.err_value)
                self._record_contact(source)
                if not part.ok_value:
                    return await self._end_stream(active, reader)
                data = events.feed(part.ok_value)
                self._count_events(active, source, events.run_event_count)
                if data and not has_events:
                    has_events = True
                    self._record_first_event(source)
                if data:
                    progress_s = self._clock()
                    self._record_event_time(active, source)
                if data and not await self._write_events(active, reader, data):
                    return _CALLER_DISCONNECTED
                if events.fault is not None:
                    return stream_runs.event_failure(events)
                if not held.resize(events.partial_bytes):
                    return _TOO_LARGE
        finally:
            held.close()
            await reader.close()

    def _silence_s(
        self, active: active_request.ActiveRequest, source: Source, has_events: bool
    ) -> float:
        """Return how long the source may be silent; a peer ends by itself."""
        match source:
            case RunnerSource(plan) if has_events:
                return self._silence.pause_s(active, plan)
            case RunnerSource(plan):
                return self._silence.first_event_s(active, plan)
            case PeerSource():
                return float("inf")

    def _record_contact(self, source: Source) -> None:
        if isinstance(source, RunnerSource):
            self._sender.record_contact(source.plan.entry)

    def _record_first_event(self, source: Source) -> None:
        if isinstance(source, RunnerSource):
            self._work_updates.record_first_event(source.work_id)
            self._memory.record_use(source.work_id)

    def _count_events(
        self, active: active_request.ActiveRequest, source: Source, count: int
    ) -> None:
        had_begun = active.attempt_event_count >= crash_watch.SOUND_EVENTS
        active.attempt_event_count = count
        has_begun = not had_begun and count >= crash_watch.SOUND_EVENTS
        if has_begun and isinstance(source, RunnerSource):
            self._crashes.record_begun(active)

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
    ) -> attempt_ends.AttemptEnd | None:
        """End the caller's answer, unless the stream was broken off."""
        responder = active.responder
        events = active.events
        failure = stream_runs.end_failure(events, reader, responder.started)
        if failure is not None:
            return failure
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
        self, active: active_request.ActiveRequest, source: Source
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
        if not isinstance(source, RunnerSource):
            return
        plan = source.plan
        if plan.work and active.pause_count >= SLOWDOWN_PAUSES:
            pass_ms = self._planner.stated_pass_ms(active.routed, plan)
            slowdown = active.shortest_pause_s * 1_000 / pass_ms
            self._work_updates.record_slowdown(plan.entry.runner_id, slowdown)
            active.pause_count, active.shortest_pause_s = 0, float("inf")


_CALLER_DISCONNECTED = attempt_ends.AttemptEnd(
    states.AttemptState.UNKNOWN, attempt_ends.EndReason.LOST, "the caller has gone"
)
_TOO_LARGE = attempt_ends.AttemptEnd(
    states.AttemptState.UNKNOWN,
    attempt_ends.EndReason.TOO_LARGE,
    "an event without end",
)
