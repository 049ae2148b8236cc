from hypothesis import given, strategies

from lacewingdrum_coordination import engine_times, late_events
from standins import engine_model

MODEL = engine_model.MODEL


@given(strategies.integers(1, 400_000), strategies.floats(50.0, 5_000.0))
def test_second_engine_is_expected_in_time_and_only_for_late_events(tokens, limit_ms):
    window = late_events.resume_window(MODEL, tokens, limit_ms)
    if window is None:
        return
    pass_ms = engine_times.decode_pass_ms(MODEL, 1, tokens)
    prefill_ms = engine_times.prefill_ms(MODEL, tokens, 1)
    assert 2 * pass_ms <= window.from_ms < window.to_ms
    assert window.to_ms + pass_ms + prefill_ms < limit_ms
    assert prefill_ms <= late_events.PREFILL_SHARE_MAX * limit_ms


def test_lost_packet_is_noticed_before_its_retransmission_would_be_late():
    window = late_events.resume_window(MODEL, 5_000, 200.0)
    assert window is not None
    pass_ms = engine_times.decode_pass_ms(MODEL, 1, 5_000)
    assert window.is_due(window.from_ms, pass_ms)
    assert not window.is_due(pass_ms, pass_ms)
    # Afterwards a second engine would be late too.
    assert not window.is_due(window.to_ms + 1, pass_ms)


def test_pause_that_prefill_explains_is_waited_for():
    window = late_events.resume_window(MODEL, 5_000, 200.0)
    assert window is not None
    assert not window.is_due(window.from_ms, window.from_ms)


def test_long_prompt_is_not_read_again():
    assert late_events.resume_window(MODEL, 40_000, 250.0) is None


def test_stream_whose_pauses_may_be_hardly_longer_than_a_pass_is_left_alone():
    assert late_events.resume_window(MODEL, 500, 110.0) is None
