"""Measures how a flood of one customer's requests affects the others.

Run as ``python -m standins.replay_flood``. Each trace is replayed at
``LOAD``, and again with additional requests of one customer that alone would
use the capacity of the whole fleet.
"""

import multiprocessing

import msgspec

from lacewingdrum_state import states
from standins import replay_fleet, replay_measures, replay_policies, traces

LOAD = 0.6
FLOOD_LOAD = 1.0
FLOODING_CUSTOMER = 9
BOUND = 1.2


def add_flood(trace: traces.Trace) -> traces.Trace:
    """Merge a trace with the requests of a flood.

    The flood is another trace of the workload, with all its requests sent by
    one customer.

    Args:
        trace: The trace at a load of 1.0.

    Returns:
        The requests of both traces, in order of arrival.
    """
    header = msgspec.structs.replace(trace.header, seed=trace.header.seed + 100)
    flood = traces.generate(header, int(len(trace.rows) * FLOOD_LOAD / LOAD))
    span_ms = trace.rows[-1].at_ms
    factor = span_ms / flood.rows[-1].at_ms
    rows = [
        msgspec.structs.replace(
            row,
            at_ms=round(row.at_ms * factor),
            customer=FLOODING_CUSTOMER,
            session=-row.session,
        )
        for row in flood.rows
    ]
    merged = sorted([*trace.rows, *rows], key=lambda row: row.at_ms)
    return traces.Trace(trace.header, tuple(merged))


def run(task: tuple[str, replay_policies.PolicyName, bool]) -> list[float]:
    """Return the other customers' p95 by length, and their worth share."""
    workload, policy, with_flood = task
    trace = traces.load(traces.path_of(workload))
    if with_flood:
        trace = add_flood(trace)
    outcomes = replay_fleet.Replay(replay_fleet.Plan(trace, LOAD, policy)).run()
    others = [
        outcome for outcome in outcomes if outcome.row.customer != FLOODING_CUSTOMER
    ]
    measures = replay_measures.measure(trace.header, others, ())
    return [*measures.first_token_p95_s, measures.worth_share]


def main() -> None:
    """Print the other customers' measures without and with the flood."""
    ours, fewest = replay_policies.PolicyName.OURS, replay_policies.PolicyName.FEWEST
    tasks = [
        (header.workload, policy, with_flood)
        for header in traces.WORKLOADS
        for policy in (fewest, ours)
        for with_flood in (False, True)
    ]
    with multiprocessing.Pool(4) as pool:
        results = dict(zip(tasks, pool.map(run, tasks, chunksize=1), strict=True))
    names = [each.value for each in states.LengthClass]
    print(f"load {LOAD} and a flood of {FLOOD_LOAD}; p95 to first token of the others")
    for workload, policy, with_flood in tasks:
        if with_flood:
            continue
        without_flood = results[(workload, policy, False)]
        flood = results[(workload, policy, True)]
        times = "  ".join(
            f"{name} {before:.2f} -> {after:.2f} s ({after / before:.2f} x)"
            for name, before, after in zip(names, without_flood, flood, strict=False)
        )
        print(
            f"{workload:<11} {policy.value:<17} {times}  "
            f"worth {without_flood[3]:.3f} -> {flood[3]:.3f}"
        )


if __name__ == "__main__":
    main()
