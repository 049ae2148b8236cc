from lacewingdrum_coordination import runner_health
from lacewingdrum_state import ids

RUNNER = ids.RunnerId("r")


def test_failure_share_grows_and_fades():
    health = runner_health.RunnerHealth()
    assert health.failure_share(RUNNER, 1.0) == 0.0
    for _ in range(8):
        health.note(RUNNER, True, 1.0)
    worst = health.failure_share(RUNNER, 1.0)
    assert worst > 0.6
    assert health.failure_share(RUNNER, 30.0) < worst / 10
    for _ in range(40):
        health.note(RUNNER, False, 1.0)
    assert health.failure_share(RUNNER, 1.0) < 0.2


def test_suspicion_ends_with_success_or_when_cleared():
    health = runner_health.RunnerHealth()
    assert health.suspect(RUNNER, 1.0) and not health.suspect(RUNNER, 2.0)
    assert health.is_suspect(RUNNER) and health.suspects == (RUNNER,)
    health.note(RUNNER, True, 2.0)
    assert health.is_suspect(RUNNER)
    health.note(RUNNER, False, 3.0)
    assert not health.is_suspect(RUNNER)
    health.suspect(RUNNER, 4.0)
    health.clear(RUNNER)
    assert not health.suspects


def test_silence_is_counted_from_the_last_sign():
    health = runner_health.RunnerHealth()
    assert health.silent_s(RUNNER, 9.0) == float("inf")
    health.heard(RUNNER, 5.0)
    assert health.silent_s(RUNNER, 9.0) == 4.0
    health.forget(RUNNER)
    assert health.silent_s(RUNNER, 9.0) == float("inf")


def test_refused_help_is_remembered_for_a_while():
    health = runner_health.RunnerHealth()
    assert health.helps(RUNNER, 1.0) and health.refuse_help(RUNNER, 1.0)
    assert not health.refuse_help(RUNNER, 3.0)
    assert not health.helps(RUNNER, 7.9) and health.helps(RUNNER, 8.0)
    assert health.refuse_help(RUNNER, 9.0)
    health.forget(RUNNER)
    assert health.helps(RUNNER, 9.0)
