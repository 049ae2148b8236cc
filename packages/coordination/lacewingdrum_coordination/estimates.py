"""The estimate of when a runner gives a request's first and last token."""

import dataclasses

from lacewingdrum_coordination import runner_estimates
from lacewingdrum_state import ids

MAX_UTILISATION = 0.9
URGENT_RATIO = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a runner is thought to need for a request."""

    runner_id: ids.RunnerId
    first_token_s: float
    complete_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of a runner.

    ``urgent_utilisation`` is the share of a runner's time that work of
    earlier priorities takes, and ``utilisation`` that of all work.
    """

    priority: int
    prompt_tokens: int
    answer_tokens: int
    urgent_utilisation: float = 0.0
    utilisation: float = 0.0


def estimate(
    known: runner_estimates.RunnerEstimate,
    work: Work,
    cached_tokens: int,
    now_s: float,
) -> Estimate:
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
    queued = known.queued_tokens(now_s)
    ahead_tokens = sum(queued[: work.priority + 1])
    behind_tokens = sum(queued) - ahead_tokens
    own_tokens = max(1, work.prompt_tokens - cached_tokens)
    rate = known.prefill_tokens_per_s
    urgent = min(MAX_UTILISATION, URGENT_RATIO * work.urgent_utilisation)
    first_token_s = (ahead_tokens + own_tokens) / (rate * (1 - urgent))
    if behind_tokens and not ahead_tokens:
        first_token_s += known.chunk_s / 2
    first_token_s += 2 * known.link_delay_s
    backlog_s = behind_tokens / (rate * (1 - min(MAX_UTILISATION, work.utilisation)))
    decode_s = _decode_s(known, work.answer_tokens, backlog_s)
    return Estimate(known.runner.runner_id, first_token_s, first_token_s + decode_s)


def _decode_s(
    known: runner_estimates.RunnerEstimate,
    answer_tokens: int,
    backlog_s: float,
) -> float:
    """Returns: time of an answer's tokens beside and after a backlog."""
    busy_token_s = known.token_s + known.chunk_s
    beside_s = answer_tokens * busy_token_s
    if beside_s <= backlog_s:
        return beside_s
    left = answer_tokens - backlog_s / busy_token_s
    return backlog_s + left * (known.token_s + known.busy_ratio * known.chunk_s)
