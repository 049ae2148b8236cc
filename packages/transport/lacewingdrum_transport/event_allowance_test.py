from lacewingdrum_transport import event_allowance

EVENTS_MIN = event_allowance.EVENTS_MIN


def test_answers_may_have_many_events_that_are_not_tiny():
    allowance = event_allowance.EventAllowance(lambda: 0.0)
    allowance.count(100 * EVENTS_MIN, 800 * EVENTS_MIN)
    assert not allowance.is_exceeded


def test_tiny_events_are_allowed_at_the_pace_of_a_sound_server():
    now_s = 0.0
    allowance = event_allowance.EventAllowance(lambda: now_s)
    for _ in range(100):
        now_s += 10.0
        allowance.count(1_000, 1_000)
        assert not allowance.is_exceeded


def test_tiny_events_without_end_exceed_the_allowance():
    allowance = event_allowance.EventAllowance(lambda: 0.0)
    allowance.count(EVENTS_MIN, 0)
    assert not allowance.is_exceeded
    allowance.count(1, 1)
    assert allowance.is_exceeded
