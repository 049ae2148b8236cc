"""Chooses the runner for a request to a plain service."""

import dataclasses
import random
from collections.abc import Sequence

from lacewingdrum_state import runner_entries

# Worth lost for each request in flight per slot of the runner.
SHARING_COST = 0.1
# Worth lost for each request that must wait for a slot.
WAITING_COST = 0.5
TIE_BREAK_NOISE = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A runner that may get the request.

    ``in_flight`` counts this daemon's requests there; ``penalty`` is the
    expected worth lost by the runner's failures and distance.
    """

    entry: runner_entries.RunnerEntry
    in_flight: int
    penalty: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen runner and its cost."""

    entry: runner_entries.RunnerEntry
    cost: float


def choose(candidates: Sequence[Candidate], rng: random.Random) -> Choice:
    """Choose the runner with the lowest cost.

    Args:
        candidates: at least one runner.
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
