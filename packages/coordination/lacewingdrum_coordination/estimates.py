"""Estimates when a runner produces a request's first and last token."""

import dataclasses

from lacewingdrum_coordination import priorities, runner_projections
from lacewingdrum_state import ids

MAX_UTILISATION = 0.9
# Only this ratio of the time that higher priorities take is assumed to delay a
# request.
HIGHER_PRIORITY_RATIO = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimated times of a request on one runner."""

    runner_id: ids.RunnerId
    first_token_s: float
    complete_s: float


@dataclasses.dataclass(slots=True)
class RequestWork:
    """Work that a request causes on a runner.

    ``rate_share`` is the share of a runner's prefill rate that newly arriving
    work of higher priorities leaves for the request. ``drain_share`` is the
    share that all newly arriving work leaves, and with which the
    lower-priority prompts that are already queued are prefilled.
    """

    priority: int
    prompt_tokens: int
    answer_tokens: int
    rate_share: float = 1.0
    drain_share: float = 1.0


def make_request_work(
    priority: int,
    prompt_tokens: int,
    answer_tokens: int,
    higher_priority_utilisation: float,
    utilisation: float,
) -> RequestWork:
    """Describe the work of a request.

    Args:
        priority: the priority of its queue.
        prompt_tokens: the prompt's length.
        answer_tokens: the answer's maximum length.
        higher_priority_utilisation: share of the runners' time that work of
            higher priorities takes.
        utilisation: share of their time that all work takes.

    Returns:
        The request's work.
    """
    higher_priority_share = min(
        MAX_UTILISATION, HIGHER_PRIORITY_RATIO * higher_priority_utilisation
    )
    drain_share = 1 - min(MAX_UTILISATION, utilisation)
    return RequestWork(
        priority, prompt_tokens, answer_tokens, 1 - higher_priority_share, drain_share
    )


def token_times_s(
    projection: runner_projections.RunnerProjection,
    work: RequestWork,
    cached_tokens: int,
    now_s: float,
) -> tuple[float, float]:
    """Estimate the times of a request's first and last token on one runner.

    The first token waits for work queued at the request's own priority or a
    higher one and for work that arrives at higher priorities meanwhile. If
    only lower priorities are queued, it waits for half a chunk instead. The
    link delay is added twice, for the request and for the answer. Each
    further token waits for a prefill chunk while the runner still has
    lower-priority prompts to prefill. After that it waits for a chunk in
    proportion to how often the runner is busy with prefill.

    Args:
        projection: the runner's projected queues.
        work: the request's work.
        cached_tokens: prompt tokens in the runner's prefix cache.
        now_s: current time.

    Returns:
        Seconds from now to the first and to the last token.
    """
    # This runs for each candidate of each decision. It names the three
    # queues instead of looping over them because that is faster.
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
