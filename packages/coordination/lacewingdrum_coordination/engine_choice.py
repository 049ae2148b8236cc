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
    engine_sets,
    engine_times,
    engine_work_registry,
    prompt_splits,
)
from lacewingdrum_state import configurations, runner_entries

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
    best: engine_sets.EngineSet | None = None
    for split in splits:
        considered = states if split.parts == 1 else shortlist
        found = engine_sets.best_set(model, needs, considered, split, now_s, rng)
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


def _to_choice(
    needs: engine_costs.RequestNeeds,
    best: engine_sets.EngineSet,
    weighted_prefill_ms: float,
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
