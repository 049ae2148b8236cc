"""Chooses the engines that prefill a prompt and decode the answer.

A choice is a set of one engine that decodes the answer, and helpers that
prefill parts of the prompt. Its lost worth is the worth that is expected to be
lost by the request's own lateness, by the pauses and delays that its prefill
causes to other requests on these engines, and by the engines' penalties. Sets
are compared by their rank, which is the lost worth plus costs of latency and
of the decoding engine's slot.

The gateway uses this module; the daemon ``lacewingdrumd`` uses ``routing``.
"""

import dataclasses
import heapq
import math
import random
from collections.abc import Collection, Sequence

from lacewingdrum_coordination import (
    engine_costs,
    engine_load,
    engine_times,
    engine_work_registry,
    prompt_splits,
)
from lacewingdrum_state import configurations, runner_entries

# Upper bound of the random worth that is added to a cost to break ties.
TIE_BREAK_NOISE = 0.005
# If there are more engines than this, a prompt is split only between this many
# of the best ones.
SHORTLIST_SIZE = 2 * prompt_splits.PART_COUNTS[-1]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen set; the first of ``entries`` decodes the answer.

    ``helper_memory_tokens`` is what each helper reserves; it is 0 if the
    decoding engine holds the whole prompt. ``lost_worth`` is what the request
    and others are expected to lose. ``weighted_prefill_ms`` is the prefill
    time of the whole prompt on one engine times the mean utilisation of all
    candidates. The gateway adds it, times ``WORTH_PER_PREFILL_MS``, to the
    lost worth.
    """

    entries: tuple[runner_entries.RunnerEntry, ...]
    work: tuple[engine_load.Work, ...]
    helper_memory_tokens: int
    first_event_ms: float
    lost_worth: float
    weighted_prefill_ms: float


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
class _EngineSet:
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


def choose(
    model: configurations.EnginePerformanceModel,
    needs: engine_costs.RequestNeeds,
    candidates: Sequence[engine_costs.Candidate],
    arrivals: Collection[engine_work_registry.Arrival],
    now_s: float,
    rng: random.Random,
) -> Choice | None:
    """Choose the set with the lowest rank.

    Args:
        model: the engine parameters that the operators state.
        needs: what the request needs.
        candidates: the engines that may get work.
        arrivals: the requests of the last second.
        now_s: the current time, on the clock of the work registry.
        rng: breaks ties, so that daemons do not all choose the same engine.

    Returns:
        The choice, or None if no set has the memory for the prompt.
    """
    states = [engine_costs.engine_state(model, item, now_s) for item in candidates]
    shortest_due_ms = min((item.first_due_ms for item in arrivals), default=math.inf)
    splits = prompt_splits.splits(model, needs, len(states))
    shortlist = _shortlist(model, needs, states, splits, now_s)
    best: _EngineSet | None = None
    for split in splits:
        considered = states if split.parts == 1 else shortlist
        found = _best_set(model, needs, considered, split, now_s, rng)
        if found is None:
            continue
        if split.part_prefill_ms > shortest_due_ms:
            blocking = engine_costs.blocking_cost(
                model, arrivals, found.engines, states, split.part_prefill_ms
            )
            found = dataclasses.replace(
                found,
                lost_worth=found.lost_worth + blocking,
                rank=found.rank + blocking,
            )
        if best is None or found.rank < best.rank:
            best = found
    if best is None:
        return None
    mean_utilisation = sum(
        engine_costs.utilisation(model, state) for state in states
    ) / len(states)
    prompt_prefill_ms = engine_times.prefill_ms(model, needs.prompt_tokens, 1)
    return _to_choice(needs, best, mean_utilisation * prompt_prefill_ms)


def _shortlist(
    model: configurations.EnginePerformanceModel,
    needs: engine_costs.RequestNeeds,
    states: list[engine_costs.EngineState],
    splits: list[prompt_splits.Split],
    now_s: float,
) -> list[engine_costs.EngineState]:
    """Return the best engines to split a prompt between."""
    if len(states) <= SHORTLIST_SIZE or not splits or splits[-1].parts == 1:
        return states
    # The engines are compared by a split with a medium number of parts.
    middle = splits[len(splits) // 2]

    def cost(state: engine_costs.EngineState) -> float:
        ready_ms = engine_costs.prefill_end_ms(state, middle.part_prefill_ms)
        interference = engine_costs.interference(state, middle.part_prefill_ms, now_s)
        lost_worth = interference + engine_costs.delay_cost(needs, ready_ms)
        has_memory = prompt_splits.has_memory(model, state, middle)
        if not (state.candidate.may_help and has_memory):
            lost_worth += needs.loss
        return lost_worth + state.candidate.penalty

    return heapq.nsmallest(SHORTLIST_SIZE, states, key=cost)


def _best_set(
    model: configurations.EnginePerformanceModel,
    needs: engine_costs.RequestNeeds,
    states: list[engine_costs.EngineState],
    split: prompt_splits.Split,
    now_s: float,
    rng: random.Random,
) -> _EngineSet | None:
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
) -> _EngineSet | None:
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
    return _EngineSet(split, engines[0], engines, first_event_ms, lost_worth, rank)


def _to_choice(
    needs: engine_costs.RequestNeeds, best: _EngineSet, weighted_prefill_ms: float
) -> Choice:
    split = best.split
    work = tuple(
        engine_load.Work(
            runner_id=state.candidate.entry.runner_id,
            read_ms=split.part_prefill_ms,
            writes=state is best.decoder,
            pause_limit_ms=needs.pause_limit_ms,
            first_due_ms=needs.objective_left_ms,
            loss=needs.loss,
            context_tokens=split.context_tokens,
            memory_tokens=(
                split.decoder_tokens if state is best.decoder else split.helper_tokens
            ),
        )
        for state in best.engines
    )
    return Choice(
        entries=tuple(state.candidate.entry for state in best.engines),
        work=work,
        helper_memory_tokens=split.helper_tokens,
        first_event_ms=best.first_event_ms,
        lost_worth=best.lost_worth,
        weighted_prefill_ms=weighted_prefill_ms,
    )
