"""Tests of the traces, and a short replay against the stated outcomes."""

from lacewingdrum_state import requests, states
from standins import replay, replay_fleet, replay_measures, replay_policies, traces

NAMES = replay_policies.PolicyName


def test_the_trace_files_are_what_the_generator_makes():
    for header in traces.WORKLOADS:
        kept = traces.load(traces.path_of(header.workload))
        assert kept == traces.generate(header, traces.REQUEST_COUNT)


def test_lengths_are_as_the_issue_describes():
    for header in traces.WORKLOADS:
        rows = traces.load(traces.path_of(header.workload)).rows
        lengths = [row.prompt_tokens for row in rows]
        assert 1_000 <= min(lengths) < 1_100
        assert 700_000 < max(lengths) <= 1_000_000
        long_share = sum(length > 100_000 for length in lengths) / len(lengths)
        assert 0.015 <= long_share <= 0.025


def quick(policy, load=0.9):
    task = replay.Task("kazvintage", load, policy, 600, replay.SEED)
    return replay.run(task)[1]


def test_a_short_replay_reaches_the_stated_outcomes():
    ours, fewest = quick(NAMES.OURS), quick(NAMES.FEWEST)
    stated = traces.KAZVINTAGE.outcomes
    assert ours.first_token_slowdown <= stated.max_short_slowdown
    bound = stated.max_ratio_to_fewest_in_flight * fewest.first_token_p95_s[0]
    assert ours.first_token_p95_s[0] <= bound
    assert ours.worth >= fewest.worth
    assert ours.late == 0


def test_the_same_seed_gives_the_same_replay():
    assert quick(NAMES.ROUND_ROBIN) == quick(NAMES.ROUND_ROBIN)


def test_a_replay_leaves_no_memory_on_any_engine():
    whole = traces.load(traces.path_of("kazvintage"))
    trace = traces.Trace(whole.header, whole.rows[:600])
    played = replay_fleet.Replay(replay_fleet.Plan(trace, 2.0, NAMES.OURS))
    outcomes = played.run()
    assert len(outcomes) == 600
    assert all(held == {} for held in played.held_memory().values())


def test_percentiles_are_by_nearest_rank():
    assert replay_measures.p95(range(1, 101)) == 95
    assert replay_measures.p95([3.0]) == 3.0
    short = states.LengthClass.SHORT
    assert requests.length_class(4_000) is short
