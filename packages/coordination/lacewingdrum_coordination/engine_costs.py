"""What it costs to give an engine a part of a request, in worth lost."""

import dataclasses
from collections.abc import Collection

from lacewingdrum_coordination import engine_load, engine_times, engine_work_registry
from lacewingdrum_state import configurations, runner_entries

# A time that reaches the first share of its limit may be late, and one that
# reaches the second is.
LATE_FROM = 0.8
LATE_TO = 1.1
# Callers leave a stream that pauses for so long, and its late worth is lost.
ABANDON_MIN_MS = 2_000.0
ABANDON_LIMITS = 8.0
ABANDON_LOSS = 0.33
QUEUE_STEP_MS = 700.0
# Worth lost by a wait as long as the objective, so that faster is better.
HASTE = 0.2
# Engines without short writers are kept for long prompts.
OPENING_COST = 0.25
OPENING_ORDER_COST = 0.15
LAST_SLOTS = 1
LAST_SLOT_COST = 0.4
# Up to this many times the pause limit of a writer counts as the same kind.
SAME_KIND_PAUSE = 1.5
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

    ``penalty`` is the worth its failures and distance cost; ``order``, 0 to
    1, is the same at all daemons that hear of each other's work, so that they
    fill the same engines first; ``pace`` is how many times slower it is than
    stated. ``writes`` and ``helps`` are unset where it may not write, or
    would refuse to read a part for another engine.
    """

    entry: runner_entries.RunnerEntry
    load: engine_load.EngineLoad
    penalty: float = 0.0
    order: float = 0.0
    pace: float = 1.0
    writes: bool = True
    helps: bool = True


@dataclasses.dataclass(slots=True)
class EngineState:
    """A candidate and its work, as one request sees it.

    ``pass_ms`` is a pass without reading; 0 where nobody writes.
    """

    candidate: Candidate
    load: engine_load.EngineLoad
    backlog_ms: float
    pass_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnCost:
    """What a choice costs the request itself.

    ``haste`` only ranks choices; it is no loss.
    """

    lost: float
    haste: float
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
    pass_ms = 0.0
    if load.writers:
        pass_ms = engine_times.pass_ms(model, load.writers, load.context_tokens)
    return EngineState(
        candidate,
        load,
        load.backlog_ms(now_s) * candidate.pace,
        pass_ms * candidate.pace,
    )


def busy_share(model: configurations.EngineModel, state: EngineState) -> float:
    """Returns: the share of an engine's room that is taken, 0 to 1."""
    reading = state.backlog_ms / BACKLOG_FULL_MS
    return min(1.0, state.load.writers / model.slots + reading)


def delay_cost(demand: Demand, ready_ms: float) -> float:
    """Returns: what it costs the request if the last part is read by then."""
    ratio = ready_ms / demand.objective_left_ms
    return demand.loss * (_lateness(ratio) + HASTE * ratio)


def harm(state: EngineState, added_ms: float, now_s: float) -> float:
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
    lost = 0.0
    added_ms *= state.candidate.pace
    before_ms = state.pass_ms + state.backlog_ms
    after_ms = before_ms + added_ms
    if after_ms > LATE_FROM * load.shortest_pause_ms:
        for group in load.pauses.values():
            after = _pause_loss(after_ms, group.limit_ms)
            lost += group.loss * (after - _pause_loss(before_ms, group.limit_ms))
    for entry in load.unread.values():
        work = entry.work
        if not work.writes:
            continue
        waited_ms = (now_s - entry.started_s) * 1_000
        first_ms = waited_ms + before_ms + state.pass_ms / 2
        due_ms = max(work.first_due_ms, 1.0)
        after = _lateness((first_ms + added_ms) / due_ms)
        lost += work.loss * (after - _lateness(first_ms / due_ms))
    return lost


def blocking_cost(
    model: configurations.EngineModel,
    arrivals: Collection[engine_work_registry.Arrival],
    blocked: Collection[EngineState],
    states: Collection[EngineState],
    part_ms: float,
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
    urgent = [item.loss for item in arrivals if item.first_due_ms < part_ms]
    if not urgent:
        return 0.0
    taken = {id(state) for state in blocked}
    free_slots = sum(
        max(model.slots - state.load.writers, 0)
        for state in states
        if id(state) not in taken and state.backlog_ms < part_ms
    )
    coming = len(urgent) * part_ms / 1_000 / engine_work_registry.ARRIVAL_WINDOW_S
    without_slot = max(coming - free_slots, 0.0)
    return without_slot * sum(urgent) / len(urgent)


def read_end_ms(state: EngineState, part_ms: float) -> float:
    """Returns: when an engine is expected to have read a part."""
    own_ms = part_ms * state.candidate.pace
    return state.backlog_ms + state.pass_ms / 2 + own_ms


def own_cost(
    model: configurations.EngineModel,
    demand: Demand,
    first: EngineState,
    read_ms: float,
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
    load = first.load
    own_pass_ms = engine_times.pass_ms(
        model, load.writers + 1, load.context_tokens + context_tokens
    )
    own_pass_ms *= first.candidate.pace
    first_ms = read_ms + own_pass_ms
    waiting = load.writers + 1 - model.slots
    if waiting > 0:
        first_ms += waiting * QUEUE_STEP_MS
    ratio = first_ms / demand.objective_left_ms
    lost = demand.loss * _lateness(ratio)
    lost += demand.loss * _lateness(own_pass_ms / demand.pause_limit_ms)
    return OwnCost(lost, HASTE * demand.loss * ratio, first_ms)


def room_cost(
    model: configurations.EngineModel, demand: Demand, first: EngineState
) -> float:
    """Returns: what it costs later requests that a slot here is taken."""
    cost = 0.0
    load = first.load
    if load.shortest_pause_ms > demand.pause_limit_ms * SAME_KIND_PAUSE:
        cost += OPENING_COST + OPENING_ORDER_COST * first.candidate.order
    if load.writers + LAST_SLOTS >= model.slots:
        cost += LAST_SLOT_COST
    return cost


def _pause_loss(pause_ms: float, limit_ms: float) -> float:
    """Returns: the share of a loss; more than all where the caller leaves."""
    leaves_ms = max(ABANDON_MIN_MS, ABANDON_LIMITS * limit_ms)
    late = _lateness(pause_ms / limit_ms)
    return late + ABANDON_LOSS * _lateness(pause_ms / leaves_ms)


def _lateness(ratio: float) -> float:
    """Returns: 0 for in time, 1 for late, by a time's share of its limit."""
    if ratio <= LATE_FROM:
        return 0.0
    if ratio >= LATE_TO:
        return 1.0
    return (ratio - LATE_FROM) / (LATE_TO - LATE_FROM)
