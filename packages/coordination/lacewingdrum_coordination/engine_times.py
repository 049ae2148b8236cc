"""Estimates prefill and decode times from the stated engine parameters."""

import math

from lacewingdrum_state import configurations


def prefill_ms(
    model: configurations.EnginePerformanceModel, prompt_tokens: int, parts: int
) -> float:
    """Estimate the prefill time of one part of an evenly split prompt.

    Args:
        model: the engine parameters.
        prompt_tokens: the length of the whole prompt.
        parts: the number of engines that prefill it.

    Returns:
        The prefill time on each of them, in milliseconds.
    """
    tokens = prompt_tokens / parts
    # Each token attends to those before it, so there are about
    # prompt_tokens ** 2 / 2 pairs of tokens.
    pairs = prompt_tokens * prompt_tokens / 2 / parts
    steps = tokens / model.chunk_tokens
    token_and_pair_ms = (
        tokens / model.read_tokens_per_ms + pairs * model.read_ms_per_pair
    )
    return token_and_pair_ms + steps * model.step_ms


def prefill_tokens_within(
    model: configurations.EnginePerformanceModel, limit_ms: float
) -> float:
    """Return how many prompt tokens one engine prefills in a time."""
    per_token_ms = 1 / model.read_tokens_per_ms + model.step_ms / model.chunk_tokens
    per_square_ms = model.read_ms_per_pair / 2
    if per_square_ms <= 0:
        return limit_ms / per_token_ms
    # This solves per_square_ms * n**2 + per_token_ms * n = limit_ms for n.
    root = math.sqrt(per_token_ms * per_token_ms + 4 * per_square_ms * limit_ms)
    return (root - per_token_ms) / (2 * per_square_ms)


def decode_pass_ms(
    model: configurations.EnginePerformanceModel, writers: int, context_tokens: float
) -> float:
    """Estimate the time of a pass without prefill.

    A pass makes one event for each request that decodes.

    Args:
        model: the engine parameters.
        writers: the number of requests that decode.
        context_tokens: the total context of these requests.

    Returns:
        The time of the pass, in milliseconds.
    """
    step_ms = (
        model.step_ms
        + writers * model.step_ms_per_writer
        + context_tokens * model.step_ms_per_context_token
    )
    return model.steps_per_pass * step_ms
