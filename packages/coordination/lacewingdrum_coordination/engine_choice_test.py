import random

from lacewingdrum_coordination import (
    engine_choice,
    engine_costs,
    engine_load,
    engine_work_registry,
)
from lacewingdrum_state import fleet, ids, runner_entries, states
from standins import engine_model

SHORT = engine_costs.Demand(5_000, 300, 300.0, 200.0, 1.0)
LONG = engine_costs.Demand(210_000, 300, 3_000.0, 800.0, 16.0)
COUNT = 9
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


def book_with_shorts(*per_engine: int) -> engine_work_registry.EngineWorkRegistry:
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
    demand, registry, count=COUNT, penalties=None, unwilling=(), only_first=None
):
    candidates = [
        engine_costs.Candidate(
            entry(number),
            registry.load(entry(number).runner_id),
            (penalties or {}).get(number, 0.0),
            may_decode=only_first in (None, number),
            may_help=number not in unwilling,
        )
        for number in range(count)
    ]
    return engine_choice.choose(
        engine_model.MODEL,
        demand,
        candidates,
        registry.arrivals(NOW_S),
        NOW_S,
        random.Random(1),
    )


def test_shorts_are_packed_and_leave_engines_free():
    choice = choose(SHORT, book_with_shorts(4, 0, 0, 0, 0, 0, 0, 0, 0))
    assert [item.runner_id for item in choice.entries] == ["e0"]


def test_full_engine_gets_no_further_short():
    choice = choose(SHORT, book_with_shorts(8, 0, 0, 0, 0, 0, 0, 0, 0))
    assert choice.entries[0].runner_id != "e0"


def test_long_is_read_by_several_that_have_no_shorts():
    choice = choose(LONG, book_with_shorts(5, 5, 0, 0, 0, 0, 0, 0, 0))
    chosen = {item.runner_id for item in choice.entries}
    assert len(chosen) >= 4 and not chosen & {"e0", "e1"}
    assert choice.first_event_ms < LONG.objective_left_ms * 0.8


def test_short_keeps_away_from_an_engine_that_reads():
    registry = book_with_shorts(4, 4, 0, 0, 0, 0, 0, 0, 0)
    work = engine_load.Work(ids.RunnerId("e0"), 900.0, False, 800.0, 3e3, 16.0, 2e5, 0)
    registry.start(
        engine_work_registry.StartedWork("l", ids.VmId("vm"), (work,), 9e3), NOW_S
    )
    assert choose(SHORT, registry).entries[0].runner_id == "e1"


def test_prompt_over_one_engines_memory_is_spread_or_refused():
    demand = engine_costs.Demand(900_000, 300, 3_000.0, 800.0, 60.0)
    choice = choose(demand, engine_work_registry.EngineWorkRegistry())
    assert choice.helper_memory_tokens > 0
    held = choice.helper_memory_tokens * (len(choice.entries) - 1)
    assert held + choice.work[0].memory_tokens >= 900_000
    assert choose(demand, engine_work_registry.EngineWorkRegistry(), count=1) is None


def test_failing_engine_is_avoided():
    choice = choose(SHORT, engine_work_registry.EngineWorkRegistry(), 2, {0: 0.8})
    assert choice.entries[0].runner_id == "e1"


def test_set_that_leaves_arrivals_no_slot_costs_their_loss():
    demand = engine_costs.Demand(860_000, 300, 3_000.0, 800.0, 60.0)
    calm = choose(demand, engine_work_registry.EngineWorkRegistry())
    busy_registry = book_with_shorts(6, 6, 6, 6, 6, 6, 6, 6, 6)
    for number in range(60):
        work = engine_load.Work(
            ids.RunnerId("e0"), 0.0, True, 200.0, 300.0, 1.0, 5e3, 0
        )
        started = engine_work_registry.StartedWork(
            f"x{number}", ids.VmId("vm"), (work,), 1e3
        )
        busy_registry.start(started, NOW_S - 0.5)
        busy_registry.end(f"x{number}")
    assert choose(demand, busy_registry).lost_worth > calm.lost_worth + 30


def test_engines_that_refuse_to_help_read_for_no_other():
    choice = choose(LONG, engine_work_registry.EngineWorkRegistry(), unwilling=range(5))
    chosen = {item.runner_id for item in choice.entries}
    assert len(chosen) > 1 and not chosen & {"e0", "e1", "e2", "e3", "e4"}


def test_engine_that_may_alone_write_does_also_if_it_helps_nobody():
    for unwilling in ((), (0,)):
        choice = choose(
            LONG,
            engine_work_registry.EngineWorkRegistry(),
            unwilling=unwilling,
            only_first=0,
        )
        assert choice.entries[0].runner_id == "e0" and len(choice.entries) > 1
    registry = book_with_shorts(8, 0)
    assert choose(SHORT, registry, only_first=0).entries[0].runner_id == "e0"


def test_many_engines_give_a_set_of_the_free_ones():
    busy = [6] * 60 + [0] * 40
    choice = choose(LONG, book_with_shorts(*busy), count=100)
    chosen = {int(item.runner_id[1:]) for item in choice.entries}
    assert len(chosen) >= 4 and min(chosen) >= 60
