"""Computes the measures of a replay from the outcomes of its requests."""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from lacewingdrum_state import requests, states
from standins import replay_fleet, traces

LENGTH_CLASSES = (
    states.LengthClass.SHORT,
    states.LengthClass.MID,
    states.LengthClass.LONG,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """The measures of one replay.

    A slowdown is the 95th percentile over the short requests, divided by that
    of the replay without long prompts. ``worth_per_s`` counts only requests
    that completed while other requests were still arriving.
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
    outcomes: Sequence[replay_fleet.RequestOutcome],
    without_long: Sequence[replay_fleet.RequestOutcome],
) -> Measures:
    """Compute the measures of one replay.

    Args:
        header: The workload.
        outcomes: The outcome of each request.
        without_long: The outcomes of the replay without long prompts.
    """
    offered = sum(_worth(header, outcome) for outcome in outcomes)
    completed = [outcome for outcome in outcomes if outcome.finished_s is not None]
    worth = sum(_worth(header, outcome) for outcome in completed)
    span_s = max(outcome.arrived_s for outcome in outcomes)
    in_span = [
        outcome for outcome in completed if (outcome.finished_s or 0.0) <= span_s
    ]
    refused = sum(1 for outcome in outcomes if outcome.refusal)
    short, short_without_long = _short_requests(outcomes), _short_requests(without_long)
    return Measures(
        _first_token_p95s(outcomes),
        p95(_completion_times_s(short)),
        _ratio(
            p95(_first_token_times_s(short)),
            p95(_first_token_times_s(short_without_long)),
        ),
        _ratio(
            p95(_completion_times_s(short)),
            p95(_completion_times_s(short_without_long)),
        ),
        worth,
        worth / offered,
        sum(_worth(header, outcome) for outcome in in_span) / span_s,
        refused,
        len(outcomes) - len(completed) - refused,
    )


def p95(values: Iterable[float]) -> float:
    """Return the 95th percentile by nearest rank, or NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[math.ceil(0.95 * len(ordered)) - 1]


def _first_token_p95s(
    outcomes: Sequence[replay_fleet.RequestOutcome],
) -> tuple[float, float, float]:
    short, mid, long = (
        p95(_first_token_times_s(_in_length_class(outcomes, length_class)))
        for length_class in LENGTH_CLASSES
    )
    return short, mid, long


def _short_requests(
    outcomes: Iterable[replay_fleet.RequestOutcome],
) -> list[replay_fleet.RequestOutcome]:
    return _in_length_class(outcomes, states.LengthClass.SHORT)


def _in_length_class(
    outcomes: Iterable[replay_fleet.RequestOutcome], length_class: states.LengthClass
) -> list[replay_fleet.RequestOutcome]:
    return [
        outcome
        for outcome in outcomes
        if requests.length_class(outcome.row.prompt_tokens) is length_class
    ]


def _first_token_times_s(
    outcomes: Iterable[replay_fleet.RequestOutcome],
) -> list[float]:
    """Return the times to first token, at most up to the deadline."""
    times = []
    for outcome in outcomes:
        if outcome.refusal:
            continue
        received_s = outcome.deadline_s
        if outcome.first_token_s is not None:
            received_s = min(received_s, outcome.first_token_s)
        times.append(received_s - outcome.arrived_s)
    return times


def _completion_times_s(outcomes: Iterable[replay_fleet.RequestOutcome]) -> list[float]:
    """Return the times to completion, or to the deadline if unfinished."""
    return [
        (outcome.deadline_s if outcome.finished_s is None else outcome.finished_s)
        - outcome.arrived_s
        for outcome in outcomes
        if not outcome.refusal
    ]


def _worth(header: traces.Header, outcome: replay_fleet.RequestOutcome) -> float:
    return header.kinds[outcome.row.kind].worth


def _ratio(value: float, base: float) -> float:
    return value / base if base else math.nan
