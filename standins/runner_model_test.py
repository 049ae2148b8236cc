"""Tests of the engine model."""

from hypothesis import given, settings, strategies
from result import Err, Ok

from lacewingdrum_protocol import runner_api
from standins import answers, runner_model

CONFIG = runner_model.RunnerConfig("r1")


def run_until_idle(model):
    """Advance from event to event and collect the progress reports."""
    reports = []
    while (event_s := model.next_event_s()) is not None:
        reports.extend(model.advance(event_s))
    return reports


def job(name, prompt_tokens, max_tokens=10, **fields):
    return runner_model.Job(name, prompt_tokens, max_tokens, **fields)


def test_first_token_comes_after_the_prefill_and_the_rest_at_the_decode_rate():
    model = runner_model.RunnerModel(CONFIG, 0.0)
    assert model.submit(job("a", 10_000), 0.0) == Ok(None)
    reports = run_until_idle(model)
    assert [(p.offset, p.token_count, p.finished) for p in reports] == [
        (0, 1, False),
        (1, 9, True),
    ]
    assert abs(reports[0].at_s - 1.0) < 1e-9
    assert abs(reports[1].at_s - 1.18) < 1e-9
    assert model.held == {}


def test_a_short_prompt_waits_for_at_most_one_chunk_of_a_long_one():
    model = runner_model.RunnerModel(CONFIG, 0.0)
    long_priority = runner_api.Priority.LONG
    model.submit(job("long", 300_000, priority=long_priority), 0.0)
    model.submit(job("short", 1_000), 5.0)
    first = next(p for p in run_until_idle(model) if p.attempt_id == "short")
    assert first.at_s < 5.0 + 0.2048 + 0.1 + 1e-9


def test_a_job_that_ended_inside_another_call_is_still_reported():
    for end_inside in (
        lambda model: model.cancel("other", 1.0),
        lambda model: model.submit(job("large", 500_000), 1.0),
        lambda model: model.load(1.0),
    ):
        model = runner_model.RunnerModel(CONFIG, 0.0)
        model.submit(job("a", 1, max_tokens=1), 0.0)
        end_inside(model)
        assert [(p.attempt_id, p.finished) for p in run_until_idle(model)] == [
            ("a", True)
        ]


def test_memory_limits_the_batch_and_a_cancel_frees_it():
    model = runner_model.RunnerModel(CONFIG, 0.0)
    model.submit(job("a", 300_000), 0.0)
    model.submit(job("b", 300_000), 0.0)
    assert list(model.held) == ["a"]
    too_large = model.submit(job("c", 500_000), 0.0)
    assert too_large == Err(runner_api.RefusalReason.MEMORY)
    assert model.cancel("a", 1.0) is runner_api.CancelState.CANCELLED
    model.advance(2.0)
    assert list(model.held) == ["b"]
    assert model.cancel("x", 2.0) is runner_api.CancelState.NOT_KNOWN


def test_imported_memory_is_held_until_the_cancel():
    model = runner_model.RunnerModel(CONFIG, 0.0)
    assert model.import_kv("a", 390_000, 0.0) == Ok(390_000)
    assert model.import_kv("a", 390_000, 0.0) == Ok(390_000)
    refused = model.import_kv("b", 20_000, 0.0)
    assert refused == Err(runner_api.RefusalReason.MEMORY)
    lead = runner_model.RunnerModel(CONFIG, 0.0)
    assert lead.submit(job("a", 700_000, held_elsewhere_tokens=390_000), 0.0).is_ok()
    assert lead.held == {"a": 310_010}
    model.cancel("a", 1.0)
    assert model.held == {}


def test_cached_blocks_need_no_prefill_and_events_are_delayed_with_gaps():
    config = runner_model.RunnerConfig("r1", cache_gap_every=3)
    model = runner_model.RunnerModel(config, 0.0)
    hashes = tuple(range(1, 11))
    model.submit(job("a", 2_560, block_hashes=hashes), 0.0)
    run_until_idle(model)
    assert model.cache_events(0, 0.5).events == ()
    answer = model.cache_events(0, 5.0)
    assert [event.seq for event in answer.events] == [1, 2, 4, 5, 7, 8, 10]
    model.submit(job("b", 2_600, block_hashes=hashes), 5.0)
    first = run_until_idle(model)[0]
    assert abs(first.at_s - 5.004) < 1e-9


def test_the_load_report_is_delayed_by_the_lag():
    model = runner_model.RunnerModel(CONFIG, 0.0)
    model.submit(job("a", 100_000), 0.3)
    assert model.load(0.4).queued_short_tokens == 0
    assert model.load(0.6).queued_short_tokens == 0
    assert model.load(1.0).age_ms == 1000
    answer = model.load(1.6)
    assert answer.age_ms >= 1000
    assert answer.held == (runner_api.HeldMemoryEntry("a", 100_010),)
    assert 90_000 < answer.queued_short_tokens <= 100_000


def test_a_resumed_answer_continues_the_token_sequence():
    model = runner_model.RunnerModel(CONFIG, 0.0)
    model.submit(job("a", 1_000, resume_offset=4), 0.0)
    reports = run_until_idle(model)
    assert reports[0].offset == 4
    assert sum(progress.token_count for progress in reports) == 6
    text = answers.answer_text("p", 0, 4) + answers.answer_text("p", 4, 6)
    assert text == answers.answer_text("p", 0, 10)


jobs = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 60_000),
        strategies.integers(1, 80),
        strategies.sampled_from(list(runner_api.Priority)),
        strategies.floats(0, 3),
    ),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(jobs, strategies.floats(0.01, 0.5), strategies.integers(0, 11))
def test_job_end_times_do_not_depend_on_how_often_the_model_advances(
    arrivals, step_s, cancelled
):
    ordered = sorted(arrivals, key=lambda arrival: arrival[3])

    def run_model(polled):
        config = runner_model.RunnerConfig("r1", kv_capacity_tokens=70_000)
        model = runner_model.RunnerModel(config, 0.0)
        now_s, ends, counts = 0.0, {}, {}

        def advance_to(until_s):
            for progress in model.advance(until_s):
                counts.setdefault(progress.attempt_id, []).append(progress)
                if progress.finished:
                    ends[progress.attempt_id] = progress.at_s

        for number, (prompt, tokens, priority, at_s) in enumerate(ordered):
            while polled and now_s + step_s < at_s:
                now_s += step_s
                advance_to(now_s)
                model.load(now_s)
            model.submit(job(str(number), prompt, tokens, priority=priority), at_s)
        model.cancel(str(cancelled), 3.0)
        now_s = 3.0
        while model.next_event_s() is not None:
            now_s = now_s + step_s if polled else model.next_event_s()
            advance_to(now_s)
        assert model.held == {}
        for progresses in counts.values():
            offset = 0
            for progress in progresses:
                assert progress.offset == offset
                offset += progress.token_count
        return ends

    polled_ends, event_driven_ends = run_model(True), run_model(False)
    assert polled_ends.keys() == event_driven_ends.keys()
    for name, end_s in polled_ends.items():
        assert abs(end_s - event_driven_ends[name]) < 1e-6
