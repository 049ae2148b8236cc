"""Builds the sets of engines that could prefill a prompt together."""

import dataclasses
import random
from collections.abc import Sequence

from lacewingdrum_coordination import engine_costs, prompt_splits
from lacewingdrum_state import configurations

# Upper bound of the random worth that is added to a cost to break ties.
TIE_BREAK_NOISE = 0.005


@dataclasses.dataclass(slots=True)
class _PrefillOption:
    """An engine that could prefill a part, and what that costs others.

    ``cost`` is the interference plus the candidate's penalty and a random
    term that breaks ties.
    """

    state: engine_costs.EngineState
    cost: float
    ready_ms: float


@dataclasses.dataclass(slots=True)
class _PrefillSet:
    """Engines that prefill together; the first one also decodes.

    ``prompt_ready_ms`` is the time until all parts are prefilled, and ``cost``
    the total of the engines' costs.
    """

    engines: tuple[_PrefillOption, ...]
    prompt_ready_ms: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSet:
    """A set of engines.

    ``rank``, by which sets are compared, is the lost worth plus the costs of
    latency and of the decoding engine's slot.
    """

    split: prompt_splits.Split
    decoder: engine_costs.EngineState
    engines: tuple[engine_costs.EngineState, ...]
    first_event_ms: float
    lost_worth: float
    rank: float


def best_set(
    model: configurations.EnginePerformanceModel,
    needs: engine_costs.RequestNeeds,
    states: list[engine_costs.EngineState],
    split: prompt_splits.Split,
    now_s: float,
    rng: random.Random,
) -> EngineSet | None:
    """Return the set with the lowest rank for one way to split the prompt.

    Args:
        model: the engine parameters that the operators state.
        needs: what the request needs.
        states: the engines that may get work.
        split: into how many parts the prompt is split, and their sizes.
        now_s: the current time, on the clock of the work registry.
        rng: breaks ties.

    Returns:
        The set, or None if too few engines have the memory.
    """
    engines = _prefill_options(model, states, split, now_s, rng)
    if split.parts == 1:
        sets = [
            _PrefillSet((item,), item.ready_ms, item.cost)
            for item in engines
            if item.state.candidate.may_decode
        ]
        return _best_decoder(model, needs, split, sets)
    # The prompt is ready when the slowest part is, so the delay of each engine
    # counts as well as its cost.
    engines.sort(
        key=lambda item: item.cost + engine_costs.delay_cost(needs, item.ready_ms)
    )
    chosen = _pick_prefill_set(engines, split.parts)
    if len(chosen) < split.parts:
        return None
    prompt_ready_ms = max(item.ready_ms for item in chosen)
    cost = sum(item.cost for item in chosen)
    sets = [
        _PrefillSet(
            (item, *(other for other in chosen if other is not item)),
            prompt_ready_ms,
            cost,
        )
        for item in chosen
        if item.state.candidate.may_decode
    ]
    return _best_decoder(model, needs, split, sets)


def _pick_prefill_set(
    engines: list[_PrefillOption], parts: int
) -> list[_PrefillOption]:
    """Choose engines that prefill together, one of which may decode.

    Args:
        engines: the usable engines, the best ones first.
        parts: how many are needed.

    Returns:
        The chosen engines; fewer than ``parts`` if there are not enough.
    """
    helpers = [item for item in engines if item.state.candidate.may_help]
    chosen = helpers[:parts]
    if any(item.state.candidate.may_decode for item in chosen):
        return chosen
    decoder = next((item for item in engines if item.state.candidate.may_decode), None)
    if decoder is None:
        return []
    return [decoder, *(item for item in helpers if item is not decoder)][:parts]


def _prefill_options(
    model: configurations.EnginePerformanceModel,
    states: list[engine_costs.EngineState],
    split: prompt_splits.Split,
    now_s: float,
    rng: random.Random,
) -> list[_PrefillOption]:
    """Return the engines that have the memory for a part."""
    engines: list[_PrefillOption] = []
    for state in states:
        if not prompt_splits.has_memory(model, state, split):
            continue
        interference = engine_costs.interference(state, split.part_prefill_ms, now_s)
        noise = rng.random() * TIE_BREAK_NOISE
        cost = interference + state.candidate.penalty + noise
        ready_ms = engine_costs.prefill_end_ms(state, split.part_prefill_ms)
        engines.append(_PrefillOption(state, cost, ready_ms))
    return engines


def _best_decoder(
    model: configurations.EnginePerformanceModel,
    needs: engine_costs.RequestNeeds,
    split: prompt_splits.Split,
    sets: Sequence[_PrefillSet],
) -> EngineSet | None:
    """Return the best of some sets that differ in the decoding engine."""
    usable_tokens = prompt_splits.USABLE_MEMORY_SHARE * model.kv_capacity_tokens
    best: tuple[float, float, float, _PrefillSet] | None = None
    for item in sets:
        decoder = item.engines[0].state
        slot_cost = engine_costs.slot_cost(model, needs, decoder)
        if best is not None and item.cost + slot_cost >= best[0]:
            continue
        own = engine_costs.own_cost(
            model, needs, decoder, item.prompt_ready_ms, split.context_tokens
        )
        lost_worth = own.lost_worth + item.cost
        if decoder.load.memory_tokens + split.decoder_tokens > usable_tokens:
            # The engine would queue the request, or preempt it later.
            lost_worth += needs.loss
        rank = lost_worth + own.latency_cost + slot_cost
        if best is None or rank < best[0]:
            best = (rank, lost_worth, own.first_event_ms, item)
    if best is None:
        return None
    rank, lost_worth, first_event_ms, chosen = best
    engines = tuple(item.state for item in chosen.engines)
    return EngineSet(split, engines[0], engines, first_event_ms, lost_worth, rank)
