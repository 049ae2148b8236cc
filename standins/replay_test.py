"""Tests of the traces, and of a short replay against the targets."""

from lacewingdrum_state import requests, states
from standins import replay, replay_fleet, replay_measures, replay_policies, traces

NAMES = replay_policies.PolicyName


def test_stored_traces_equal_generated_traces():
    for header in traces.WORKLOADS:
        stored = traces.load(traces.path_of(header.workload))
        assert stored == traces.generate(header, traces.REQUEST_COUNT)


def test_prompt_lengths_are_within_the_required_bounds():
    for header in traces.WORKLOADS:
        rows = traces.load(traces.path_of(header.workload)).rows
        lengths = [row.prompt_tokens for row in rows]
        assert 1_000 <= min(lengths) < 1_100
        assert 700_000 < max(lengths) <= 1_000_000
        long_share = sum(length > 100_000 for length in lengths) / len(lengths)
        assert 0.015 <= long_share <= 0.025


def run_short_replay(policy, load=0.9):
    task = replay.Task("kazvintage", load, policy, 600, replay.SEED)
    return replay.run(task)[1]


def test_short_replay_reaches_the_target_outcomes():
    ours, fewest = run_short_replay(NAMES.OURS), run_short_replay(NAMES.FEWEST)
    targets = traces.KAZVINTAGE.outcomes
    assert ours.first_token_slowdown <= targets.max_short_slowdown
    bound = targets.max_ratio_to_fewest_in_flight * fewest.first_token_p95_s[0]
    assert ours.first_token_p95_s[0] <= bound
    assert ours.worth >= fewest.worth
    assert ours.late == 0


def test_replays_with_the_same_seed_are_equal():
    assert run_short_replay(NAMES.ROUND_ROBIN) == run_short_replay(NAMES.ROUND_ROBIN)


def test_no_engine_holds_memory_after_a_replay():
    full_trace = traces.load(traces.path_of("kazvintage"))
    trace = traces.Trace(full_trace.header, full_trace.rows[:600])
    fleet_replay = replay_fleet.Replay(replay_fleet.Plan(trace, 2.0, NAMES.OURS))
    outcomes = fleet_replay.run()
    assert len(outcomes) == 600
    assert all(held == {} for held in fleet_replay.held_memory().values())


def test_percentiles_use_the_nearest_rank():
    assert replay_measures.p95(range(1, 101)) == 95
    assert replay_measures.p95([3.0]) == 3.0
    short = states.LengthClass.SHORT
    assert requests.length_class(4_000) is short
