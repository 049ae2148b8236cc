"""How long engines take, from what the operators state of them."""

import math

from lacewingdrum_state import configurations


def prefill_ms(
    model: configurations.EngineModel, prompt_tokens: int, parts: int
) -> float:
    """Estimate the reading of one of a prompt's even parts.

    Args:
        model: the engine.
        prompt_tokens: of the whole prompt.
        parts: how many engines read it.

    Returns:
        Milliseconds of reading on each of them.
    """
    tokens = prompt_tokens / parts
    pairs = prompt_tokens * prompt_tokens / 2 / parts
    steps = tokens / model.chunk_tokens
    token_and_pair_ms = (
        tokens / model.read_tokens_per_ms + pairs * model.read_ms_per_pair
    )
    return token_and_pair_ms + steps * model.step_ms


def prefill_tokens_within(model: configurations.EngineModel, limit_ms: float) -> float:
    """Args: limit_ms: a time. Returns: tokens that one engine reads in it."""
    per_token_ms = 1 / model.read_tokens_per_ms + model.step_ms / model.chunk_tokens
    per_square_ms = model.read_ms_per_pair / 2
    if per_square_ms <= 0:
        return limit_ms / per_token_ms
    root = math.sqrt(per_token_ms * per_token_ms + 4 * per_square_ms * limit_ms)
    return (root - per_token_ms) / (2 * per_square_ms)


def decode_pass_ms(
    model: configurations.EngineModel, writers: int, context_tokens: float
) -> float:
    """Estimate a pass without reading, which makes an event for each writer.

    Args:
        model: the engine.
        writers: requests that write.
        context_tokens: of all writers together.

    Returns:
        Milliseconds of the pass.
    """
    step_ms = (
        model.step_ms
        + writers * model.step_ms_per_writer
        + context_tokens * model.step_ms_per_context_token
    )
    return model.steps_per_pass * step_ms
