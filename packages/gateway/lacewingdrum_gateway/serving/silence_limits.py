"""Decides how long a runner may stay silent before its attempt is given up."""

from lacewingdrum_gateway.serving import active_request, plans, routing
from lacewingdrum_state import configurations

# An attempt is abandoned after this silence of its runner if the request may
# be retried at another one.
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

    def first_event_s(
        self, active: active_request.ActiveRequest, plan: plans.Plan
    ) -> float:
        """Return how long a runner may stay silent before its first event."""
        if not _can_retry_elsewhere(active):
            return float("inf")
        route = active.routed.route
        objective_s = route.objective_ms / 1_000
        if route.kind is not configurations.RouteKind.STREAM:
            return max(SERVICE_SILENCE_RATIO * objective_s, SERVICE_SILENCE_MIN_S)
        silence_s = max(FIRST_EVENT_SILENCE_RATIO * objective_s, SILENCE_MIN_S)
        return silence_s + plan.first_event_ms / 1_000

    def pause_s(self, active: active_request.ActiveRequest, plan: plans.Plan) -> float:
        """Return how long a runner may stay silent between two events."""
        if not _can_retry_elsewhere(active):
            return float("inf")
        pause_s = active.routed.route.pause_objective_ms / 1_000
        silence_s = max(PAUSE_SILENCE_RATIO * pause_s, SILENCE_MIN_S)
        return silence_s + self._planner.prefill_backlog_s(plan)


def _can_retry_elsewhere(active: active_request.ActiveRequest) -> bool:
    """Return whether the request may be retried at another runner."""
    route = active.routed.route
    sent_count = len(active.sent_to) + active.earlier_runner_count
    is_repeatable = route.is_retryable and active.events.is_resumable
    return is_repeatable and sent_count + 1 < route.max_attempts
