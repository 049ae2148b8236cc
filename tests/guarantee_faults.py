"""Checks all pairs of faults on real processes under a verified load.

``python -m tests.guarantee_faults [FAULT FAULT]`` runs every pair, or one.
A trial starts a deployment, injects two faults during a load and ends them.
It then compares the responses to callers with the records of the runners.
"""

import argparse
import asyncio
import concurrent.futures
import dataclasses
import itertools
import multiprocessing
import os
import pathlib
import sys
import tempfile

from standins import calls, cluster, load, load_check
from tests import faults, whole_system

PARALLEL = 4
LOAD_S = 6.0
INJECT_S = 1.0
HEAL_S = 4.0
FREE_TIMEOUT_S = 45.0
SEED = 1
MS_PER_S = 1000
ENGINE_OPTIONS = ("--prefill-tokens-per-s", "100000", "--decode-step-s", "0.01")
PATIENCES_MS = {"15000": "4000", "60000": "9000", "600000": "25000", "10000": "3000"}
LOAD = load.LoadPlan(
    duration_s=LOAD_S,
    completions_per_s=8.0,
    service_calls_per_s=8.0,
    mid_share=0.1,
    long_share=0.03,
    first_tokens=(900_000,),
    max_answer_tokens=48,
)

Pair = tuple[faults.Fault, faults.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The result of one trial.

    ``latest_s`` is the greatest time by which a request ended after its
    patience, at daemons that were neither killed nor frozen. It is negative
    if all requests ended earlier.
    """

    pair: Pair
    request_count: int
    answered_count: int
    order_count: int
    freed_s: float
    violations: tuple[str, ...]
    latest_s: float = 0.0


def all_pairs() -> list[Pair]:
    """Return each pair of two different faults once."""
    return list(itertools.combinations(faults.Fault, 2))


async def run_pair(pair: Pair, folder: pathlib.Path, seed: int = SEED) -> Trial:
    """Run one trial.

    Args:
        pair: the faults that are active at the same time.
        folder: folder for settings and logs.
        seed: seed of the load.

    Returns:
        The result of the trial.
    """
    services = whole_system.write_documents(folder, PATIENCES_MS)
    plan = whole_system.plan(4, 2, ENGINE_OPTIONS)
    async with whole_system.running(plan, folder, folder) as deployment:
        callers = load.Load(deployment, services, LOAD, seed)
        await callers.start()
        affected = faults.AffectedDaemons()
        try:
            fault_task = asyncio.ensure_future(
                _inject_and_heal(pair, deployment, affected)
            )
            await callers.run()
            await fault_task
            freed_s = await load_check.wait_until_free(deployment, FREE_TIMEOUT_S)
            check_result = await load_check.check_load(
                deployment,
                callers.result,
                frozenset(affected.killed),
                affected.thawed_s,
            )
        finally:
            await callers.close()
    violations = list(check_result.violations)
    if freed_s == float("inf"):
        violations.append(f"memory still held after {FREE_TIMEOUT_S:g} s")
    outcomes = list(callers.result.outcomes)
    for attempts in callers.result.orders.values():
        outcomes += attempts
    answered = sum(outcome.end.value == "answered" for outcome in outcomes)
    return Trial(
        pair,
        len(outcomes),
        answered,
        check_result.orders_sent,
        freed_s,
        tuple(violations),
        _latest_s(outcomes, affected),
    )


def _latest_s(outcomes: list[calls.Outcome], affected: faults.AffectedDaemons) -> float:
    disturbed = affected.killed | affected.thawed_s.keys()
    return max(
        outcome.total_s - outcome.plan.kind.patience_ms / MS_PER_S
        for outcome in outcomes
        if outcome.daemon not in disturbed
    )


async def _inject_and_heal(
    pair: Pair, deployment: cluster.Cluster, affected: faults.AffectedDaemons
) -> None:
    await asyncio.sleep(INJECT_S)
    for fault in pair:
        await faults.inject(fault, deployment, affected)
    await asyncio.sleep(HEAL_S - INJECT_S)
    for fault in pair:
        await faults.heal(fault, deployment, affected)


def run_in_own_process(pair: Pair) -> Trial:
    """Return the result of one trial; an exception in it is a violation."""
    with tempfile.TemporaryDirectory(prefix="lacewingdrum-pair-") as name:
        try:
            return asyncio.run(run_pair(pair, pathlib.Path(name)))
        except Exception as error:
            text = f"the trial failed: {type(error).__name__} {error}"
            return Trial(pair, 0, 0, 0, 0.0, (text,))


def run_all(pairs: list[Pair]) -> list[Trial]:
    """Run the trials in parallel, each with its own processes."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(PARALLEL, context) as pool:
        trials = []
        for trial in pool.map(run_in_own_process, pairs):
            print(_format_trial(trial), flush=True)
            trials.append(trial)
        return trials


def _format_trial(trial: Trial) -> str:
    names = " + ".join(fault.value for fault in trial.pair)
    text = (
        f"{names}: {trial.request_count} requests, {trial.answered_count} answered, "
        f"{trial.order_count} orders, memory free after {trial.freed_s:.1f} s, "
        f"latest end {trial.latest_s:+.3f} s to its patience, "
        f"{len(trial.violations)} violations"
    )
    return "\n  ".join([text, *trial.violations[:5]])


def main() -> int:
    """Return 0 if no trial had a violation."""
    parser = argparse.ArgumentParser(prog="python -m tests.guarantee_faults")
    parser.add_argument("fault", nargs="*", type=faults.Fault, help="its value")
    wanted = set(parser.parse_args().fault)
    pairs = all_pairs()
    if wanted:
        pairs = [pair for pair in pairs if wanted <= set(pair)]
    trials = run_all(pairs)
    requests = sum(trial.request_count for trial in trials)
    violations = sum(len(trial.violations) for trial in trials)
    print(
        f"{len(trials)} pairs, {requests} requests, {violations} violations, "
        f"seed {SEED}, {os.cpu_count()} cores"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
