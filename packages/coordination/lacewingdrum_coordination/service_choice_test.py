import collections
import random

from lacewingdrum_coordination import runner_roster_test, service_choice


def choose(*loads: tuple[int, float], seed: int = 1) -> str:
    candidates = [
        service_choice.Candidate(
            runner_roster_test.entry(f"r{number}"), in_flight, penalty
        )
        for number, (in_flight, penalty) in enumerate(loads)
    ]
    return service_choice.choose(candidates, random.Random(seed)).entry.runner_id


def test_choice_weighs_requests_in_flight_and_failures():
    assert choose((3, 0.0), (0, 0.0)) == "r1"
    assert choose((0, 0.6), (3, 0.0)) == "r1"
    assert choose((8, 0.0), (7, 0.3)) == "r1"


def test_ties_are_broken_at_random():
    picked = collections.Counter(
        choose((0, 0.0), (0, 0.0), (0, 0.0), seed=seed) for seed in range(300)
    )
    assert min(picked.values()) > 60
