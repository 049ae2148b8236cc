"""Forwards the events of a runner's answer to the caller."""

from collections.abc import Callable

from result import Err

from lacewingdrum_gateway.crashes import crash_watch
from lacewingdrum_gateway.runners import engine_memory, work_sync
from lacewingdrum_gateway.serving import (
    active_request,
    answer_memory,
    attempt as attempts,
    attempt_ends,
    attempt_race,
    open_attempt,
    outcomes,
    routing,
    stream_runs,
)
from lacewingdrum_protocol import event_stream
from lacewingdrum_state import states
from lacewingdrum_transport import http_client, http_messages

# The slowdown of an engine is taken from the shortest of this many pauses.
SLOWDOWN_PAUSES = 5
# A stream is searched for events in pieces of this size.
FED_BYTES = 512


class StreamForwarder:
    """Forwards complete events, and finds out whether a stream is complete."""

    def __init__(
        self,
        sender: attempts.AttemptSender,
        planner: routing.Planner,
        memory: engine_memory.EngineMemory,
        answers: answer_memory.AnswerMemory,
        crashes: crash_watch.CrashWatch,
        work_updates: work_sync.WorkSync,
        clock: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._planner = planner
        self._memory = memory
        self._answers = answers
        self._crashes = crashes
        self._work_updates = work_updates
        self._clock = clock

    async def forward(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        reader: http_client.ResponseReader,
    ) -> attempt_race.Result:
        """Forward complete events until the stream ends or fails.

        Returns:
            ``ANSWERED`` if the stream ended without an error, else the end of
            the attempt.
        """
        failure = stream_runs.head_failure(reader, active.responder.started)
        if failure is not None:
            await reader.close()
            return failure
        events = attempt.events
        held = self._answers.hold()
        try:
            while True:
                part = await reader.read(max(active.left_s(self._clock()), 0.0))
                if isinstance(part, Err):
                    return attempt_ends.body_failure(part.err_value)
                self._record_contact(attempt)
                if not part.ok_value:
                    return await self._end_stream(active, attempt, reader)
                count_before = events.run_event_count
                data = await _feed(events, reader, part.ok_value)
                if data:
                    end = await self._forward_events(
                        active, attempt, reader, data, count_before
                    )
                    if end is not None:
                        return end
                failure = stream_runs.event_failure(events)
                if failure is not None:
                    return failure
                if not held.resize(events.partial_bytes):
                    return _TOO_LARGE
        finally:
            held.close()
            await reader.close()

    async def _forward_events(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        reader: http_client.ResponseReader,
        data: bytes,
        count_before: int,
    ) -> attempt_ends.AttemptEnd | None:
        """Forward complete events; return the end of the attempt, if any."""
        is_resumed = attempt.is_silent
        if not active.pass_on(attempt):
            return attempt_ends.superseded()
        if is_resumed:
            self._record_resumed(attempt)
        self._record_events(active, attempt, count_before)
        # The runner is not silent while the caller is slow to read.
        attempt.progress_s = open_attempt.NOT_AWAITED_S
        is_written = await self._write_events(active, reader, data)
        attempt.record_progress(self._clock())
        return None if is_written else _CALLER_DISCONNECTED

    def _record_events(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        count_before: int,
    ) -> None:
        self._record_event_time(active, attempt)
        if not isinstance(attempt.source, open_attempt.RunnerSource):
            return
        if not count_before:
            self._work_updates.record_first_event(attempt.source.work_id)
            self._memory.record_use(attempt.source.work_id)
        if count_before < crash_watch.SOUND_EVENTS <= attempt.events.run_event_count:
            self._crashes.record_begun(active)

    def _record_contact(self, attempt: open_attempt.OpenAttempt) -> None:
        if isinstance(attempt.source, open_attempt.RunnerSource):
            self._sender.record_contact(attempt.source.plan.entry)

    def _record_resumed(self, attempt: open_attempt.OpenAttempt) -> None:
        if isinstance(attempt.source, open_attempt.RunnerSource):
            self._sender.record_resumed(attempt.source.plan.entry)

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
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        reader: http_client.ResponseReader,
    ) -> attempt_race.Result:
        """End the caller's answer, unless the stream was broken off."""
        responder = active.responder
        events = attempt.events
        failure = stream_runs.end_failure(events, reader, responder.started)
        if failure is not None:
            return failure
        if not active.pass_on(attempt):
            return attempt_ends.superseded()
        rest = events.partial_event
        if rest and not await self._write_events(active, reader, rest):
            return _CALLER_DISCONNECTED
        if not responder.started:
            await responder.send(
                http_messages.HttpResponse(reader.status, reader.headers)
            )
            return outcomes.Outcome.ANSWERED
        if not await responder.finish():
            return _CALLER_DISCONNECTED
        return outcomes.Outcome.ANSWERED

    def _record_event_time(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> None:
        now_s = self._clock()
        if active.first_event_s is None:
            active.first_event_s = now_s
        else:
            pause_s = now_s - active.last_event_s
            active.longest_pause_s = max(active.longest_pause_s, pause_s)
            attempt.shortest_pause_s = min(attempt.shortest_pause_s, pause_s)
            attempt.pause_count += 1
        active.last_event_s = now_s
        if not isinstance(attempt.source, open_attempt.RunnerSource):
            return
        plan = attempt.source.plan
        if plan.work and attempt.pause_count >= SLOWDOWN_PAUSES:
            pass_ms = self._planner.stated_pass_ms(active.routed, plan)
            slowdown = attempt.shortest_pause_s * 1_000 / pass_ms
            self._work_updates.record_slowdown(plan.entry.runner_id, slowdown)
            attempt.pause_count, attempt.shortest_pause_s = 0, float("inf")


async def _feed(
    events: event_stream.EventStream, reader: http_client.ResponseReader, part: bytes
) -> bytes:
    """Return the events that are complete, after turns of the event loop."""
    complete: list[bytes] = []
    for start in range(0, len(part), FED_BYTES):
        piece = part[start : start + FED_BYTES]
        complete.append(events.feed(piece))
        event_count = 1 + event_stream.count_blocks(piece)
        if events.partial_bytes > event_stream.CHECKED_PART_BYTES:
            # The lines of a large event are checked one by one.
            event_count += event_stream.count_lines(piece)
        await reader.count_events(event_count)
    return b"".join(complete)


_CALLER_DISCONNECTED = attempt_ends.AttemptEnd(
    states.AttemptState.UNKNOWN, attempt_ends.EndReason.LOST, "the caller has gone"
)
_TOO_LARGE = attempt_ends.AttemptEnd(
    states.AttemptState.UNKNOWN,
    attempt_ends.EndReason.TOO_LARGE,
    "an event without end",
)
