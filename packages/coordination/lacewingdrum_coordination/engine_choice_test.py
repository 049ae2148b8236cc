import random

from lacewingdrum_coordination import (
    engine_choice,
    engine_costs,
    engine_load,
    engine_work_registry,
)
from lacewingdrum_state import fleet, ids, runner_entries, states
from standins import engine_model

SHORT = engine_costs.RequestNeeds(5_000, 300, 300.0, 200.0, 1.0)
LONG = engine_costs.RequestNeeds(210_000, 300, 3_000.0, 800.0, 16.0)
ENGINE_COUNT = 9
NOW_S = 100.0


def entry(number: int) -> runner_entries.RunnerEntry:
    return runner_entries.RunnerEntry(
        ids.RunnerId(f"e{number}"),
        ids.ServiceName("model"),
        ids.DataCentre("north"),
        fleet.Address("10.0.0.1", 8_000 + number),
        8,
        states.MemberState.LIVE,
    )


def registry_with_short_requests(
    *per_engine: int,
) -> engine_work_registry.EngineWorkRegistry:
    registry = engine_work_registry.EngineWorkRegistry()
    for number, count in enumerate(per_engine):
        for index in range(count):
            work = engine_load.Work(
                entry(number).runner_id, 20.0, True, 200.0, 300.0, 1.0, 5e3, 5_300
            )
            work_id = f"{number}.{index}"
            started = engine_work_registry.StartedWork(
                work_id, ids.VmId("vm"), (work,), 10_000
            )
            registry.start(started, NOW_S - 1)
            registry.record_first_event(work_id, NOW_S - 1)
    return registry


def choose(
    needs,
    registry,
    count=ENGINE_COUNT,
    penalties=None,
    not_helping=(),
    only_decoder=None,
):
    candidates = [
        engine_costs.Candidate(
            entry(number),
            registry.load(entry(number).runner_id),
            (penalties or {}).get(number, 0.0),
            may_decode=only_decoder in (None, number),
            may_help=number not in not_helping,
        )
        for number in range(count)
    ]
    return engine_choice.choose(
        engine_model.MODEL,
        needs,
        candidates,
        registry.arrivals(NOW_S),
        NOW_S,
        random.Random(1),
    )


def test_short_requests_share_an_engine_so_that_others_stay_free():
    choice = choose(SHORT, registry_with_short_requests(4, 0, 0, 0, 0, 0, 0, 0, 0))
    assert [item.runner_id for item in choice.entries] == ["e0"]


def test_full_engine_gets_no_further_short_request():
    choice = choose(SHORT, registry_with_short_requests(8, 0, 0, 0, 0, 0, 0, 0, 0))
    assert choice.entries[0].runner_id != "e0"


def test_long_prompt_is_split_between_engines_without_short_requests():
    choice = choose(LONG, registry_with_short_requests(5, 5, 0, 0, 0, 0, 0, 0, 0))
    chosen = {item.runner_id for item in choice.entries}
    assert len(chosen) >= 4 and not chosen & {"e0", "e1"}
    assert choice.first_event_ms < LONG.objective_left_ms * 0.8


def test_short_request_avoids_an_engine_with_a_prefill_backlog():
    registry = registry_with_short_requests(4, 4, 0, 0, 0, 0, 0, 0, 0)
    work = engine_load.Work(ids.RunnerId("e0"), 900.0, False, 800.0, 3e3, 16.0, 2e5, 0)
    registry.start(
        engine_work_registry.StartedWork("l", ids.VmId("vm"), (work,), 9e3), NOW_S
    )
    assert choose(SHORT, registry).entries[0].runner_id == "e1"


def test_prompt_larger_than_one_engine_is_spread_or_has_no_choice():
    needs = engine_costs.RequestNeeds(900_000, 300, 3_000.0, 800.0, 60.0)
    choice = choose(needs, engine_work_registry.EngineWorkRegistry())
    assert choice.helper_memory_tokens > 0
    held = choice.helper_memory_tokens * (len(choice.entries) - 1)
    assert held + choice.work[0].memory_tokens >= 900_000
    assert choose(needs, engine_work_registry.EngineWorkRegistry(), count=1) is None


def test_failing_engine_is_avoided():
    choice = choose(SHORT, engine_work_registry.EngineWorkRegistry(), 2, {0: 0.8})
    assert choice.entries[0].runner_id == "e1"


def test_blocking_the_slots_of_arrivals_adds_their_loss():
    needs = engine_costs.RequestNeeds(860_000, 300, 3_000.0, 800.0, 60.0)
    idle = choose(needs, engine_work_registry.EngineWorkRegistry())
    busy_registry = registry_with_short_requests(6, 6, 6, 6, 6, 6, 6, 6, 6)
    for number in range(60):
        work = engine_load.Work(
            ids.RunnerId("e0"), 0.0, True, 200.0, 300.0, 1.0, 5e3, 0
        )
        started = engine_work_registry.StartedWork(
            f"x{number}", ids.VmId("vm"), (work,), 1e3
        )
        busy_registry.start(started, NOW_S - 0.5)
        busy_registry.end(f"x{number}")
    assert choose(needs, busy_registry).lost_worth > idle.lost_worth + 30


def test_engines_that_may_not_help_are_not_chosen_as_helpers():
    choice = choose(
        LONG, engine_work_registry.EngineWorkRegistry(), not_helping=range(5)
    )
    chosen = {item.runner_id for item in choice.entries}
    assert len(chosen) > 1 and not chosen & {"e0", "e1", "e2", "e3", "e4"}


def test_only_engine_that_may_decode_is_chosen_even_if_it_may_not_help():
    for not_helping in ((), (0,)):
        choice = choose(
            LONG,
            engine_work_registry.EngineWorkRegistry(),
            not_helping=not_helping,
            only_decoder=0,
        )
        assert choice.entries[0].runner_id == "e0" and len(choice.entries) > 1
    registry = registry_with_short_requests(8, 0)
    assert choose(SHORT, registry, only_decoder=0).entries[0].runner_id == "e0"


def test_long_prompt_is_given_to_the_idle_ones_of_many_engines():
    busy = [6] * 60 + [0] * 40
    choice = choose(LONG, registry_with_short_requests(*busy), count=100)
    chosen = {int(item.runner_id[1:]) for item in choice.entries}
    assert len(chosen) >= 4 and min(chosen) >= 60
