from lacewingdrum_coordination import engine_times, request_worth
from standins import engine_model

MODEL = engine_model.MODEL
SHORT_MS, LONG_MS = 300.0, 3_000.0


def worth_after(route: str, objective_ms: float, *prompts: int):
    worth = request_worth.RequestWorth()
    for prompt in prompts:
        worth.record(MODEL, route, objective_ms, prompt)
    return worth


def test_worth_grows_with_the_prefill_time_of_the_usual_prompt():
    shorts = worth_after("s", SHORT_MS, *[5_000] * 20)
    longs = worth_after("l", LONG_MS, *[210_000] * 20)
    assert 1.2 < shorts.estimate(MODEL, "s", 5_000) < 1.6
    assert 18 < longs.estimate(MODEL, "l", 210_000) < 26


def test_worth_grows_with_prompt_size_up_to_a_bound():
    longs = worth_after("l", LONG_MS, *[210_000] * 20)
    usual = longs.estimate(MODEL, "l", 210_000)
    assert usual < longs.estimate(MODEL, "l", 420_000) < 2 * usual
    assert longs.estimate(MODEL, "l", 5_000_000) < 4.1 * usual


def test_unusual_first_prompt_does_not_become_the_mean():
    longs = worth_after("l", LONG_MS, 860_000)
    assert longs.estimate(MODEL, "l", 860_000) < 110


def test_prefill_tokens_within_is_the_inverse_of_prefill_ms():
    for limit_ms in (10.0, 300.0, 3_000.0, 30_000.0):
        tokens = engine_times.prefill_tokens_within(MODEL, limit_ms)
        assert abs(engine_times.prefill_ms(MODEL, int(tokens), 1) - limit_ms) < 0.5
