from lacewingdrum_coordination import engine_book, engine_load
from lacewingdrum_state import ids

ENGINE = ids.RunnerId("e1")
OTHER = ids.RunnerId("e2")
NORTH = ids.VmId("10.0.0.1:7")
SOUTH = ids.VmId("10.0.0.2:7")


def part(
    runner_id: ids.RunnerId = ENGINE, read_ms: float = 100.0, writes: bool = True
) -> engine_load.Work:
    return engine_load.Work(runner_id, read_ms, writes, 200.0, 300.0, 1.0, 5e3, 5_000)


def started(work_id: str, *parts: engine_load.Work, daemon: ids.VmId = NORTH):
    return engine_book.Started(work_id, daemon, parts or (part(),), 10_000.0)


def test_reading_queues_up_and_the_first_event_ends_it():
    book = engine_book.EngineBook()
    book.start(started("a"), 1.0)
    book.start(started("b"), 1.0)
    assert round(book.load(ENGINE).backlog_ms(1.0)) == 200
    assert round(book.load(ENGINE).backlog_ms(1.15)) == 50
    book.first_event("a", 1.06)
    assert round(book.load(ENGINE).backlog_ms(1.06)) == 100


def test_end_takes_every_part_away():
    book = engine_book.EngineBook()
    book.start(started("a", part(), part(OTHER, writes=False)), 1.0)
    book.end("a")
    book.end("a")
    assert not book.load(ENGINE).entries and not book.load(OTHER).entries


def test_work_of_a_dead_daemon_goes_and_that_of_others_stays():
    book = engine_book.EngineBook()
    book.start(started("a"), 1.0)
    book.start(started("b", daemon=SOUTH), 1.0)
    assert book.drop_daemon(NORTH) == 1
    assert set(book.load(ENGINE).entries) == {"b"}


def test_work_whose_end_was_never_heard_lapses():
    book = engine_book.EngineBook()
    book.start(started("a"), 1.0)
    assert book.drop_lapsed(11.9) == 0
    assert book.drop_lapsed(12.1) == 1 and not book.load(ENGINE).entries


def test_summary_for_a_newcomer_is_what_is_left():
    book = engine_book.EngineBook()
    book.start(started("a"), 1.0)
    book.start(started("b"), 1.0)
    book.first_event("a", 1.1)
    left = {work.work_id: work for work in book.work_of(NORTH, 1.1)}
    assert left["a"].parts[0].read_ms == 0 and left["b"].parts[0].read_ms == 100
    assert round(left["b"].parts[0].first_due_ms) == 200
    assert round(left["b"].left_ms) == 9_900
    assert book.has_first("a") and not book.has_first("b")
    assert not book.has_first("unknown")


def test_arrivals_are_those_of_the_last_second_that_write():
    book = engine_book.EngineBook()
    book.start(started("a", part(), part(OTHER, writes=False)), 1.0)
    book.start(started("b"), 1.8)
    assert len(book.arrivals(1.9)) == 2
    assert [item.started_s for item in book.arrivals(2.1)] == [1.8]


def test_request_that_is_sent_again_counts_once_and_not_for_itself():
    book = engine_book.EngineBook()
    for number in (1, 2, 3):
        name = engine_book.work_id("a", number)
        book.start(started(name), 1.0 + number / 10)
        book.end(name)
    book.start(started(engine_book.work_id("b", 1)), 1.0)
    assert len(book.arrivals(1.5)) == 2
    (other,) = book.arrivals(1.5, "a")
    assert other.started_s == 1.0
