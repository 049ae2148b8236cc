from lacewingdrum_coordination import runner_health
from lacewingdrum_state import ids

RUNNER = ids.RunnerId("r")


def test_failure_share_grows_and_decays():
    health = runner_health.RunnerHealth()
    assert health.failure_share(RUNNER, 1.0) == 0.0
    for _ in range(8):
        health.record_attempt(RUNNER, True, 1.0)
    worst = health.failure_share(RUNNER, 1.0)
    assert worst > 0.6
    assert health.failure_share(RUNNER, 30.0) < worst / 10
    for _ in range(40):
        health.record_attempt(RUNNER, False, 1.0)
    assert health.failure_share(RUNNER, 1.0) < 0.2


def test_suspicion_ends_with_a_success_or_when_cleared():
    health = runner_health.RunnerHealth()
    assert health.suspect(RUNNER, 1.0) and not health.suspect(RUNNER, 2.0)
    assert health.is_suspect(RUNNER) and health.suspects == (RUNNER,)
    health.record_attempt(RUNNER, True, 2.0)
    assert health.is_suspect(RUNNER)
    health.record_attempt(RUNNER, False, 3.0)
    assert not health.is_suspect(RUNNER)
    health.suspect(RUNNER, 4.0)
    health.clear_suspicion(RUNNER)
    assert not health.suspects


def test_silence_is_measured_from_the_last_contact():
    health = runner_health.RunnerHealth()
    assert health.silent_s(RUNNER, 9.0) == float("inf")
    health.record_contact(RUNNER, 5.0)
    assert health.silent_s(RUNNER, 9.0) == 4.0
    health.forget(RUNNER)
    assert health.silent_s(RUNNER, 9.0) == float("inf")


def test_refused_help_is_remembered_for_help_refused_s():
    health = runner_health.RunnerHealth()
    assert health.may_help(RUNNER, 1.0) and health.record_help_refused(RUNNER, 1.0)
    assert not health.record_help_refused(RUNNER, 3.0)
    assert not health.may_help(RUNNER, 7.9) and health.may_help(RUNNER, 8.0)
    assert health.record_help_refused(RUNNER, 9.0)
    health.forget(RUNNER)
    assert health.may_help(RUNNER, 9.0)
