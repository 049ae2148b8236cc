from lacewingdrum_coordination import engine_slowdowns
from lacewingdrum_state import ids

ENGINE = ids.RunnerId("e")


def test_small_slowdown_is_ignored():
    slowdowns = engine_slowdowns.EngineSlowdowns()
    assert not slowdowns.record(ENGINE, 1.3, 1.0)
    assert slowdowns.slowdown(ENGINE, 1.0) == 1.0


def test_slowdown_applies_at_once_and_decays():
    slowdowns = engine_slowdowns.EngineSlowdowns()
    assert slowdowns.record(ENGINE, 4.0, 1.0)
    assert slowdowns.slowdown(ENGINE, 1.0) == 4.0
    assert 2.4 < slowdowns.slowdown(ENGINE, 4.0) < 2.6
    assert slowdowns.slowdown(ENGINE, 20.0) == 1.0


def test_recovery_is_reported_until_the_slowdown_is_gone():
    slowdowns = engine_slowdowns.EngineSlowdowns()
    slowdowns.record(ENGINE, 4.0, 1.0)
    for number in range(6):
        slowdowns.record(ENGINE, 1.0, 1.0 + number / 10)
    assert slowdowns.slowdown(ENGINE, 1.6) == 1.0
    assert not slowdowns.record(ENGINE, 1.0, 1.7)
