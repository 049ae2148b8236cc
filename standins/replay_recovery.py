"""Measures how long decisions are worse after a restart of all daemons.

Run as ``python -m standins.replay_recovery``. Every 30 s, all daemons are
restarted without any state; requests are grouped by the time since the last
restart.
"""

import multiprocessing
from collections.abc import Sequence

from standins import replay_fleet, replay_measures, replay_policies, traces

LOAD = 0.9
RESTART_EVERY_S = 30.0
STEPS_S = (0.0, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0)


def run(workload: str) -> str:
    """Return the lines of one workload."""
    trace = traces.load(traces.path_of(workload))
    ours = replay_policies.PolicyName.OURS
    plan = replay_fleet.Plan(trace, LOAD, ours, restart_every_s=RESTART_EVERY_S)
    outcomes = replay_fleet.Replay(plan).run()
    overall = replay_measures.measure(trace.header, outcomes, ())
    lines = [
        f"trace {workload}: worth {overall.worth_share:.3f}, refused {overall.refused},"
        f" late {overall.late}"
    ]
    for from_s, to_s in zip(STEPS_S, STEPS_S[1:], strict=False):
        group = [
            outcome
            for outcome in outcomes
            if from_s <= outcome.arrived_s % RESTART_EVERY_S < to_s
            and outcome.arrived_s >= RESTART_EVERY_S
        ]
        lines.append(_line(trace.header, from_s, to_s, group))
    return "\n".join(lines)


def _line(
    header: traces.Header,
    from_s: float,
    to_s: float,
    outcomes: Sequence[replay_fleet.RequestOutcome],
) -> str:
    measures = replay_measures.measure(header, outcomes, ())
    short_s, mid_s, _ = measures.first_token_p95_s
    return (
        f"  {from_s:>4.0f} to {to_s:>2.0f} s  requests {len(outcomes):>5}"
        f"  short {short_s:6.3f} s  mid {mid_s:6.2f} s  late {measures.late:>3}"
    )


def main() -> None:
    """Print the measures of both workloads."""
    print(f"load {LOAD}, all daemons replaced every {RESTART_EVERY_S:.0f} s;")
    print("p95 time to first token by the time since then")
    names = [header.workload for header in traces.WORKLOADS]
    with multiprocessing.Pool(len(names)) as pool:
        for lines in pool.imap(run, names):
            print(lines)


if __name__ == "__main__":
    main()
