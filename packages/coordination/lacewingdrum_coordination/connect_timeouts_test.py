from hypothesis import given, strategies

from lacewingdrum_coordination import connect_timeouts

MS = strategies.floats(0.0, 20_000.0)


@given(MS, MS)
def test_timeout_keeps_its_bounds(objective_ms, delay_ms):
    timeout_s = connect_timeouts.connect_timeout_s(objective_ms, delay_ms)
    minimum_s = connect_timeouts.TIMEOUT_MIN_S
    assert minimum_s <= timeout_s <= connect_timeouts.TIMEOUT_MAX_S


def test_urgent_request_has_time_for_another_runner():
    assert connect_timeouts.connect_timeout_s(300.0, 0.0) <= 0.15
    assert connect_timeouts.connect_timeout_s(6_000.0, 0.0) == 0.5


def test_far_runner_gets_the_time_of_a_handshake():
    assert connect_timeouts.connect_timeout_s(300.0, 40.0) > 0.15 + 2 * 0.04
