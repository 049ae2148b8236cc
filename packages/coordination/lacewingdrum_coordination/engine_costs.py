"""What it costs to give an engine a part of a request, in worth lost."""

import dataclasses
from collections.abc import Collection

from lacewingdrum_coordination import engine_load, engine_times, engine_work_registry
from lacewingdrum_state import configurations, runner_entries

# A time that reaches the first share of its limit may be late, and one that
# reaches the second is.
LATENESS_START_RATIO = 0.8
LATENESS_FULL_RATIO = 1.1
# Callers leave a stream that pauses for so long, and its late worth is lost.
ABANDON_PAUSE_MIN_MS = 2_000.0
ABANDON_PAUSE_LIMIT_FACTOR = 8.0
ABANDON_LOSS_SHARE = 0.33
SLOT_WAIT_MS = 700.0
# Worth lost by a wait as long as the objective, so that faster is better.
LATENCY_WEIGHT = 0.2
# Engines without short writers are kept for long prompts.
FIRST_SHORT_REQUEST_COST = 0.25
FIRST_SHORT_REQUEST_ORDER_COST = 0.15
LAST_SLOT_COUNT = 1
LAST_SLOT_COST = 0.4
# Up to this many times the pause limit of a writer counts as the same kind.
SAME_KIND_PAUSE_RATIO = 1.5
# An engine with so much to read has no room at all.
BACKLOG_FULL_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs and is owed.

    ``objective_left_ms`` is what is left until its first event is late;
    ``loss`` is the worth that lateness costs.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_left_ms: float
    pause_limit_ms: float
    loss: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may get work.

    ``penalty`` is the worth its failures and distance cost; ``fill_order``, 0 to
    1, is the same at all daemons that hear of each other's work, so that they
    fill the same engines first; ``slowdown`` is how many times slower it is than
    stated. ``may_decode`` and ``may_help`` are unset where it may not write, or
    would refuse to read a part for another engine.
    """

    entry: runner_entries.RunnerEntry
    load: engine_load.EngineLoad
    penalty: float = 0.0
    fill_order: float = 0.0
    slowdown: float = 1.0
    may_decode: bool = True
    may_help: bool = True


@dataclasses.dataclass(slots=True)
class EngineState:
    """A candidate and its work, as one request sees it.

    ``decode_pass_ms`` is a pass without reading; 0 where nobody writes.
    """

    candidate: Candidate
    load: engine_load.EngineLoad
    backlog_ms: float
    decode_pass_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnCost:
    """What a choice costs the request itself.

    ``latency_cost`` only ranks choices; it is no loss.
    """

    lost_worth: float
    latency_cost: float
    first_event_ms: float


def engine_state(
    model: configurations.EngineModel, candidate: Candidate, now_s: float
) -> EngineState:
    """Sum up what is at work on a candidate.

    Args:
        model: what the operators state of the engines.
        candidate: the engine.
        now_s: the time, as the book's.

    Returns:
        Its state.
    """
    load = candidate.load
    decode_pass_ms = 0.0
    if load.writers:
        decode_pass_ms = engine_times.decode_pass_ms(
            model, load.writers, load.context_tokens
        )
    return EngineState(
        candidate,
        load,
        load.backlog_ms(now_s) * candidate.slowdown,
        decode_pass_ms * candidate.slowdown,
    )


def utilization(model: configurations.EngineModel, state: EngineState) -> float:
    """Returns: the share of an engine's room that is taken, 0 to 1."""
    backlog_share = state.backlog_ms / BACKLOG_FULL_MS
    return min(1.0, state.load.writers / model.slots + backlog_share)


def delay_cost(demand: Demand, ready_ms: float) -> float:
    """Returns: what it costs the request if the last part is read by then."""
    ratio = ready_ms / demand.objective_left_ms
    return demand.loss * (_lateness(ratio) + LATENCY_WEIGHT * ratio)


def interference(state: EngineState, added_ms: float, now_s: float) -> float:
    """Estimate what reading costs the requests that write on an engine.

    Args:
        state: the engine.
        added_ms: the reading that is added.
        now_s: the time, as the book's.

    Returns:
        The worth that they lose by it.
    """
    load = state.load
    if not load.writers:
        return 0.0
    lost_worth = 0.0
    added_ms *= state.candidate.slowdown
    before_ms = state.decode_pass_ms + state.backlog_ms
    after_ms = before_ms + added_ms
    if after_ms > LATENESS_START_RATIO * load.shortest_pause_ms:
        for group in load.pauses.values():
            after = _pause_loss_share(after_ms, group.limit_ms)
            lost_worth += group.loss * (
                after - _pause_loss_share(before_ms, group.limit_ms)
            )
    for entry in load.unread.values():
        work = entry.work
        if not work.writes:
            continue
        waited_ms = (now_s - entry.started_s) * 1_000
        first_event_ms = waited_ms + before_ms + state.decode_pass_ms / 2
        due_ms = max(work.first_due_ms, 1.0)
        after = _lateness((first_event_ms + added_ms) / due_ms)
        lost_worth += work.loss * (after - _lateness(first_event_ms / due_ms))
    return lost_worth


def blocking_cost(
    model: configurations.EngineModel,
    arrivals: Collection[engine_work_registry.Arrival],
    prefilling: Collection[EngineState],
    states: Collection[EngineState],
    part_prefill_ms: float,
) -> float:
    """Estimate what requests lose that come while a set reads.

    Args:
        model: what the operators state of the engines.
        arrivals: the requests of the last second, taken to go on coming.
        blocked: the engines that read.
        states: all engines.
        part_ms: the reading of each.

    Returns:
        The worth of those that the other engines have no slot for.
    """
    urgent_losses = [
        item.loss for item in arrivals if item.first_due_ms < part_prefill_ms
    ]
    if not urgent_losses:
        return 0.0
    prefilling_ids = {id(state) for state in prefilling}
    free_slots = sum(
        max(model.slots - state.load.writers, 0)
        for state in states
        if id(state) not in prefilling_ids and state.backlog_ms < part_prefill_ms
    )
    expected_count = (
        len(urgent_losses)
        * part_prefill_ms
        / 1_000
        / engine_work_registry.ARRIVAL_WINDOW_S
    )
    without_slot = max(expected_count - free_slots, 0.0)
    return without_slot * sum(urgent_losses) / len(urgent_losses)


def prefill_end_ms(state: EngineState, part_prefill_ms: float) -> float:
    """Returns: when an engine is expected to have read a part."""
    own_ms = part_prefill_ms * state.candidate.slowdown
    return state.backlog_ms + state.decode_pass_ms / 2 + own_ms


def own_cost(
    model: configurations.EngineModel,
    demand: Demand,
    decoder: EngineState,
    prompt_ready_ms: float,
    context_tokens: float,
) -> OwnCost:
    """Estimate what a set costs the request itself.

    Args:
        model: what the operators state of the engines.
        demand: the request.
        first: the engine that writes.
        read_ms: until the last part has been read.
        context_tokens: of the request, at each step of the first.

    Returns:
        Its cost, and when its first event is expected.
    """
    load = decoder.load
    own_decode_pass_ms = engine_times.decode_pass_ms(
        model, load.writers + 1, load.context_tokens + context_tokens
    )
    own_decode_pass_ms *= decoder.candidate.slowdown
    first_event_ms = prompt_ready_ms + own_decode_pass_ms
    waiting = load.writers + 1 - model.slots
    if waiting > 0:
        first_event_ms += waiting * SLOT_WAIT_MS
    ratio = first_event_ms / demand.objective_left_ms
    lost_worth = demand.loss * _lateness(ratio)
    lost_worth += demand.loss * _lateness(own_decode_pass_ms / demand.pause_limit_ms)
    return OwnCost(lost_worth, LATENCY_WEIGHT * demand.loss * ratio, first_event_ms)


def slot_cost(
    model: configurations.EngineModel, demand: Demand, decoder: EngineState
) -> float:
    """Returns: what it costs later requests that a slot here is taken."""
    cost = 0.0
    load = decoder.load
    if load.shortest_pause_ms > demand.pause_limit_ms * SAME_KIND_PAUSE_RATIO:
        cost += (
            FIRST_SHORT_REQUEST_COST
            + FIRST_SHORT_REQUEST_ORDER_COST * decoder.candidate.fill_order
        )
    if load.writers + LAST_SLOT_COUNT >= model.slots:
        cost += LAST_SLOT_COST
    return cost


def _pause_loss_share(pause_ms: float, limit_ms: float) -> float:
    """Returns: the share of a loss; more than all where the caller leaves."""
    abandon_ms = max(ABANDON_PAUSE_MIN_MS, ABANDON_PAUSE_LIMIT_FACTOR * limit_ms)
    lateness = _lateness(pause_ms / limit_ms)
    return lateness + ABANDON_LOSS_SHARE * _lateness(pause_ms / abandon_ms)


def _lateness(ratio: float) -> float:
    """Returns: 0 for in time, 1 for late, by a time's share of its limit."""
    if ratio <= LATENESS_START_RATIO:
        return 0.0
    if ratio >= LATENESS_FULL_RATIO:
        return 1.0
    return (ratio - LATENESS_START_RATIO) / (LATENESS_FULL_RATIO - LATENESS_START_RATIO)
