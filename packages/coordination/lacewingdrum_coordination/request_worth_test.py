from lacewingdrum_coordination import engine_times, request_worth
from standins import engine_model

MODEL = engine_model.MODEL
SHORT_MS, LONG_MS = 300.0, 3_000.0


def learnt(route: str, objective_ms: float, *prompts: int):
    worth = request_worth.RequestWorth()
    for prompt in prompts:
        worth.note(MODEL, route, objective_ms, prompt)
    return worth


def test_worth_follows_the_work_of_the_kind():
    shorts = learnt("s", SHORT_MS, *[5_000] * 20)
    longs = learnt("l", LONG_MS, *[210_000] * 20)
    assert 1.2 < shorts.of(MODEL, "s", 5_000) < 1.6
    assert 18 < longs.of(MODEL, "l", 210_000) < 26


def test_size_within_a_kind_counts_up_to_a_bound():
    longs = learnt("l", LONG_MS, *[210_000] * 20)
    usual = longs.of(MODEL, "l", 210_000)
    assert usual < longs.of(MODEL, "l", 420_000) < 2 * usual
    assert longs.of(MODEL, "l", 5_000_000) < 4.1 * usual


def test_first_prompt_is_not_taken_for_the_usual_one():
    longs = learnt("l", LONG_MS, 860_000)
    assert longs.of(MODEL, "l", 860_000) < 110


def test_tokens_read_is_the_inverse_of_the_reading_time():
    for limit_ms in (10.0, 300.0, 3_000.0, 30_000.0):
        tokens = engine_times.prefill_tokens_within(MODEL, limit_ms)
        assert abs(engine_times.prefill_ms(MODEL, int(tokens), 1) - limit_ms) < 0.5
