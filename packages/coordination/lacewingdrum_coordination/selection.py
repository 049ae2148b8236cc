"""Picks among the runners that a decision looks at."""

import random

from lacewingdrum_coordination import (
    decisions,
    estimates,
    prefixes,
    priorities,
    runner_projections,
)
from lacewingdrum_state import requests

SHOWN_ESTIMATES = 4

_Projection = runner_projections.RunnerProjection


def usable(
    seen: list[_Projection],
    request: requests.Request,
    priority: int,
    headroom_tokens: int,
    now_s: float,
) -> list[_Projection]:
    """Leave out runners without memory or without a fresh report.

    Args:
        seen: the runners looked at.
        request: the request.
        priority: its priority; short ones may use the headroom.
        headroom_tokens: memory left free for short requests.
        now_s: the present.

    Returns:
        The best that there is of runners whose capacity holds the request.
    """
    needed = request.total_tokens
    spare = 0 if priority == priorities.SHORT else headroom_tokens
    fitting = [
        projection for projection in seen if projection.kv_capacity_tokens >= needed
    ]
    heard = [
        projection for projection in fitting if projection.has_recent_report(now_s)
    ] or fitting
    free = [(projection, projection.free_tokens() - needed) for projection in heard]
    roomy = [projection for projection, left in free if left >= spare]
    if roomy:
        return roomy
    return [projection for projection, left in free if left >= 0] or heard


def times(
    candidates: list[_Projection],
    work: estimates.Work,
    cached: prefixes.Hits,
    now_s: float,
) -> list[tuple[float, float]]:
    """Returns: seconds to the first and last token on each candidate."""
    return [
        estimates.times_s(
            projection, work, cached.tokens(projection.runner.runner_id), now_s
        )
        for projection in candidates
    ]


def scores(
    candidates: list[_Projection],
    found: list[tuple[float, float]],
    policy: decisions.Policy,
    kept_free: int,
    penalty_s: float,
) -> list[float]:
    """Weigh the estimates.

    Args:
        candidates: the runners.
        found: their times.
        policy: the constants.
        kept_free: runners kept free of long prompts; 0 if it is no matter.
        penalty_s: what a mid prompt pays to go to one of them.

    Returns:
        A score for each candidate, in seconds; the least is the best.
    """
    made = [
        first_s + (policy.remote_cost_s if projection.link_delay_s else 0.0)
        for projection, (first_s, _) in zip(candidates, found, strict=True)
    ]
    if kept_free:
        for position, projection in enumerate(candidates):
            if projection.rank < kept_free:
                made[position] += penalty_s
    return made


def pick(
    found: list[tuple[float, float]],
    scored: list[float],
    usable_s: float,
    policy: decisions.Policy,
    rng: random.Random,
) -> int:
    """Draw among the near-best of those that finish in the time left.

    Args:
        found: times of the candidates.
        scored: their scores.
        usable_s: the time left.
        policy: how near the best is near.
        rng: makes the choice.

    Returns:
        The position of the candidate; the first to finish if all are late.
    """
    in_time = [
        position
        for position, (_, complete_s) in enumerate(found)
        if complete_s <= usable_s
    ]
    if not in_time:
        return min(range(len(found)), key=lambda position: found[position][1])
    best = min([scored[position] for position in in_time])
    bound_s = best * policy.near_best_ratio + policy.near_best_s
    return rng.choice([position for position in in_time if scored[position] <= bound_s])


def shown(
    candidates: list[_Projection],
    found: list[tuple[float, float]],
    scored: list[float],
    chosen: int,
) -> tuple[estimates.Estimate, ...]:
    """Returns: the chosen runner's estimate and then those of the best."""
    best = sorted(range(len(scored)), key=scored.__getitem__)[:SHOWN_ESTIMATES]
    positions = [chosen, *(position for position in best if position != chosen)]
    return tuple(
        estimates.Estimate(candidates[position].runner.runner_id, *found[position])
        for position in positions
    )
