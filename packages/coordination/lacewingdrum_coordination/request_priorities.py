"""Describes requests with the priority at which runners queue them."""

from lacewingdrum_coordination import estimates, pools, priorities
from lacewingdrum_state import requests


def make_work(
    request: requests.Request,
    pool: pools.RunnerPool,
    now_s: float,
    raised_to: int | None = None,
) -> estimates.RequestWork:
    """Describe a request's work on a runner.

    Args:
        request: the request.
        pool: the runners of its service.
        now_s: the current time.
        raised_to: the priority instead of that of its length, if raised.
    """
    priority = priorities.of_prompt(request.prompt_tokens)
    if raised_to is not None:
        priority = raised_to
    higher_priority_utilisation = 0.0
    if priority > priorities.SHORT:
        higher_priority_utilisation = pool.utilisation(priority - 1, now_s)
    utilisation_of_all = pool.utilisation(priorities.LONG, now_s)
    return estimates.make_request_work(
        priority,
        request.prompt_tokens,
        request.max_tokens,
        higher_priority_utilisation,
        utilisation_of_all,
    )


def may_raise(request: requests.Request, pool: pools.RunnerPool, now_s: float) -> bool:
    """Return whether a long prompt may run at a higher priority.

    It may if its worth per token is at least the mean of recent work, which
    it would delay.
    """
    if priorities.of_prompt(request.prompt_tokens) != priorities.LONG:
        return False
    worth_per_token = request.worth / request.prompt_tokens
    return worth_per_token >= pool.demand.worth_per_token(now_s)
