"""Decides how long a runner may be silent before another one is asked too."""

from lacewingdrum_coordination import late_events
from lacewingdrum_gateway.serving import active_request, open_attempt, plans, routing
from lacewingdrum_state import configurations

# Another attempt is made after this silence of a runner if the request may be
# retried at another one.
SILENCE_MIN_S = 0.8
# These are multiples of the route's objective; PAUSE_SILENCE_RATIO is one of
# its objective for pauses.
FIRST_EVENT_SILENCE_RATIO = 2.0
PAUSE_SILENCE_RATIO = 4.0
SERVICE_SILENCE_RATIO = 1.5
SERVICE_SILENCE_MIN_S = 0.35


class SilenceLimits:
    """Limits of silence.

    They are infinite for a request that cannot be retried elsewhere.
    """

    def __init__(self, planner: routing.Planner) -> None:
        self._planner = planner

    def limit_s(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> float:
        """Return how long the source of an attempt may be silent by now."""
        match attempt.source:
            case open_attempt.PeerSource():
                # The peer looks after its own attempts.
                return float("inf")
            case open_attempt.RunnerSource(plan):
                if not _can_retry_elsewhere(active):
                    return float("inf")
                if attempt.events.run_event_count:
                    return self._pause_s(active, plan)
                return _first_event_s(active, attempt, plan)

    def resume_window(
        self, active: active_request.ActiveRequest, attempt: open_attempt.OpenAttempt
    ) -> late_events.ResumeWindow | None:
        """Return when another engine is to go on with an attempt's stream.

        Returns:
            The window, or None if no other engine may do so in time.
        """
        routed = active.routed
        engine, pause_ms = routed.service.engine, routed.route.pause_objective_ms
        if engine is None or not pause_ms or not attempt.is_at_runner():
            return None
        if not _can_retry_elsewhere(active):
            return None
        prompt_tokens = routed.caller_headers.prompt_tokens
        return late_events.resume_window(engine, prompt_tokens, pause_ms)

    def expected_pause_ms(
        self,
        active: active_request.ActiveRequest,
        attempt: open_attempt.OpenAttempt,
        plan: plans.Plan,
    ) -> float:
        """Return the pause between events that is usual at an engine now.

        Its work and its recent events explain it.
        """
        expected_ms = self._planner.expected_pause_ms(active.routed, plan)
        if not attempt.pause_count:
            return expected_ms
        return max(expected_ms, attempt.shortest_pause_s * 1_000)

    def _pause_s(self, active: active_request.ActiveRequest, plan: plans.Plan) -> float:
        """Return how long a runner may be silent between two events."""
        pause_s = active.routed.route.pause_objective_ms / 1_000
        silence_s = max(PAUSE_SILENCE_RATIO * pause_s, SILENCE_MIN_S)
        return silence_s + self._planner.prefill_backlog_s(plan)


def _first_event_s(
    active: active_request.ActiveRequest,
    attempt: open_attempt.OpenAttempt,
    plan: plans.Plan,
) -> float:
    """Return how long a runner may be silent before its first event."""
    route = active.routed.route
    objective_s = route.objective_ms / 1_000
    if route.kind is configurations.RouteKind.STREAM:
        silence_s = max(FIRST_EVENT_SILENCE_RATIO * objective_s, SILENCE_MIN_S)
        return silence_s + plan.first_event_ms / 1_000
    if attempt.answer is not None:
        return float("inf")
    return max(SERVICE_SILENCE_RATIO * objective_s, SERVICE_SILENCE_MIN_S)


def _can_retry_elsewhere(active: active_request.ActiveRequest) -> bool:
    """Return whether the request may be retried at another runner."""
    route = active.routed.route
    # The runner of an attempt whose next event is late counts once.
    used = active.sent_to | active.awaited_runners()
    used_count = len(used) + active.earlier_runner_count
    is_repeatable = route.is_retryable and active.events.is_resumable
    return is_repeatable and used_count < route.max_attempts
