"""Estimates the worth lost by giving an engine a part of a request."""

import dataclasses
from collections.abc import Collection

from lacewingdrum_coordination import engine_load, engine_times, engine_work_registry
from lacewingdrum_state import configurations, runner_entries

# Lateness is 0 for a time up to LATENESS_START_RATIO times its limit, 1 from
# LATENESS_FULL_RATIO times its limit on, and grows linearly in between.
LATENESS_START_RATIO = 0.8
LATENESS_FULL_RATIO = 1.1
# A caller abandons a stream that pauses for ABANDON_PAUSE_MIN_MS, or for
# ABANDON_PAUSE_LIMIT_FACTOR times its pause limit if that is longer. The worth
# that a late answer still has is lost then too. ABANDON_LOSS_SHARE is this
# additional loss, as a ratio of the request's loss.
ABANDON_PAUSE_MIN_MS = 2_000.0
ABANDON_PAUSE_LIMIT_FACTOR = 8.0
ABANDON_LOSS_SHARE = 0.33
# Expected wait for each request that exceeds the number of slots.
SLOT_WAIT_MS = 700.0
# Latency cost of a time to the first event that equals the objective, as a
# ratio of the request's loss. It makes faster choices rank better even if no
# choice is late.
LATENCY_WEIGHT = 0.2
# Worth. Cost of the first short request on an engine, because engines that
# decode no short requests are kept free for long prompts. It applies if every
# request that decodes on the engine has a pause limit over
# SAME_KIND_PAUSE_RATIO times that of the new one. The second cost is
# multiplied by Candidate.fill_order, so that daemons start to use the same
# engines first.
FIRST_SHORT_REQUEST_COST = 0.25
FIRST_SHORT_REQUEST_FILL_ORDER_COST = 0.15
# LAST_SLOT_COST applies if at most this many slots are free.
LAST_SLOT_COUNT = 1
LAST_SLOT_COST = 0.4
# Pause limits up to this ratio apart count as the same kind of request.
SAME_KIND_PAUSE_RATIO = 1.5
# An engine with this prefill backlog counts as fully utilised.
BACKLOG_FULL_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestNeeds:
    """What a request needs, and its objectives.

    ``objective_left_ms`` is the time left until its first event is late;
    ``loss`` is the worth lost if it is late.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_left_ms: float
    pause_limit_ms: float
    loss: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may get work.

    ``penalty`` is the expected worth lost by its failures and distance.
    ``fill_order``, from 0 to 1, is the same on all daemons that receive each
    other's work reports, so that they fill the same engines first.
    ``slowdown`` is how many times slower the engine is than stated.
    ``may_decode`` is unset if it may not decode the answer, and ``may_help``
    if it would refuse to prefill a part for another engine.
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
    """A candidate with the timing of its present work.

    ``decode_pass_ms`` is the time of a pass without prefill; it is 0 if no
    request decodes there.
    """

    candidate: Candidate
    load: engine_load.EngineLoad
    backlog_ms: float
    decode_pass_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnCost:
    """The cost of a choice to the request itself.

    ``latency_cost`` only ranks choices and is not part of ``lost_worth``.
    """

    lost_worth: float
    latency_cost: float
    first_event_ms: float


def engine_state(
    model: configurations.EnginePerformanceModel, candidate: Candidate, now_s: float
) -> EngineState:
    """Return a candidate with the timing of its present work.

    Args:
        model: the engine parameters that the operators state.
        candidate: the engine.
        now_s: the current time, on the clock of the work registry.

    Returns:
        The candidate's state.
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


def utilisation(
    model: configurations.EnginePerformanceModel, state: EngineState
) -> float:
    """Return the used share of an engine's capacity, from 0 to 1."""
    backlog_share = state.backlog_ms / BACKLOG_FULL_MS
    return min(1.0, state.load.writers / model.slots + backlog_share)


def delay_cost(needs: RequestNeeds, ready_ms: float) -> float:
    """Return the request's cost if a part is ready only after ``ready_ms``."""
    ratio = ready_ms / needs.objective_left_ms
    return needs.loss * (_lateness(ratio) + LATENCY_WEIGHT * ratio)


def interference(state: EngineState, added_ms: float, now_s: float) -> float:
    """Estimate what additional prefill on an engine costs other requests.

    These are the requests that decode on the engine, and those that will
    decode there once their prompts are prefilled.

    Args:
        state: the engine.
        added_ms: the additional prefill time, at the stated speed.
        now_s: the current time, on the clock of the work registry.

    Returns:
        The worth that these requests are expected to lose by it.
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
    model: configurations.EnginePerformanceModel,
    arrivals: Collection[engine_work_registry.Arrival],
    prefilling: Collection[EngineState],
    states: Collection[EngineState],
    part_prefill_ms: float,
) -> float:
    """Estimate the loss of requests that arrive while a set prefills.

    Args:
        model: the engine parameters that the operators state.
        arrivals: the requests of the last second; the estimate assumes that
            requests keep arriving at this rate.
        prefilling: the engines of the set.
        states: all engines.
        part_prefill_ms: the prefill time of each engine of the set.

    Returns:
        The worth lost by arrivals that the other engines have no slot for.
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
    """Return the expected time until an engine has prefilled a part."""
    own_ms = part_prefill_ms * state.candidate.slowdown
    return state.backlog_ms + state.decode_pass_ms / 2 + own_ms


def own_cost(
    model: configurations.EnginePerformanceModel,
    needs: RequestNeeds,
    decoder: EngineState,
    prompt_ready_ms: float,
    context_tokens: float,
) -> OwnCost:
    """Estimate what a set of engines costs the request itself.

    Args:
        model: the engine parameters that the operators state.
        needs: what the request needs.
        decoder: the engine that decodes.
        prompt_ready_ms: the time until the last part is prefilled.
        context_tokens: the request's context at each step of the decoder.

    Returns:
        The cost and the expected time to the first event.
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
    ratio = first_event_ms / needs.objective_left_ms
    lost_worth = needs.loss * _lateness(ratio)
    lost_worth += needs.loss * _lateness(own_decode_pass_ms / needs.pause_limit_ms)
    return OwnCost(lost_worth, LATENCY_WEIGHT * needs.loss * ratio, first_event_ms)


def slot_cost(
    model: configurations.EnginePerformanceModel,
    needs: RequestNeeds,
    decoder: EngineState,
) -> float:
    """Return the cost to later requests of using a slot of this engine."""
    cost = 0.0
    load = decoder.load
    if load.shortest_pause_ms > needs.pause_limit_ms * SAME_KIND_PAUSE_RATIO:
        cost += (
            FIRST_SHORT_REQUEST_COST
            + FIRST_SHORT_REQUEST_FILL_ORDER_COST * decoder.candidate.fill_order
        )
    if load.writers + LAST_SLOT_COUNT >= model.slots:
        cost += LAST_SLOT_COST
    return cost


def _pause_loss_share(pause_ms: float, limit_ms: float) -> float:
    """Return the ratio of a request's loss that a pause of this length costs.

    The ratio exceeds 1 if the pause is so long that the caller may abandon
    the stream.
    """
    abandon_ms = max(ABANDON_PAUSE_MIN_MS, ABANDON_PAUSE_LIMIT_FACTOR * limit_ms)
    lateness = _lateness(pause_ms / limit_ms)
    return lateness + ABANDON_LOSS_SHARE * _lateness(pause_ms / abandon_ms)


def _lateness(ratio: float) -> float:
    """Map the ratio of a time to its limit to a lateness from 0 to 1."""
    if ratio <= LATENESS_START_RATIO:
        return 0.0
    if ratio >= LATENESS_FULL_RATIO:
        return 1.0
    return (ratio - LATENESS_START_RATIO) / (LATENESS_FULL_RATIO - LATENESS_START_RATIO)
