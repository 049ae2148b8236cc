"""The priority that engines queue a request with."""

from lacewingdrum_gateway.serving import plans

PRIORITY_MAX = 9
PRIORITY_STEP = 3
URGENT_OBJECTIVE_MS = 500.0
MIDDLE_OBJECTIVE_MS = 2_000.0


def of_request(routed: plans.RoutedRequest) -> int:
    """Return the priority for the engine; 0 is the most urgent."""
    objective_ms, objective_rank = routed.objective_ms, 2
    if objective_ms <= URGENT_OBJECTIVE_MS:
        objective_rank = 0
    elif objective_ms <= MIDDLE_OBJECTIVE_MS:
        objective_rank = 1
    return min(routed.rank * PRIORITY_STEP + objective_rank, PRIORITY_MAX)
