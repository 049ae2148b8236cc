"""Estimates the worth of model requests, which no configuration states.

The worth of a route's requests follows from the prefill time of the route's
usual prompt. Within a route, the worth grows with the size of the prompt, up
to a bound.
"""

from lacewingdrum_coordination import engine_times
from lacewingdrum_state import configurations

BASE_WORTH = 1.2
WORTH_PER_PREFILL_MS = 0.0073
SIZE_FACTOR_BASE = 0.3
SIZE_FACTOR_SLOPE = 0.7
SIZE_FACTOR_MAX = 4.0
SMOOTHING = 0.05
# The weight of a route's n-th request in the mean is this number divided by
# n + 1, but at least SMOOTHING.
INITIAL_SMOOTHING_NUMERATOR = 0.5
OUTLIER_FACTOR = 2.0


class RequestWorth:
    """Learns the usual prompt length of each route from its requests."""

    def __init__(self) -> None:
        self._mean_tokens: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(
        self,
        model: configurations.EnginePerformanceModel,
        route: str,
        objective_ms: float,
        prompt_tokens: int,
    ) -> None:
        """Learn the usual prompt length of a route from a request.

        Args:
            model: the engine parameters that the operators state.
            route: the name of the request's route.
            objective_ms: the route's objective for the time to the first
                event, which one engine can usually meet.
            prompt_tokens: the length of the request's prompt.
        """
        count = self._counts.get(route, 0) + 1
        self._counts[route] = count
        weight = max(INITIAL_SMOOTHING_NUMERATOR / (count + 1), SMOOTHING)
        mean = self._mean_tokens.get(route)
        if mean is None:
            # The first prompt may be unusually long.
            mean = min(
                prompt_tokens, engine_times.prefill_tokens_within(model, objective_ms)
            )
        capped_tokens = min(prompt_tokens, OUTLIER_FACTOR * mean)
        self._mean_tokens[route] = mean + weight * (capped_tokens - mean)

    def estimate(
        self,
        model: configurations.EnginePerformanceModel,
        route: str,
        prompt_tokens: int,
    ) -> float:
        """Return the worth of a request with this prompt length on a route."""
        mean = max(self._mean_tokens.get(route, float(prompt_tokens)), 1.0)
        usual_worth = BASE_WORTH + WORTH_PER_PREFILL_MS * engine_times.prefill_ms(
            model, int(mean), 1
        )
        size_factor = SIZE_FACTOR_BASE + SIZE_FACTOR_SLOPE * prompt_tokens / mean
        return usual_worth * min(size_factor, SIZE_FACTOR_MAX)
