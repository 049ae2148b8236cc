"""Measures the room of a service's engines for its more urgent requests.

Room is short if the more urgent requests that are expected next would find no
slot in which they begin within their objective. What a request itself
would take from them is not counted, as the choice of engines weighs that.
"""

import dataclasses
import math
from collections.abc import Collection, Sequence

from lacewingdrum_coordination import engine_costs, engine_work_registry
from lacewingdrum_state import configurations, ids, units

# An engine has room for a request if the expected time to its first event is
# within this share of its objective.
IN_TIME_RATIO = 0.8
# Under this share of taken slots, with nothing waiting, no request is refused.
HALF_TAKEN_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """The room of a service for requests that are more urgent than one.

    ``free_slots`` are those in which a more urgent request would begin in
    time, ``expected_arrivals`` the more urgent requests that are expected
    within their objective. ``open_slots`` counts all slots that are not taken.
    ``has_lower_rank`` is set if any of these has a
    rank that is more urgent than the request's. ``is_idle`` is set if the
    planned engines have no work. ``work_ahead_ms`` is the prefill that is left
    on all engines together.
    """

    free_slots: int
    open_slots: int
    expected_arrivals: float
    has_lower_rank: bool
    taken_ratio: float
    has_queue: bool
    is_idle: bool
    work_ahead_ms: float
    engine_count: int

    @property
    def is_short(self) -> bool:
        """Whether more urgent requests lack room."""
        if self.is_idle or not self.expected_arrivals:
            return False
        # Answers end about as fast as requests arrive; what arrives beside
        # that varies by the root of its number.
        return self.free_slots < max(math.sqrt(self.expected_arrivals), 1.0)

    @property
    def has_urgent_load(self) -> bool:
        """Whether half is taken and more urgent requests keep arriving."""
        return self.expected_arrivals >= 1.0 and not self.is_half_free

    @property
    def is_half_free(self) -> bool:
        """Whether so little is taken that no request may be refused."""
        return self.taken_ratio < HALF_TAKEN_RATIO and not self.has_queue


def more_urgent(
    arrivals: Collection[engine_work_registry.Arrival],
    rank: int,
    over_share: str,
) -> list[engine_work_registry.Arrival]:
    """Return the arrivals that go before a request.

    Args:
        arrivals: the requests of the last second, of the same service.
        rank: the rank of the request.
        over_share: its customer, if that is over its share, else empty; then
            requests of its rank by other customers go before it too.

    Returns:
        These arrivals. One whose rank is not known goes before none.
    """
    return [
        item
        for item in arrivals
        if item.rank is not None
        and (
            item.rank < rank
            or (item.rank == rank and over_share and item.customer != over_share)
        )
    ]


def measure(
    model: configurations.EnginePerformanceModel,
    candidates: Sequence[engine_costs.Candidate],
    planned: Collection[ids.RunnerId],
    urgent: Collection[engine_work_registry.Arrival],
    rank: int,
    now_s: float,
) -> Room:
    """Measure the room that requests more urgent than one have.

    Args:
        model: the engine parameters that the operators state.
        candidates: the engines that may get work.
        planned: the engines that the request would use.
        urgent: the more urgent requests of the last second.
        rank: the rank of the request.
        now_s: the current time, on the clock of the work registry.

    Returns:
        The room.
    """
    due_ms = read_ms = 0.0
    if urgent:
        due_ms = sum(item.first_due_ms for item in urgent) / len(urgent)
        read_ms = sum(item.read_ms for item in urgent) / len(urgent)
    usable_ms = due_ms * IN_TIME_RATIO - read_ms
    free_slots = open_slots = taken = 0
    work_ahead_ms = 0.0
    has_queue, is_idle = False, True
    for candidate in candidates:
        load = candidate.load
        backlog_ms = load.backlog_ms(now_s) * candidate.slowdown
        work_ahead_ms += backlog_ms
        taken += min(load.writers, model.slots)
        has_queue = has_queue or load.writers > model.slots
        slots = model.slots - load.writers
        if candidate.entry.runner_id in planned:
            is_idle = is_idle and not load.entries
        open_slots += max(slots, 0)
        if slots > 0 and backlog_ms <= usable_ms:
            free_slots += slots
    window_ms = engine_work_registry.ARRIVAL_WINDOW_S * units.MS_PER_S
    return Room(
        free_slots,
        open_slots,
        len(urgent) * due_ms / window_ms,
        any(item.rank is not None and item.rank < rank for item in urgent),
        taken / max(len(candidates) * model.slots, 1),
        has_queue,
        is_idle,
        work_ahead_ms,
        len(candidates),
    )
