"""Notices attempts whose runners are silent, and runners that are dead."""

from collections.abc import Callable

from lacewingdrum_coordination import runner_health
from lacewingdrum_gateway.serving import (
    active_request,
    attempt as attempts,
    attempt_ends,
    attempt_log,
    open_attempt,
    plans,
    retry_limits,
    silence_limits,
)

# How often it is checked what has become of a silent runner.
CHECK_INTERVAL_S = 0.25
# An event counts as late only after a pause that shows the engine's speed.
EVENTS_BEFORE_LATE = 2


class SilenceWatch:
    """Marks attempts as silent, and ends those whose runner is unreachable.

    A silent attempt stays open, because its runner may go on.
    """

    def __init__(
        self,
        sender: attempts.AttemptSender,
        silence: silence_limits.SilenceLimits,
        health: runner_health.RunnerHealth,
        log: attempt_log.AttemptLog,
        clock: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._silence = silence
        self._health = health
        self._log = log
        self._clock = clock

    def update(self, active: active_request.ActiveRequest) -> None:
        """Look at the open attempts of a request."""
        for attempt in active.race.attempts:
            if attempt.is_silent:
                self._check(active, attempt)
            elif attempt.has_lost_path or self._until_silent_s(active, attempt) <= 0:
                self._record_silence(active, attempt)
            elif not attempt.is_late:
                self._check_next_event(active, attempt)

    def until_next_s(self, active: active_request.ActiveRequest) -> float:
        """Return the time until the attempts are to be looked at again."""
        return min(
            self._until_check_s(active, attempt) for attempt in active.race.attempts
        )

    def _until_check_s(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> float:
        if attempt.is_silent:
            return CHECK_INTERVAL_S
        # An attempt that is not sent yet, or whose caller reads slowly, may be
        # awaited right after this check.
        limit_s = self._silence.limit_s(active, attempt)
        until_s = min(self._until_silent_s(active, attempt), limit_s)
        if attempt.is_late:
            return min(until_s, CHECK_INTERVAL_S)
        return min(until_s, self._until_window_s(active, attempt))

    def _until_window_s(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> float:
        """Return the time until the next event of an attempt may be late.

        It is the whole time before the window if nothing has come yet, or if
        the window of the present pause has begun.
        """
        window = self._silence.resume_window(active, attempt)
        if window is None:
            return float("inf")
        from_s = window.from_ms / 1_000
        until_s = attempt.progress_s + from_s - self._clock()
        return until_s if 0 < until_s < from_s else from_s

    def _check_next_event(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> None:
        """Let another engine go on with a stream whose next event is late.

        Its own runner is not suspected, as a lost packet is the usual reason.
        """
        if attempt.events.run_event_count < EVENTS_BEFORE_LATE:
            return
        window = self._silence.resume_window(active, attempt)
        source = attempt.source
        if window is None or not isinstance(source, open_attempt.RunnerSource):
            return
        silent_ms = (self._clock() - attempt.progress_s) * 1_000
        expected_ms = self._silence.expected_pause_ms(active, attempt, source.plan)
        if window.is_due(silent_ms, expected_ms):
            attempt.is_late = True
            self._log.record_late_event(active, attempt, source.plan, expected_ms)
            retry_limits.apply_silence(active, source.plan, is_suspect=False)

    def _until_silent_s(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> float:
        limit_s = self._silence.limit_s(active, attempt)
        return attempt.progress_s + limit_s - self._clock()

    def _record_silence(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> None:
        attempt.is_silent = attempt.was_silent = True
        match attempt.source:
            case open_attempt.PeerSource():
                active.earlier_runner_count += 1
            case open_attempt.RunnerSource(plan):
                self._record_silent_runner(active, attempt, plan)

    def _record_silent_runner(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        plan: plans.Plan,
    ) -> None:
        runner_id = plan.entry.runner_id
        self._sender.record_silence(plan.entry, attempt.started_s, attempt.progress_s)
        self._sender.close_idle_connections(plan.entry)
        self._log.record_silence(active, attempt, plan)
        retry_limits.apply_silence(active, plan, self._health.is_suspect(runner_id))

    def _check(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> None:
        """End an attempt whose runner accepts no new connection either.

        One that has begun to answer stays open: another attempt takes over in
        any case, and without one there is nothing better to wait for. Where
        no answer has begun, the caller can still return in time.
        """
        if not isinstance(attempt.source, open_attempt.RunnerSource):
            return
        entry = attempt.source.plan.entry
        self._sender.record_silence(entry, attempt.started_s, attempt.progress_s)
        if self._health.is_suspect(entry.runner_id):
            retry_limits.record_suspect(active, attempt.source.plan)
        has_begun = active.responder.started
        if not has_begun and self._sender.is_unreachable(entry):
            active.race.end(attempt, attempt_ends.unreachable())
