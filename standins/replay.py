"""Replays the traces under each policy and prints a table for each trace.

Run as ``python -m standins.replay``; ``--help`` lists the options.
"""

import argparse
import dataclasses
import itertools
import multiprocessing
import sys
import time
from collections.abc import Sequence

import msgspec

from standins import replay_fleet, replay_measures, replay_policies, traces

MAX_SLOWDOWN_LOAD = 1.0
LOADS = (0.6, 0.9, 1.0, 1.3, 2.0)
PROCESS_COUNT = 6
QUICK_REQUESTS = 1_000
SEED = 7
HEADING = (
    f"{'load':>4}  {'policy':<17} {'short s':>8} {'mid s':>8} {'long s':>8}"
    f" {'done s':>8}"
    f" {'first x':>8} {'done x':>8} {'worth':>8} {'share':>6} {'worth/s':>8}"
    f" {'refused':>8} {'late':>6}"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A replay that fills one row of a table."""

    workload: str
    load: float
    policy: replay_policies.PolicyName
    request_count: int
    seed: int
    trace_seed: int = 0


def run(task: Task) -> tuple[Task, replay_measures.Measures]:
    """Replay the trace of a task.

    Loads up to ``MAX_SLOWDOWN_LOAD`` are replayed a second time without the
    long prompts, as the base of the slowdowns.

    Args:
        task: The replay to run.

    Returns:
        The task and its measures.
    """
    full_trace = traces.load(traces.path_of(task.workload))
    if task.trace_seed:
        header = msgspec.structs.replace(full_trace.header, seed=task.trace_seed)
        full_trace = traces.generate(header, len(full_trace.rows))
    trace = traces.Trace(full_trace.header, full_trace.rows[: task.request_count])
    plan = replay_fleet.Plan(trace, task.load, task.policy, seed=task.seed)
    outcomes = replay_fleet.Replay(plan).run()
    without_long = []
    if task.load <= MAX_SLOWDOWN_LOAD:
        plan_without_long = dataclasses.replace(plan, without_long=True)
        without_long = replay_fleet.Replay(plan_without_long).run()
    return task, replay_measures.measure(trace.header, outcomes, without_long)


def run_all(
    tasks: Sequence[Task], processes: int
) -> dict[Task, replay_measures.Measures]:
    """Run the tasks in worker processes, starting with the highest loads."""
    ordered = sorted(tasks, key=lambda task: -task.load)
    if processes <= 1:
        return dict(run(task) for task in ordered)
    with multiprocessing.Pool(processes) as pool:
        return dict(pool.imap_unordered(run, ordered))


def format_row(task: Task, measures: replay_measures.Measures) -> str:
    """Return one row of a table."""
    short_s, mid_s, long_s = measures.first_token_p95_s
    return (
        f"{task.load:>4}  {task.policy.value:<17}"
        f" {short_s:>8.3f} {mid_s:>8.2f} {long_s:>8.1f}"
        f" {measures.short_completion_p95_s:>8.2f}"
        f" {measures.first_token_slowdown:>8.2f} {measures.completion_slowdown:>8.2f}"
        f" {measures.worth:>8.0f} {measures.worth_share:>6.3f}"
        f" {measures.worth_per_s:>8.2f}"
        f" {measures.refused:>8} {measures.late:>6}"
    )


def format_table(
    workload: str, results: dict[Task, replay_measures.Measures]
) -> list[str]:
    """Return the lines of one workload's table."""
    lines = [f"trace {workload}", HEADING]
    rows = sorted(
        (task for task in results if task.workload == workload),
        key=lambda task: (
            task.load,
            list(replay_policies.PolicyName).index(task.policy),
        ),
    )
    lines.extend(format_row(task, results[task]) for task in rows)
    return lines


def compare_with_targets(
    header: traces.Header, results: dict[Task, replay_measures.Measures]
) -> list[str]:
    """Compare the measures with the trace's targets.

    Args:
        header: The header of the trace.
        results: The measures of the replays that were run.

    Returns:
        A line for each target whose replays were run.
    """
    by_key = {
        (task.load, task.policy): measures
        for task, measures in results.items()
        if task.workload == header.workload
    }
    targets = header.outcomes
    ours, fewest = replay_policies.PolicyName.OURS, replay_policies.PolicyName.FEWEST
    lines = []

    def compare(text: str, value: float, bound: float, at_most: bool) -> None:
        met = value <= bound if at_most else value >= bound
        sign = "<=" if at_most else ">="
        result = "met" if met else "MISSED"
        lines.append(f"{result:<7} {text}: {value:.3f} {sign} {bound}")

    at_load = by_key.get((targets.slowdown_load, ours))
    if at_load is not None:
        first, done = at_load.first_token_slowdown, at_load.completion_slowdown
        compare("short slowdown, first token", first, targets.max_short_slowdown, True)
        compare("short slowdown, completion", done, targets.max_short_slowdown, True)
        if (targets.slowdown_load, fewest) in by_key:
            other = by_key[(targets.slowdown_load, fewest)]
            ratio = at_load.first_token_p95_s[0] / other.first_token_p95_s[0]
            bound = targets.max_ratio_to_fewest_in_flight
            compare("short first token to fewest-in-flight", ratio, bound, True)
    for (load, policy), other in sorted(by_key.items(), key=lambda item: item[0][0]):
        if policy is ours or (load, ours) not in by_key:
            continue
        ratio = by_key[(load, ours)].worth / other.worth
        bound = targets.min_worth_ratio_to_baselines
        compare(f"worth at {load} to {policy.value}", ratio, bound, False)
    if (1.0, ours) in by_key and (2.0, ours) in by_key:
        ratio = by_key[(2.0, ours)].worth_per_s / by_key[(1.0, ours)].worth_per_s
        bound = targets.min_worth_ratio_at_twice_capacity
        compare("worth/s at 2.0 to 1.0", ratio, bound, False)
    return lines


def main() -> int:
    """Print the tables and return 0, also if a target is missed."""
    parser = argparse.ArgumentParser(prog="python -m standins.replay")
    names = [header.workload for header in traces.WORKLOADS]
    policies = [policy.value for policy in replay_policies.PolicyName]
    parser.add_argument("--trace", choices=names, action="append")
    parser.add_argument("--policy", choices=policies, action="append")
    parser.add_argument("--load", type=float, action="append")
    parser.add_argument("--seed", type=int, default=SEED)
    text = "make a trace of this seed in place of the file"
    parser.add_argument("--trace-seed", type=int, default=0, help=text)
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    loads: tuple[float, ...] = LOADS
    count = sys.maxsize
    if arguments.quick:
        loads, count = (0.9,), QUICK_REQUESTS
    tasks = [
        Task(
            name,
            load,
            replay_policies.PolicyName(policy),
            count,
            arguments.seed,
            arguments.trace_seed,
        )
        for name, load, policy in itertools.product(
            arguments.trace or names,
            arguments.load or loads,
            arguments.policy or policies,
        )
    ]
    started_s = time.monotonic()
    results = run_all(tasks, PROCESS_COUNT)
    print(f"seed {arguments.seed}; short/mid/long s: p95 time to first token")
    print("done s: p95 time to the last token of shorts")
    print("first x, done x: p95 of shorts against the same trace without longs,")
    print("up to a load of 1.0")
    for header in traces.WORKLOADS:
        if header.workload not in (arguments.trace or names):
            continue
        print("\n" + "\n".join(format_table(header.workload, results)))
        print("\n".join(compare_with_targets(header, results)))
    print(f"\n{len(tasks)} rows in {time.monotonic() - started_s:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
