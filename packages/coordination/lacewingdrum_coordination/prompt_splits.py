"""Lists the ways to split a prompt between several prefilling engines."""

import dataclasses

from lacewingdrum_coordination import engine_costs, engine_times
from lacewingdrum_state import configurations

PART_COUNTS = (1, 2, 3, 4, 6, 8, 10, 13, 17)
PART_PREFILL_MIN_MS = 12.0
USABLE_MEMORY_SHARE = 0.97
# A prompt over this share of an engine's memory is spread over the memory of
# several engines.
SPREAD_ABOVE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """One way to split a prompt between a decoding engine and helpers.

    ``part_prefill_ms`` is the prefill time on each engine. ``decoder_tokens``
    and ``helper_tokens`` are the memory that the decoding engine and each
    helper need; a helper needs none unless the prompt is spread.
    """

    parts: int
    part_prefill_ms: float
    context_tokens: int
    decoder_tokens: int
    helper_tokens: int


def splits(
    model: configurations.EnginePerformanceModel,
    needs: engine_costs.RequestNeeds,
    engine_count: int,
) -> list[Split]:
    """Return the splits of a prompt for which an engine's memory suffices."""
    is_spread = needs.prompt_tokens > SPREAD_ABOVE_SHARE * model.kv_capacity_tokens
    found: list[Split] = []
    for parts in PART_COUNTS:
        part_prefill_ms = engine_times.prefill_ms(model, needs.prompt_tokens, parts)
        if parts > engine_count or (
            parts > 1 and part_prefill_ms < PART_PREFILL_MIN_MS
        ):
            break
        share_tokens = -(-needs.prompt_tokens // parts)
        split = Split(
            parts=parts,
            part_prefill_ms=part_prefill_ms,
            context_tokens=share_tokens,
            decoder_tokens=(share_tokens if is_spread else needs.prompt_tokens)
            + needs.answer_tokens,
            helper_tokens=share_tokens + 1 if is_spread else 0,
        )
        if split.decoder_tokens <= USABLE_MEMORY_SHARE * model.kv_capacity_tokens:
            found.append(split)
    return found


def has_memory(
    model: configurations.EnginePerformanceModel,
    state: engine_costs.EngineState,
    split: Split,
) -> bool:
    """Return whether an engine has free memory for a part of the split."""
    if not split.helper_tokens:
        return True
    usable_tokens = USABLE_MEMORY_SHARE * model.kv_capacity_tokens
    return state.load.memory_tokens + split.helper_tokens <= usable_tokens
