"""The estimate of when a runner gives a request's first and last token."""

import dataclasses

from lacewingdrum_coordination import priorities, runner_estimates
from lacewingdrum_state import ids

MAX_UTILISATION = 0.9
URGENT_RATIO = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a runner is thought to need for a request."""

    runner_id: ids.RunnerId
    first_token_s: float
    complete_s: float


@dataclasses.dataclass(slots=True)
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

    def left_beside_urgent(self) -> float:
        """Returns: the share of a runner's time left for this priority."""
        return 1 - min(MAX_UTILISATION, URGENT_RATIO * self.urgent_utilisation)

    def left_beside_all(self) -> float:
        """Returns: the share of a runner's time that drains its backlog."""
        return 1 - min(MAX_UTILISATION, self.utilisation)


def times_s(
    known: runner_estimates.RunnerEstimate,
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
    short, mid, long = known.queued_tokens(now_s)
    if work.priority == priorities.SHORT:
        ahead, behind = short, mid + long
    elif work.priority == priorities.MID:
        ahead, behind = short + mid, long
    else:
        ahead, behind = short + mid + long, 0.0
    own = work.prompt_tokens - cached_tokens
    rate = known.prefill_tokens_per_s
    first_s = (ahead + own) / (rate * work.left_beside_urgent())
    if behind and not ahead:
        first_s += known.chunk_s / 2
    first_s += 2 * known.link_delay_s
    backlog_s = behind / (rate * work.left_beside_all())
    busy_token_s = known.token_s + known.chunk_s
    beside_s = work.answer_tokens * busy_token_s
    if beside_s <= backlog_s:
        return first_s, first_s + beside_s
    left = work.answer_tokens - backlog_s / busy_token_s
    token_s = known.token_s + known.busy_ratio * known.chunk_s
    return first_s, first_s + backlog_s + left * token_s
