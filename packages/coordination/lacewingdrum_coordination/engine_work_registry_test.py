from lacewingdrum_coordination import engine_load, engine_work_registry
from lacewingdrum_state import ids

ENGINE = ids.RunnerId("e1")
OTHER = ids.RunnerId("e2")
NORTH = ids.VmId("10.0.0.1:7")
SOUTH = ids.VmId("10.0.0.2:7")
WORK_IDS = engine_work_registry.WorkIds(NORTH, 1)


def part(
    runner_id: ids.RunnerId = ENGINE, read_ms: float = 100.0, writes: bool = True
) -> engine_load.Work:
    return engine_load.Work(runner_id, read_ms, writes, 200.0, 300.0, 1.0, 5e3, 5_000)


def started(work_id: str, *parts: engine_load.Work, daemon: ids.VmId = NORTH):
    return engine_work_registry.StartedWork(
        work_id, daemon, parts or (part(),), 10_000.0
    )


def test_backlog_sums_prefills_until_their_first_event():
    registry = engine_work_registry.EngineWorkRegistry()
    registry.start(started("a"), 1.0)
    registry.start(started("b"), 1.0)
    assert round(registry.load(ENGINE).backlog_ms(1.0)) == 200
    assert round(registry.load(ENGINE).backlog_ms(1.15)) == 50
    registry.record_first_event("a", 1.06)
    assert round(registry.load(ENGINE).backlog_ms(1.06)) == 100


def test_end_removes_every_part():
    registry = engine_work_registry.EngineWorkRegistry()
    registry.start(started("a", part(), part(OTHER, writes=False)), 1.0)
    registry.end("a")
    registry.end("a")
    assert not registry.load(ENGINE).entries and not registry.load(OTHER).entries


def test_work_that_names_an_engine_twice_can_be_ended():
    registry = engine_work_registry.EngineWorkRegistry()
    registry.start(started("a", part(), part()), 1.0)
    registry.record_first_event("a", 2.0)
    registry.end("a")
    assert not registry.load(ENGINE).entries


def test_drop_daemon_removes_only_the_work_of_that_daemon():
    registry = engine_work_registry.EngineWorkRegistry()
    registry.start(started("a"), 1.0)
    registry.start(started("b", daemon=SOUTH), 1.0)
    assert registry.drop_daemon(NORTH) == 1
    assert set(registry.load(ENGINE).entries) == {"b"}


def test_work_expires_if_its_end_is_not_reported():
    registry = engine_work_registry.EngineWorkRegistry()
    registry.start(started("a"), 1.0)
    assert registry.drop_expired(11.9) == 0
    assert registry.drop_expired(12.1) == 1 and not registry.load(ENGINE).entries


def test_remaining_work_leaves_out_what_is_done():
    registry = engine_work_registry.EngineWorkRegistry()
    registry.start(started("a"), 1.0)
    registry.start(started("b"), 1.0)
    registry.record_first_event("a", 1.1)
    remaining = {work.work_id: work for work in registry.remaining_work(NORTH, 1.1)}
    assert (
        remaining["a"].parts[0].read_ms == 0 and remaining["b"].parts[0].read_ms == 100
    )
    assert round(remaining["b"].parts[0].first_due_ms) == 200
    assert round(remaining["b"].left_ms) == 9_900
    assert registry.has_first_event("a") and not registry.has_first_event("b")
    assert not registry.has_first_event("unknown")


def test_arrivals_count_requests_of_the_last_second_once():
    registry = engine_work_registry.EngineWorkRegistry()
    registry.start(started("a", part(), part(OTHER, writes=False)), 1.0)
    registry.start(started("b"), 1.8)
    assert len(registry.arrivals(1.9)) == 2
    assert [item.started_s for item in registry.arrivals(2.1)] == [1.8]


def test_retried_request_is_one_arrival_and_can_be_excluded():
    registry = engine_work_registry.EngineWorkRegistry()
    for number in (1, 2, 3):
        name = WORK_IDS.next("a", number)
        registry.start(started(name), 1.0 + number / 10)
        registry.end(name)
    registry.start(started(WORK_IDS.next("b", 1)), 1.0)
    assert len(registry.arrivals(1.5)) == 2
    (other,) = registry.arrivals(1.5, "a")
    assert other.started_s == 1.0


def test_attempts_of_one_request_at_several_daemons_have_different_ids():
    sources = [
        engine_work_registry.WorkIds(daemon, incarnation)
        for daemon in (NORTH, SOUTH)
        for incarnation in (1, 2)
    ]
    names = [source.next("a:b", number) for source in sources for number in (1, 1, 2)]
    assert len(set(names)) == len(names)
    assert {engine_work_registry.request_id_of(name) for name in names} == {"a:b"}
    # Engines get them in a header whose entries "," and "/" divide.
    assert not set(",/ ") & set("".join(names))
