"""Chooses the runner of a plain service's request."""

import dataclasses
import random
from collections.abc import Sequence

from lacewingdrum_state import runner_entries

# Worth lost by each request that shares the slots, and by each that must wait.
SHARING_COST = 0.1
WAITING_COST = 0.5
TIE_BREAK_NOISE = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A runner, this daemon's work there, and the worth its failures cost."""

    entry: runner_entries.RunnerEntry
    in_flight: int
    penalty: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The runner with the least cost."""

    entry: runner_entries.RunnerEntry
    cost: float


def choose(candidates: Sequence[Candidate], rng: random.Random) -> Choice:
    """Choose the runner that loses the least worth.

    Args:
        candidates: one or more.
        rng: breaks ties.

    Returns:
        The choice.
    """
    return min(
        (
            Choice(item.entry, _cost(item) + rng.random() * TIE_BREAK_NOISE)
            for item in candidates
        ),
        key=lambda choice: choice.cost,
    )


def _cost(candidate: Candidate) -> float:
    slots = candidate.entry.slots
    waiting = max(candidate.in_flight + 1 - slots, 0)
    sharing = candidate.in_flight / slots
    return candidate.penalty + SHARING_COST * sharing + WAITING_COST * waiting
