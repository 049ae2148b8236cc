import random

from lacewingdrum_coordination import (
    cold_limits,
    engine_load,
    engine_work_registry,
    evacuation_register,
    runner_health,
    runner_limits,
    runner_roster,
    runner_roster_test,
    sharing_daemons,
)
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.runners import runner_candidates
from lacewingdrum_gateway.serving import plans, routing
from lacewingdrum_state import configurations, ids, requests
from standins import engine_model

MODEL = runner_roster_test.MODEL
NOW_S = 100.0
ENGINES = 8
LARGE_TOKENS = 576_744


class StatedSpeeds:
    """Slowdowns of engines that all run at their stated speed."""

    def slowdown(self, runner_id: ids.RunnerId) -> float:
        return 1.0


def planner(engine_work: engine_work_registry.EngineWorkRegistry) -> routing.Planner:
    roster = runner_roster.RunnerRoster()
    entries = [runner_roster_test.entry(f"e{number}") for number in range(ENGINES)]
    roster.apply(runner_roster_test.listed(1, *entries), NOW_S)
    data_centre = ids.DataCentre("north")
    peers = peer_table.PeerTable(ids.VmId("10.0.0.1:7"), data_centre)
    candidates = runner_candidates.RunnerCandidates(
        roster,
        runner_health.RunnerHealth(),
        runner_limits.RunnerLimits(),
        cold_limits.ColdLimits(
            sharing_daemons.SharingDaemons(peers.own_address, data_centre, 0.0),
            cold_limits.Overage(1.0, 0.0),
        ),
        peers,
        data_centre,
        lambda: NOW_S,
        evacuation_register.EvacuationRegister(),
    )
    return routing.Planner(
        candidates,
        engine_work,
        StatedSpeeds(),
        lambda: NOW_S,
        random.Random(1),
        peers,
    )


def large_request() -> plans.RoutedRequest:
    caller_headers = requests.CallerHeaders(
        attempt_id="a1",
        patience_ms=15_000,
        credential="",
        prompt_tokens=LARGE_TOKENS,
        answer_tokens=800,
        last_event_id="",
    )
    route = configurations.Route(
        name="digest",
        host="site.example",
        path_prefix="/digest/",
        kind=configurations.RouteKind.STREAM,
        objective_ms=3_000.0,
        pause_objective_ms=800.0,
        timeout_ms=15_000.0,
        priority=1,
        shares=(configurations.ServiceShare(MODEL, 1.0),),
        max_attempts=2,
        is_public=True,
        is_resumable=True,
    )
    service = configurations.Service(MODEL, engine_model.MODEL)
    return plans.RoutedRequest(
        service, route, None, caller_headers, NOW_S, NOW_S + 15.0
    )


def busy_engine_work() -> engine_work_registry.EngineWorkRegistry:
    """Return work that fills every engine with short answers."""
    engine_work = engine_work_registry.EngineWorkRegistry()
    for number in range(ENGINES):
        for index in range(8):
            work = engine_load.Work(
                ids.RunnerId(f"e{number}"), 20.0, True, 200.0, 300.0, 2.0, 5e3, 5_300
            )
            name = f"{number}.{index}"
            started = engine_work_registry.StartedWork(
                name, ids.VmId("vm"), (work,), 9_000.0
            )
            engine_work.start(started, NOW_S - 1)
            engine_work.record_first_event(name, NOW_S - 1)
    return engine_work


def test_prompt_that_costs_others_too_much_is_refused_at_every_attempt():
    busy = planner(busy_engine_work())
    for excluded in (set(), {ids.RunnerId("e0")}):
        assert isinstance(busy.plan(large_request(), excluded), plans.TooCostly)


def test_prompt_that_may_have_run_is_not_refused():
    busy = planner(busy_engine_work())
    plan = busy.plan(large_request(), {ids.RunnerId("e0")}, may_refuse=False)
    assert isinstance(plan, plans.Plan)


def test_prompt_without_interference_is_planned():
    idle = planner(engine_work_registry.EngineWorkRegistry())
    assert isinstance(idle.plan(large_request(), set()), plans.Plan)
