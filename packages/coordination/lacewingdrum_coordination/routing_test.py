"""Tests of the routing decision."""

import collections
import random

from lacewingdrum_coordination import prefixes, priorities, routing
from lacewingdrum_state import documents, fleet, ids, requests, states

SERVICE = ids.ServiceName("meiler-llm")
HERE = ids.DataCentre("bayern-a")
THERE = ids.DataCentre("bayern-b")
WEIGHTS = documents.Weights()


def make_runner(number, data_centre=HERE, state=states.MemberState.LIVE):
    return fleet.Runner(
        ids.RunnerId(f"r{number:04}"),
        SERVICE,
        data_centre,
        fleet.Address("127.0.0.1", 1),
        ids.Incarnation(1),
        state,
    )


def make_load(number, short=0, mid=0, long=0, kv_used=0, as_of_s=0.0):
    runner_id = ids.RunnerId(f"r{number:04}")
    return fleet.RunnerLoad(
        runner_id, as_of_s, short, mid, long, 0, kv_used, 400_000, 10_000.0, 50.0
    )


def make_request(prompt_tokens, name="q", patience_s=600.0, now_s=0.0, **fields):
    return requests.Request(
        ids.RequestId(name),
        SERVICE,
        ids.CustomerId("burner"),
        ids.KindName("question"),
        prompt_tokens,
        20,
        now_s,
        now_s + patience_s,
        **fields,
    )


def make_router(loads, policy=None, count=None):
    router = routing.Router(HERE, random.Random(1), policy or routing.Policy())
    router.set_runners(make_runner(number) for number in range(count or len(loads)))
    for each in loads:
        router.observe_load(each)
    return router


def send(router, request, decision, now_s):
    in_flight = requests.InFlightAttempt(
        ids.AttemptId(request.request_id + ".1"),
        decision.runner.runner_id,
        request.prompt_tokens,
        request.total_tokens,
        now_s,
    )
    router.sent(request, in_flight)
    return in_flight


def choose(router, request, now_s=0.0, excluded=frozenset()):
    return router.choose(request, WEIGHTS, now_s, excluded)


def test_short_requests_wait_only_for_work_of_their_own_priority():
    router = make_router([make_load(0, short=20_000), make_load(1, long=300_000)])
    decision = choose(router, make_request(2_000))
    assert decision.runner.runner_id == "r0001"
    assert decision.priority == priorities.SHORT
    assert choose(router, make_request(50_000)).runner.runner_id == "r0001"


def test_attempts_sent_since_the_last_report_count_exactly_once():
    router = make_router([make_load(0), make_load(1)])
    first = make_request(50_000, "a")
    decision = choose(router, first, 0.5)
    send(router, first, decision, 0.5)
    other = choose(router, make_request(50_000, "b"), 0.5)
    assert other.runner != decision.runner
    number = int(decision.runner.runner_id[1:])
    router.observe_load(make_load(number, mid=45_000, as_of_s=1.0))
    estimate = next(
        each
        for each in choose(router, make_request(2_000, "c"), 1.0).estimates
        if each.runner_id == decision.runner.runner_id
    )
    assert estimate.first_token_s < 0.5
    again = choose(router, make_request(50_000, "d", patience_s=5.9), 1.0)
    assert again.runner != decision.runner


def test_requests_are_spread_over_near_best_runners():
    router = make_router([make_load(number) for number in range(8)])
    counts = collections.Counter(
        choose(router, make_request(2_000, str(number))).runner.runner_id
        for number in range(800)
    )
    assert len(counts) == 8
    assert min(counts.values()) > 60


def test_long_prompts_avoid_some_runners_under_short_demand():
    router = make_router([make_load(number) for number in range(9)])
    for number in range(200):
        request = make_request(2_000, f"s{number}", now_s=number / 100)
        send(router, request, choose(router, request, number / 100), number / 100)
    for turn in range(1, 30):
        for number in range(9):
            router.observe_load(make_load(number, short=2_000, as_of_s=float(turn)))
    used = {
        choose(router, make_request(150_000, f"l{number}"), 30.0).runner.runner_id
        for number in range(300)
    }
    assert 6 <= len(used) < 9


def test_excluded_leaving_and_full_runners_are_not_chosen():
    router = make_router([make_load(0), make_load(1), make_load(2, kv_used=399_000)])
    excluded = frozenset({ids.RunnerId("r0000")})
    for number in range(20):
        request = make_request(2_000, str(number))
        assert choose(router, request, excluded=excluded).runner.runner_id == "r0001"
    leaving = states.MemberState.LEAVING
    router.set_runners([make_runner(0, state=leaving), make_runner(1, state=leaving)])
    assert choose(router, make_request(2_000)).reason is routing.Reason.NO_RUNNER


def test_ejected_runners_are_not_chosen_until_the_ejection_ends():
    router = make_router([make_load(number) for number in range(4)])
    ejections = router.ejections(SERVICE)
    for _ in range(3):
        ejections.observe_failure(ids.RunnerId("r0002"), 0.0)
    names = {
        choose(router, make_request(2_000, str(n))).runner.runner_id for n in range(80)
    }
    assert names == {"r0000", "r0001", "r0003"}
    late = {
        choose(router, make_request(2_000, str(n)), 11.0).runner.runner_id
        for n in range(80)
    }
    assert "r0002" in late


def test_a_request_goes_to_the_runner_that_caches_its_prefix():
    router = make_router([make_load(number) for number in range(4)])
    blocks = tuple(range(1, 21))
    changes = [prefixes.BlockChange(block, True) for block in blocks]
    router.observe_cache(ids.RunnerId("r0003"), changes)
    request = make_request(8_000, block_hashes=blocks)
    decision = choose(router, request)
    assert decision.runner.runner_id == "r0003"
    assert decision.cached_tokens == 20 * prefixes.BLOCK_TOKENS
    assert decision.reason is routing.Reason.CACHED_PREFIX


def test_a_prompt_too_large_for_one_engine_gets_a_group_in_id_order():
    router = make_router(
        [make_load(number, long=number * 1_000) for number in range(4)]
    )
    decision = choose(router, make_request(900_000))
    assert decision.reason is routing.Reason.GROUP
    names = [each.runner_id for each in decision.group]
    assert names == sorted(names)
    assert decision.runner.runner_id not in names
    lead_tokens = 900_020 - sum(decision.group_tokens)
    assert 0 < lead_tokens <= 400_000
    assert max(decision.group_tokens) <= 400_000
    full = make_router([make_load(number, kv_used=390_000) for number in range(4)])
    assert choose(full, make_request(900_000)).reason is routing.Reason.NO_MEMORY


def test_a_late_long_prompt_gets_a_higher_priority_if_its_worth_justifies_it():
    loads = [make_load(number, long=200_000) for number in range(3)]
    router = make_router(loads)
    patient = make_request(150_000, "a", patience_s=400.0, worth=80.0)
    assert choose(router, patient).priority == priorities.LONG
    pressed = make_request(150_000, "b", patience_s=25.0, worth=80.0)
    assert choose(router, pressed).priority == priorities.MID


def test_the_own_data_centre_is_preferred_until_it_is_slower():
    router = routing.Router(HERE, random.Random(1), routing.Policy(near_best_s=0.001))
    router.set_runners([make_runner(0), make_runner(1, THERE)])
    router.observe_load(make_load(0))
    router.observe_load(make_load(1))
    assert choose(router, make_request(2_000)).runner.runner_id == "r0000"
    router.observe_load(make_load(0, short=10_000, as_of_s=0.1))
    assert choose(router, make_request(2_000), 0.1).runner.runner_id == "r0001"


def test_a_decision_considers_a_bounded_number_of_runners():
    router = make_router([make_load(number) for number in range(1_100)])
    decision = choose(router, make_request(2_000))
    assert decision.runner is not None
    pool = router._pools[SERVICE]
    seen = pool.candidates(
        random.Random(1), priorities.SHORT, 0, frozenset(), prefixes.NO_HITS
    )
    assert len(seen) <= 20
    used = {
        choose(router, make_request(2_000, str(n))).runner.runner_id
        for n in range(2_000)
    }
    assert len(used) > 500


def test_a_prompt_that_needs_all_runners_gets_a_group_of_all():
    router = make_router([make_load(number) for number in range(3)])
    decision = choose(router, make_request(900_000))
    assert decision.reason is routing.Reason.GROUP
    assert len(decision.group) == 2


def test_too_large_and_no_memory_are_distinguished():
    idle = make_router([make_load(number) for number in range(3)])
    assert choose(idle, make_request(1_300_000)).reason is routing.Reason.TOO_LARGE
    full = make_router([make_load(number, kv_used=300_000) for number in range(3)])
    assert choose(full, make_request(900_000)).reason is routing.Reason.NO_MEMORY
