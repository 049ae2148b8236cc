"""Filters and scores candidate runners, and picks one of them.

The daemon ``lacewingdrumd`` uses this module, through ``routing``.
"""

import random

from lacewingdrum_coordination import (
    decisions,
    estimates,
    prefixes,
    priorities,
    runner_projections,
)
from lacewingdrum_state import requests

# Number of the best candidates whose estimates are logged.
BEST_LOGGED_ESTIMATES = 4

_Projection = runner_projections.RunnerProjection


def filter_candidates(
    considered: list[_Projection],
    request: requests.Request,
    priority: int,
    headroom_tokens: int,
    now_s: float,
) -> list[_Projection]:
    """Leave out runners without memory or without a recent load report.

    A filter that no runner passes is skipped, except for the capacity.

    Args:
        considered: runners that the decision considers.
        request: the request.
        priority: its priority; short requests may use the headroom.
        headroom_tokens: memory that other requests leave free for short
            ones.
        now_s: current time.

    Returns:
        Runners with enough capacity that pass as many filters as possible.
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
    work: estimates.RequestWork,
    cached: prefixes.Hits,
    now_s: float,
) -> list[tuple[float, float]]:
    """Estimate the seconds to the first and last token on each candidate."""
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
    without_long_count: int,
    penalty_s: float,
) -> list[float]:
    """Compute the candidates' scores from their estimated times.

    Args:
        candidates: the runners.
        times_s: seconds to the first and last token on each of them.
        policy: constants of the decision.
        without_long_count: number of runners that take no long prompts; 0 to
            apply no penalty.
        penalty_s: added to the scores of these runners.

    Returns:
        A score in seconds for each candidate; the lowest is the best.
    """
    scores_s = [
        first_s + (policy.remote_cost_s if projection.link_delay_s else 0.0)
        for projection, (first_s, _) in zip(candidates, times_s, strict=True)
    ]
    if without_long_count:
        for position, projection in enumerate(candidates):
            if projection.rank < without_long_count:
                scores_s[position] += penalty_s
    return scores_s


def pick(
    times_s: list[tuple[float, float]],
    scores_s: list[float],
    usable_s: float,
    policy: decisions.Policy,
    rng: random.Random,
) -> int:
    """Choose at random among the near-best candidates that finish in time.

    Args:
        times_s: seconds to the first and last token on each candidate.
        scores_s: their scores.
        usable_s: time within which the request should complete.
        policy: defines which scores count as near-best.
        rng: random source of the choice.

    Returns:
        Position of the chosen candidate. If all candidates are late, this is
        the one that completes first.
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
    """Return the chosen runner's estimate, then those of the best ones."""
    best = sorted(range(len(scores_s)), key=scores_s.__getitem__)[
        :BEST_LOGGED_ESTIMATES
    ]
    positions = [chosen, *(position for position in best if position != chosen)]
    return tuple(
        estimates.Estimate(candidates[position].runner.runner_id, *times_s[position])
        for position in positions
    )
