"""Tests of the routing decision."""

import collections
import random

from lacewingdrum_coordination import prefixes, priorities, routing
from lacewingdrum_state import documents, fleet, ids, requests, states

SERVICE = ids.ServiceName("meiler-llm")
HERE = ids.DataCentre("bayern-a")
THERE = ids.DataCentre("bayern-b")
WEIGHTS = documents.Weights()


def runner(number, data_centre=HERE, state=states.MemberState.LIVE):
    return fleet.Runner(
        ids.RunnerId(f"r{number:04}"),
        SERVICE,
        data_centre,
        fleet.Address("127.0.0.1", 1),
        ids.Incarnation(1),
        state,
    )


def load(number, short=0, mid=0, long=0, kv_used=0, as_of_s=0.0):
    runner_id = ids.RunnerId(f"r{number:04}")
    return fleet.RunnerLoad(
        runner_id, as_of_s, short, mid, long, 0, kv_used, 400_000, 10_000.0, 50.0
    )


def request(prompt_tokens, name="q", patience_s=600.0, now_s=0.0, **fields):
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


def router(loads, policy=None, count=None):
    made = routing.Router(HERE, random.Random(1), policy or routing.Policy())
    made.set_runners(runner(number) for number in range(count or len(loads)))
    for each in loads:
        made.observe_load(each)
    return made


def sent(made, asked, decision, now_s):
    entry = requests.InFlightAttempt(
        ids.AttemptId(asked.request_id + ".1"),
        decision.runner.runner_id,
        asked.prompt_tokens,
        asked.total_tokens,
        now_s,
    )
    made.sent(asked, entry)
    return entry


def chosen(made, asked, now_s=0.0, excluded=frozenset()):
    return made.choose(asked, WEIGHTS, now_s, excluded)


def test_a_short_request_counts_only_what_runs_before_it():
    made = router([load(0, short=20_000), load(1, long=300_000)])
    decision = chosen(made, request(2_000))
    assert decision.runner.runner_id == "r0001"
    assert decision.priority == priorities.SHORT
    assert chosen(made, request(50_000)).runner.runner_id == "r0001"


def test_what_was_sent_since_the_report_is_counted_once():
    made = router([load(0), load(1)])
    first = request(50_000, "a")
    decision = chosen(made, first, 0.5)
    sent(made, first, decision, 0.5)
    other = chosen(made, request(50_000, "b"), 0.5)
    assert other.runner != decision.runner
    number = int(decision.runner.runner_id[1:])
    made.observe_load(load(number, mid=45_000, as_of_s=1.0))
    estimate = next(
        each
        for each in chosen(made, request(2_000, "c"), 1.0).estimates
        if each.runner_id == decision.runner.runner_id
    )
    assert estimate.first_token_s < 0.5
    again = chosen(made, request(50_000, "d", patience_s=5.9), 1.0)
    assert again.runner != decision.runner


def test_near_best_runners_share_the_choices():
    made = router([load(number) for number in range(8)])
    counts = collections.Counter(
        chosen(made, request(2_000, str(number))).runner.runner_id
        for number in range(800)
    )
    assert len(counts) == 8
    assert min(counts.values()) > 60


def test_long_prompts_stay_off_some_runners_once_shorts_ask():
    made = router([load(number) for number in range(9)])
    for number in range(200):
        asked = request(2_000, f"s{number}", now_s=number / 100)
        sent(made, asked, chosen(made, asked, number / 100), number / 100)
    for turn in range(1, 30):
        for number in range(9):
            made.observe_load(load(number, short=2_000, as_of_s=float(turn)))
    used = {
        chosen(made, request(150_000, f"l{number}"), 30.0).runner.runner_id
        for number in range(300)
    }
    assert 6 <= len(used) < 9


def test_an_excluded_leaving_or_full_runner_is_not_chosen():
    made = router([load(0), load(1), load(2, kv_used=399_000)])
    out = frozenset({ids.RunnerId("r0000")})
    for number in range(20):
        asked = request(2_000, str(number))
        assert chosen(made, asked, excluded=out).runner.runner_id == "r0001"
    leaving = states.MemberState.LEAVING
    made.set_runners([runner(0, state=leaving), runner(1, state=leaving)])
    assert chosen(made, request(2_000)).reason is routing.Reason.NO_RUNNER


def test_an_ejected_runner_is_not_chosen_until_its_time_is_over():
    made = router([load(number) for number in range(4)])
    ejections = made.ejections(SERVICE)
    for _ in range(3):
        ejections.observe_failure(ids.RunnerId("r0002"), 0.0)
    names = {chosen(made, request(2_000, str(n))).runner.runner_id for n in range(80)}
    assert names == {"r0000", "r0001", "r0003"}
    late = {
        chosen(made, request(2_000, str(n)), 11.0).runner.runner_id for n in range(80)
    }
    assert "r0002" in late


def test_a_cached_prefix_draws_a_request_to_its_runner():
    made = router([load(number) for number in range(4)])
    blocks = tuple(range(1, 21))
    changes = [prefixes.BlockChange(block, True) for block in blocks]
    made.observe_cache(ids.RunnerId("r0003"), changes)
    asked = request(8_000, block_hashes=blocks)
    decision = chosen(made, asked)
    assert decision.runner.runner_id == "r0003"
    assert decision.cached_tokens == 20 * prefixes.BLOCK_TOKENS
    assert decision.reason is routing.Reason.CACHED_PREFIX


def test_a_prompt_above_one_engine_gets_a_group_in_id_order():
    made = router([load(number, long=number * 1_000) for number in range(4)])
    decision = chosen(made, request(900_000))
    assert decision.reason is routing.Reason.GROUP
    names = [each.runner_id for each in decision.group]
    assert names == sorted(names)
    assert decision.runner.runner_id not in names
    lead_tokens = 900_020 - sum(decision.group_tokens)
    assert 0 < lead_tokens <= 400_000
    assert max(decision.group_tokens) <= 400_000
    full = router([load(number, kv_used=390_000) for number in range(4)])
    assert chosen(full, request(900_000)).reason is routing.Reason.NO_MEMORY


def test_a_long_prompt_that_would_be_late_is_raised_if_worth_it():
    loads = [load(number, long=200_000) for number in range(3)]
    made = router(loads)
    patient = request(150_000, "a", patience_s=400.0, worth=80.0)
    assert chosen(made, patient).priority == priorities.LONG
    pressed = request(150_000, "b", patience_s=25.0, worth=80.0)
    assert chosen(made, pressed).priority == priorities.MID


def test_a_near_data_centre_is_preferred_until_it_is_slower():
    made = routing.Router(HERE, random.Random(1), routing.Policy(near_best_s=0.001))
    made.set_runners([runner(0), runner(1, THERE)])
    made.observe_load(load(0))
    made.observe_load(load(1))
    assert chosen(made, request(2_000)).runner.runner_id == "r0000"
    made.observe_load(load(0, short=10_000, as_of_s=0.1))
    assert chosen(made, request(2_000), 0.1).runner.runner_id == "r0001"


def test_a_decision_looks_at_a_bounded_part_of_a_large_fleet():
    made = router([load(number) for number in range(1_100)])
    decision = chosen(made, request(2_000))
    assert decision.runner is not None
    pool = made._pools[SERVICE]
    seen = pool.candidates(
        random.Random(1), priorities.SHORT, 0, frozenset(), prefixes.NO_HITS
    )
    assert len(seen) <= 20
    used = {chosen(made, request(2_000, str(n))).runner.runner_id for n in range(2_000)}
    assert len(used) > 500


def test_a_prompt_that_fits_only_with_all_runners_takes_them_all():
    made = router([load(number) for number in range(3)])
    decision = chosen(made, request(900_000))
    assert decision.reason is routing.Reason.GROUP
    assert len(decision.group) == 2


def test_what_can_never_fit_is_told_from_what_does_not_fit_now():
    idle = router([load(number) for number in range(3)])
    assert chosen(idle, request(1_300_000)).reason is routing.Reason.TOO_LARGE
    full = router([load(number, kv_used=300_000) for number in range(3)])
    assert chosen(full, request(900_000)).reason is routing.Reason.NO_MEMORY
