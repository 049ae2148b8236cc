"""Groups of engines for prompts larger than one engine's memory.

A group gets all of its memory or none. The coordinators of the engines are
asked one after the other in the order of runner ids, so that two prompts that
need the same engines cannot deadlock. Granted memory is released at the first
refusal, and expires by itself if the requesting daemon crashes.
"""

import dataclasses
import enum
from collections.abc import Sequence

from lacewingdrum_coordination import runner_projections
from lacewingdrum_state import ids

# Memory that a group leaves free on each of its engines.
HEADROOM_TOKENS = 40_000


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Tokens of a prompt assigned to one engine."""

    runner_id: ids.RunnerId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """An assignment of a prompt's tokens to a lead and other engines.

    The lead runs the prompt. ``parts`` are the tokens of the other engines.
    """

    lead: runner_projections.RunnerProjection
    lead_tokens: int
    parts: tuple[Part, ...]


def capacity_tokens(
    candidates: Sequence[runner_projections.RunnerProjection],
) -> int:
    """Return the tokens that all candidates could hold if they were idle."""
    return sum(
        max(0, projection.kv_capacity_tokens - HEADROOM_TOKENS)
        for projection in candidates
    )


def plan(
    candidates: Sequence[runner_projections.RunnerProjection],
    total_tokens: int,
    now_s: float,
) -> Plan | None:
    """Divide a prompt among the engines with the most free memory.

    The engine with the shortest queues becomes the lead.

    Args:
        candidates: engines that may take part.
        total_tokens: tokens of the prompt and its answer.
        now_s: current time.

    Returns:
        The plan with its parts in the order of runner ids, or None if the
        candidates together have too little free memory.
    """
    by_free_memory = sorted(
        candidates,
        key=lambda projection: (-projection.free_tokens(), projection.runner.runner_id),
    )
    held_tokens_by_runner: dict[ids.RunnerId, int] = {}
    members: list[runner_projections.RunnerProjection] = []
    unplaced_tokens = total_tokens
    for projection in by_free_memory:
        held_tokens = min(unplaced_tokens, projection.free_tokens() - HEADROOM_TOKENS)
        if held_tokens <= 0:
            break
        members.append(projection)
        held_tokens_by_runner[projection.runner.runner_id] = held_tokens
        unplaced_tokens -= held_tokens
    if unplaced_tokens > 0:
        return None
    lead = min(members, key=lambda projection: sum(projection.queued_tokens(now_s)))
    lead_tokens = held_tokens_by_runner.pop(lead.runner.runner_id)
    parts = tuple(
        Part(runner_id, held_tokens_by_runner[runner_id])
        for runner_id in sorted(held_tokens_by_runner)
    )
    return Plan(lead, lead_tokens, parts)


class ReservationState(enum.Enum):
    """State of a group's reservation."""

    ASKING = "asking"
    HELD = "held"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ReserveMemory:
    """Ask the coordinator of a runner to reserve memory."""

    part: Part


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseMemory:
    """Ask the coordinator of a runner to release reserved memory."""

    part: Part


Action = ReserveMemory | ReleaseMemory


class GroupReservation:
    """One prompt's reservations, requested in the order of runner ids."""

    def __init__(self, parts: Sequence[Part]) -> None:
        """Store the parts; ``start`` requests the first one.

        Args:
            parts: tokens to reserve on each engine, including the lead.
        """
        self._parts = sorted(parts, key=lambda part: part.runner_id)
        self._granted: list[Part] = []
        self.state = ReservationState.ASKING

    def start(self) -> tuple[Action, ...]:
        """Return the first request."""
        return self._reserve_next()

    def on_reply(self, runner_id: ids.RunnerId, is_granted: bool) -> tuple[Action, ...]:
        """Handle a coordinator's reply; a missing reply counts as a refusal.

        Args:
            runner_id: the runner whose memory was requested.
            is_granted: whether the memory was reserved.

        Returns:
            The next request, or the releases after a refusal. A grant that
            arrives after a refusal or release is released.
        """
        position = len(self._granted)
        expected = self._parts[position] if position < len(self._parts) else None
        if self.state is not ReservationState.ASKING or expected is None:
            return self._release_late(runner_id, is_granted)
        if expected.runner_id != runner_id:
            return ()
        if not is_granted:
            self.state = ReservationState.REFUSED
            return self._release_granted((expected,))
        self._granted.append(expected)
        if len(self._granted) == len(self._parts):
            self.state = ReservationState.HELD
            return ()
        return self._reserve_next()

    def release(self) -> tuple[Action, ...]:
        """Return the releases of all memory that may be reserved."""
        position = len(self._granted)
        unconfirmed: tuple[Part, ...] = ()
        if self.state is ReservationState.ASKING:
            unconfirmed = tuple(self._parts[position : position + 1])
        self.state = ReservationState.REFUSED
        return self._release_granted(unconfirmed)

    def _reserve_next(self) -> tuple[Action, ...]:
        return (ReserveMemory(self._parts[len(self._granted)]),)

    def _release_granted(self, unconfirmed: tuple[Part, ...]) -> tuple[Action, ...]:
        # A coordinator that did not reply may have granted the memory, so it
        # gets a release too.
        released = tuple(ReleaseMemory(part) for part in (*self._granted, *unconfirmed))
        self._granted = []
        return released

    def _release_late(
        self, runner_id: ids.RunnerId, is_granted: bool
    ) -> tuple[Action, ...]:
        if self.state is not ReservationState.REFUSED or not is_granted:
            return ()
        late = [part for part in self._parts if part.runner_id == runner_id]
        return tuple(ReleaseMemory(part) for part in late)
