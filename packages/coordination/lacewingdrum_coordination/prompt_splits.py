"""The ways to divide a prompt between engines that read it together."""

import dataclasses

from lacewingdrum_coordination import engine_costs, engine_times
from lacewingdrum_state import configurations

PART_COUNTS = (1, 2, 3, 4, 6, 8, 10, 13, 17)
PART_PREFILL_MIN_MS = 12.0
USABLE_MEMORY_SHARE = 0.97
# A larger prompt is spread over the memory of several engines.
SPREAD_ABOVE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """One way to divide a prompt; what each engine reads and holds."""

    parts: int
    part_prefill_ms: float
    context_tokens: int
    decoder_tokens: int
    helper_tokens: int


def splits(
    model: configurations.EngineModel, demand: engine_costs.Demand, engine_count: int
) -> list[Split]:
    """Returns: the ways to divide a prompt that engines' memory allows."""
    is_spread = demand.prompt_tokens > SPREAD_ABOVE_SHARE * model.kv_capacity_tokens
    found: list[Split] = []
    for parts in PART_COUNTS:
        part_prefill_ms = engine_times.prefill_ms(model, demand.prompt_tokens, parts)
        if parts > engine_count or (
            parts > 1 and part_prefill_ms < PART_PREFILL_MIN_MS
        ):
            break
        share_tokens = -(-demand.prompt_tokens // parts)
        split = Split(
            parts=parts,
            part_prefill_ms=part_prefill_ms,
            context_tokens=share_tokens,
            decoder_tokens=(share_tokens if is_spread else demand.prompt_tokens)
            + demand.answer_tokens,
            helper_tokens=share_tokens + 1 if is_spread else 0,
        )
        if split.decoder_tokens <= USABLE_MEMORY_SHARE * model.kv_capacity_tokens:
            found.append(split)
    return found


def has_memory(
    model: configurations.EngineModel,
    state: engine_costs.EngineState,
    split: Split,
) -> bool:
    """Returns: whether an engine can set a part's memory aside."""
    if not split.helper_tokens:
        return True
    usable_tokens = USABLE_MEMORY_SHARE * model.kv_capacity_tokens
    return state.load.memory_tokens + split.helper_tokens <= usable_tokens
