"""Compares the answers that callers received with the runners' records."""

import asyncio
import dataclasses
import time
import types
from collections.abc import Mapping
from typing import Any

from lacewingdrum_state import states
from standins import calls, cluster, load

HELD_POLL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LoadCheckResult:
    """Result of a check; ``violations`` are broken guarantees."""

    violations: tuple[str, ...]
    lost_at_killed: int
    orders_sent: int
    orders_effective: int
    orders_refused: int


async def check_load(
    deployment: cluster.Cluster,
    result: load.LoadResult,
    killed: frozenset[str],
    thawed_s: Mapping[str, float] = types.MappingProxyType({}),
) -> LoadCheckResult:
    """Check the outcomes of a finished load.

    Args:
        deployment: the deployment that received the load.
        result: the outcomes that callers saw.
        killed: daemons that were killed on purpose.
        thawed_s: when daemons that were frozen on purpose were resumed, by
            VM id; a request with an earlier deadline must end by then plus
            the margins.

    Returns:
        The broken guarantees that the outcomes and records show, and counts.
    """
    records = {
        name: await deployment.record(process)
        for name, process in deployment.runners.items()
        if process.child.is_running
    }
    outcomes = list(result.outcomes)
    for order_outcomes in result.orders.values():
        outcomes += order_outcomes
    violations = []
    lost_at_killed = 0
    for outcome in outcomes:
        if outcome.end is calls.End.WRONG:
            violations.append(_label(outcome))
        elif outcome.end is calls.End.CONNECTION_LOST and outcome.daemon in killed:
            lost_at_killed += 1
        elif outcome.end is calls.End.CONNECTION_LOST:
            violations.append(_label(outcome))
    violations += [
        f"{_lateness_s(outcome, thawed_s):.3f} s late: {_label(outcome)}"
        for outcome in outcomes
        if outcome.end is not calls.End.CONNECTION_LOST
        and _lateness_s(outcome, thawed_s) > 0
    ]
    violations += _refused_but_run(outcomes, records)
    effects = _count_effects(records)
    violations += _order_violations(result, effects)
    return LoadCheckResult(
        violations=tuple(violations),
        lost_at_killed=lost_at_killed,
        orders_sent=len(result.orders),
        orders_effective=sum(1 for key in result.orders if effects.get(key)),
        orders_refused=sum(map(_are_all_refused, result.orders.values())),
    )


async def held_tokens(deployment: cluster.Cluster) -> int:
    """Return the tokens of memory that all engines hold now."""
    total = 0
    for process in deployment.runners.values():
        if not process.child.is_running:
            continue
        record = await deployment.record(process)
        total += sum(record.get("held", {}).values())
    return total


async def wait_until_free(deployment: cluster.Cluster, timeout_s: float) -> float:
    """Wait until no engine holds memory for any attempt.

    Args:
        deployment: the engines to check.
        timeout_s: the longest time to wait.

    Returns:
        The seconds that it took, or infinity after the timeout.
    """
    began_s = time.monotonic()
    while await held_tokens(deployment):
        if time.monotonic() - began_s > timeout_s:
            return float("inf")
        await asyncio.sleep(HELD_POLL_S)
    return time.monotonic() - began_s


def _lateness_s(outcome: calls.Outcome, thawed_s: Mapping[str, float]) -> float:
    margin_s = calls.ANSWER_MARGIN_S + calls.MEASURING_MARGIN_S
    latest_end_s = max(outcome.deadline_s, thawed_s.get(outcome.daemon, 0.0) + margin_s)
    return max(0.0, outcome.began_s + outcome.total_s - latest_end_s)


def _label(outcome: calls.Outcome) -> str:
    subject = "order"
    match outcome.plan:
        case calls.CompletionPlan():
            subject = f"prompt of {outcome.plan.prompt_tokens} tokens"
        case calls.ServicePlan(method=method, path=path):
            subject = f"{method} {path}"
    request = outcome.request_id or "no request id"
    return f"{subject} ({request} at {outcome.daemon}): {outcome.detail}"


def _refused_but_run(
    outcomes: list[calls.Outcome], records: dict[str, dict[str, Any]]
) -> list[str]:
    """Find requests that were answered as not run but did run."""
    ran: dict[str, str] = {}
    for name, record in records.items():
        for attempt_id in record.get("started", []) + record.get("attempts", []):
            ran[attempt_id.rpartition(".")[0]] = name
    return [
        f"answered as not run, but ran at {ran[outcome.request_id]}: {_label(outcome)}"
        for outcome in outcomes
        if outcome.is_refused and outcome.request_id in ran
    ]


def _count_effects(records: dict[str, dict[str, Any]]) -> dict[str, int]:
    effects: dict[str, int] = {}
    for record in records.values():
        for key, count in record.get("effects", {}).items():
            effects[key] = effects.get(key, 0) + count
    return effects


def _order_violations(result: load.LoadResult, effects: dict[str, int]) -> list[str]:
    found = []
    for key, count in effects.items():
        if count > 1:
            found.append(f"order {key} took effect {count} times")
    for key, order_outcomes in result.orders.items():
        is_answered = any(
            outcome.end is calls.End.ANSWERED for outcome in order_outcomes
        )
        if is_answered and not effects.get(key):
            found.append(f"order {key} was answered and had no effect")
        if _are_all_refused(order_outcomes) and effects.get(key):
            found.append(f"order {key} was refused as not run and took effect")
    return found


def _are_all_refused(order_outcomes: list[calls.Outcome]) -> bool:
    received = [
        outcome for outcome in order_outcomes if outcome.end is not calls.End.UNSENT
    ]
    return all(outcome.ran == states.Ran.NO.value for outcome in received)
