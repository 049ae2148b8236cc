"""Formats the report that ``make demo`` prints."""

import collections
import statistics

from hdrh import histogram

from lacewingdrum_state import requests, states
from standins import calls, load, load_check

HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
PERCENTILES = (50, 95, 99)


def lines(
    result: load.LoadResult,
    alone: list[calls.Outcome],
    found: load_check.LoadCheckResult,
) -> list[str]:
    """Format the report of a load.

    Args:
        result: the outcomes that callers saw.
        alone: outcomes of short prompts that were sent to an idle fleet.
        found: the result of the check against the runners' records.

    Returns:
        The lines to print.
    """
    completions = [
        outcome
        for outcome in result.outcomes
        if isinstance(outcome.plan, calls.CompletionPlan)
    ]
    printed = ["", "Time to first token, streamed requests answered in full", ""]
    printed.append(f"{'length':8}{'count':>8}{'p50 s':>10}{'p95 s':>10}{'p99 s':>10}")
    for length in states.LengthClass:
        printed.append(_row(length.value, _first_tokens_s(completions, length)))
    printed += ["", *_slowdown_lines(completions, alone), *_worth_lines(completions)]
    printed += ["", *_end_lines("completions", completions)]
    reads = [outcome for outcome in result.outcomes if outcome not in completions]
    printed += _end_lines("reads", reads)
    printed.append(
        f"orders: {found.orders_sent} sent, {found.orders_effective} took effect, "
        f"{found.orders_refused} refused as not run"
    )
    if found.lost_at_killed:
        printed.append(
            f"in flight on the killed daemon and cut there: {found.lost_at_killed}"
        )
    return printed


def _length_class(outcome: calls.Outcome) -> states.LengthClass:
    assert isinstance(outcome.plan, calls.CompletionPlan)
    return requests.length_class(outcome.plan.prompt_tokens)


def _first_tokens_s(
    outcomes: list[calls.Outcome], length: states.LengthClass
) -> list[float]:
    return [
        outcome.first_token_s
        for outcome in outcomes
        if outcome.end is calls.End.ANSWERED
        and outcome.first_token_s is not None
        and _length_class(outcome) is length
    ]


def _percentiles_s(values_s: list[float]) -> list[float]:
    """Return the values at ``PERCENTILES`` in seconds."""
    found = histogram.HdrHistogram(
        HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS
    )
    for value_s in values_s:
        found.record_value(max(HISTOGRAM_MIN_US, int(value_s * US_PER_S)))
    return [found.get_value_at_percentile(rank) / US_PER_S for rank in PERCENTILES]


def _row(name: str, values_s: list[float]) -> str:
    if not values_s:
        return f"{name:8}{0:>8}{'-':>10}{'-':>10}{'-':>10}"
    cells = "".join(f"{value:>10.3f}" for value in _percentiles_s(values_s))
    return f"{name:8}{len(values_s):>8}{cells}"


def _slowdown_lines(
    completions: list[calls.Outcome], alone: list[calls.Outcome]
) -> list[str]:
    """Compare short prompts under load with short prompts sent alone."""
    idle_s = _first_tokens_s(alone, states.LengthClass.SHORT)
    loaded_s = _first_tokens_s(completions, states.LengthClass.SHORT)
    if not idle_s or not loaded_s:
        return ["slowdown of short requests: not measured"]
    base_s = statistics.median(idle_s)
    cells = ", ".join(
        f"p{rank} {value / base_s:.2f}"
        for rank, value in zip(PERCENTILES, _percentiles_s(loaded_s), strict=True)
    )
    return [
        f"slowdown of short requests: {cells} "
        f"(against {base_s:.3f} s, the median of {len(idle_s)} sent alone)"
    ]


def _worth_lines(completions: list[calls.Outcome]) -> list[str]:
    offered = sum(outcome.plan.kind.worth for outcome in completions)
    completed = sum(
        outcome.plan.kind.worth
        for outcome in completions
        if outcome.end is calls.End.ANSWERED
    )
    return [f"completed worth: {completed:g} of {offered:g} offered"]


def _end_lines(name: str, outcomes: list[calls.Outcome]) -> list[str]:
    counts = collections.Counter(
        f"{outcome.end.value} {outcome.code}".strip() for outcome in outcomes
    )
    cells = ", ".join(f"{count} {end}" for end, count in counts.most_common())
    return [f"{name}: {len(outcomes)} sent: {cells or 'none'}"]
