"""The estimate of when a runner gives a request's first and last token."""

import dataclasses

from lacewingdrum_coordination import priorities, runner_projections
from lacewingdrum_state import ids

MAX_UTILISATION = 0.9
HIGHER_PRIORITY_RATIO = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a runner is thought to need for a request."""

    runner_id: ids.RunnerId
    first_token_s: float
    complete_s: float


@dataclasses.dataclass(slots=True)
class Work:
    """What a request asks of a runner.

    ``rate_share`` is the share of a runner's time left beside work of
    earlier priorities, and ``drain_share`` the share that drains a backlog
    while work keeps arriving.
    """

    priority: int
    prompt_tokens: int
    answer_tokens: int
    rate_share: float = 1.0
    drain_share: float = 1.0


def make_work(
    priority: int,
    prompt_tokens: int,
    answer_tokens: int,
    higher_priority_utilisation: float,
    utilisation: float,
) -> Work:
    """Sum up a request.

    Args:
        priority: the priority it would queue at.
        prompt_tokens: the prompt's length.
        answer_tokens: the answer's largest length.
        urgent_utilisation: share of the runners' time that work of earlier
            priorities takes.
        utilisation: share of their time that all work takes.

    Returns:
        The request's work.
    """
    higher_priority_share = min(
        MAX_UTILISATION, HIGHER_PRIORITY_RATIO * higher_priority_utilisation
    )
    drain_share = 1 - min(MAX_UTILISATION, utilisation)
    return Work(
        priority, prompt_tokens, answer_tokens, 1 - higher_priority_share, drain_share
    )


def token_times_s(
    projection: runner_projections.RunnerProjection,
    work: Work,
    cached_tokens: int,
    now_s: float,
) -> tuple[float, float]:
    """Estimate a request on one runner.

    The first token waits for the work queued at the request's own priority
    or before it, for what arrives at earlier priorities meanwhile, and for
    half a chunk of whatever else runs. Each further token waits for a chunk
    as long as the runner has any prompt to prefill.

    Args:
        known: the runner.
        work: the request.
        cached_tokens: of its prompt, those in the runner's prefix cache.
        now_s: the present.

    Returns:
        Seconds from now to the first and to the last token.
    """
    # This runs for each candidate of each decision, so it spells out the
    # three queues instead of going through them.
    short, mid, long = projection.queued_tokens(now_s)
    if work.priority == priorities.SHORT:
        tokens_ahead, tokens_behind = short, mid + long
    elif work.priority == priorities.MID:
        tokens_ahead, tokens_behind = short + mid, long
    else:
        tokens_ahead, tokens_behind = short + mid + long, 0.0
    uncached_tokens = work.prompt_tokens - cached_tokens
    prefill_rate = projection.prefill_tokens_per_s
    first_s = (tokens_ahead + uncached_tokens) / (prefill_rate * work.rate_share)
    if tokens_behind and not tokens_ahead:
        first_s += projection.chunk_s / 2
    first_s += 2 * projection.link_delay_s
    backlog_s = tokens_behind / (prefill_rate * work.drain_share)
    busy_token_s = projection.token_s + projection.chunk_s
    decode_beside_prefill_s = work.answer_tokens * busy_token_s
    if decode_beside_prefill_s <= backlog_s:
        return first_s, first_s + decode_beside_prefill_s
    remaining_tokens = work.answer_tokens - backlog_s / busy_token_s
    token_s = projection.token_s + projection.busy_ratio * projection.chunk_s
    return first_s, first_s + backlog_s + remaining_tokens * token_s
