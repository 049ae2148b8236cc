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

BEST_LOGGED_ESTIMATES = 4

_Projection = runner_projections.RunnerProjection


def filter_candidates(
    considered: list[_Projection],
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
    needed_tokens = request.total_tokens
    min_left_tokens = 0 if priority == priorities.SHORT else headroom_tokens
    large_enough = [
        projection
        for projection in considered
        if projection.kv_capacity_tokens >= needed_tokens
    ]
    recently_reported = [
        projection for projection in large_enough if projection.has_recent_report(now_s)
    ] or large_enough
    with_free_tokens = [
        (projection, projection.free_tokens() - needed_tokens)
        for projection in recently_reported
    ]
    with_headroom = [
        projection
        for projection, left_tokens in with_free_tokens
        if left_tokens >= min_left_tokens
    ]
    if with_headroom:
        return with_headroom
    return [
        projection for projection, left_tokens in with_free_tokens if left_tokens >= 0
    ] or recently_reported


def candidate_times_s(
    candidates: list[_Projection],
    work: estimates.Work,
    cached: prefixes.Hits,
    now_s: float,
) -> list[tuple[float, float]]:
    """Returns: seconds to the first and last token on each candidate."""
    return [
        estimates.token_times_s(
            projection, work, cached.tokens(projection.runner.runner_id), now_s
        )
        for projection in candidates
    ]


def scores(
    candidates: list[_Projection],
    times_s: list[tuple[float, float]],
    policy: decisions.Policy,
    no_long_count: int,
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
    scores_s = [
        first_s + (policy.remote_cost_s if projection.link_delay_s else 0.0)
        for projection, (first_s, _) in zip(candidates, times_s, strict=True)
    ]
    if no_long_count:
        for position, projection in enumerate(candidates):
            if projection.rank < no_long_count:
                scores_s[position] += penalty_s
    return scores_s


def pick(
    times_s: list[tuple[float, float]],
    scores_s: list[float],
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
        for position, (_, complete_s) in enumerate(times_s)
        if complete_s <= usable_s
    ]
    if not in_time:
        return min(range(len(times_s)), key=lambda position: times_s[position][1])
    best = min([scores_s[position] for position in in_time])
    bound_s = best * policy.near_best_ratio + policy.near_best_s
    return rng.choice(
        [position for position in in_time if scores_s[position] <= bound_s]
    )


def logged_estimates(
    candidates: list[_Projection],
    times_s: list[tuple[float, float]],
    scores_s: list[float],
    chosen: int,
) -> tuple[estimates.Estimate, ...]:
    """Returns: the chosen runner's estimate and then those of the best."""
    best = sorted(range(len(scores_s)), key=scores_s.__getitem__)[
        :BEST_LOGGED_ESTIMATES
    ]
    positions = [chosen, *(position for position in best if position != chosen)]
    return tuple(
        estimates.Estimate(candidates[position].runner.runner_id, *times_s[position])
        for position in positions
    )
