"""What a replay is judged by, from the fates of its requests."""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from lacewingdrum_state import requests, states
from standins import replay_fleet, traces

CLASSES = (
    states.LengthClass.SHORT,
    states.LengthClass.MID,
    states.LengthClass.LONG,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """The figures of one run.

    Slowdowns are of the 95th percentile over the short requests, against
    the run without long prompts. ``worth_per_s`` counts what was completed
    while requests were arriving.
    """

    first_token_p95_s: tuple[float, float, float]
    short_completion_p95_s: float
    first_token_slowdown: float
    completion_slowdown: float
    worth: float
    worth_share: float
    worth_per_s: float
    refused: int
    late: int


def measure(
    header: traces.Header,
    fates: Sequence[replay_fleet.Fate],
    without_long: Sequence[replay_fleet.Fate],
) -> Measures:
    """Sum up one run.

    Args:
        header: the workload.
        fates: what became of each request.
        without_long: the same of the run without long prompts.

    Returns:
        The run's figures.
    """
    offered = sum(_worth(header, fate) for fate in fates)
    completed = [fate for fate in fates if fate.finished_s is not None]
    worth = sum(_worth(header, fate) for fate in completed)
    span_s = max(fate.arrived_s for fate in fates)
    in_span = [fate for fate in completed if (fate.finished_s or 0.0) <= span_s]
    refused = sum(1 for fate in fates if fate.refusal)
    short, bare = _shorts(fates), _shorts(without_long)
    return Measures(
        _first_token_p95s(fates),
        p95(_completion_s(short)),
        _ratio(p95(_first_token_s(short)), p95(_first_token_s(bare))),
        _ratio(p95(_completion_s(short)), p95(_completion_s(bare))),
        worth,
        worth / offered,
        sum(_worth(header, fate) for fate in in_span) / span_s,
        refused,
        len(fates) - len(completed) - refused,
    )


def p95(values: Iterable[float]) -> float:
    """Returns: the 95th percentile by nearest rank; not a number of none."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[math.ceil(0.95 * len(ordered)) - 1]


def _first_token_p95s(
    fates: Sequence[replay_fleet.Fate],
) -> tuple[float, float, float]:
    short, mid, long = (
        p95(_first_token_s(_of_class(fates, length_class))) for length_class in CLASSES
    )
    return short, mid, long


def _shorts(fates: Iterable[replay_fleet.Fate]) -> list[replay_fleet.Fate]:
    return _of_class(fates, states.LengthClass.SHORT)


def _of_class(
    fates: Iterable[replay_fleet.Fate], length_class: states.LengthClass
) -> list[replay_fleet.Fate]:
    return [
        fate
        for fate in fates
        if requests.length_class(fate.row.prompt_tokens) is length_class
    ]


def _first_token_s(fates: Iterable[replay_fleet.Fate]) -> list[float]:
    """List times to first token; what never came counts to its deadline."""
    times = []
    for fate in fates:
        if fate.refusal:
            continue
        seen_s = fate.deadline_s
        if fate.first_token_s is not None:
            seen_s = min(seen_s, fate.first_token_s)
        times.append(seen_s - fate.arrived_s)
    return times


def _completion_s(fates: Iterable[replay_fleet.Fate]) -> list[float]:
    """List times to the end; what never ended counts to its deadline."""
    return [
        (fate.deadline_s if fate.finished_s is None else fate.finished_s)
        - fate.arrived_s
        for fate in fates
        if not fate.refusal
    ]


def _worth(header: traces.Header, fate: replay_fleet.Fate) -> float:
    return header.kinds[fate.row.kind].worth


def _ratio(value: float, base: float) -> float:
    return value / base if base else math.nan
