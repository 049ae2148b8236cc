"""Tests of what a request's attempts prove."""

from hypothesis import given, settings, strategies as st

from lacewingdrum_coordination import attempts
from lacewingdrum_state import ids, states

RUNNER = ids.RunnerId("r1")
FIXED = settings(derandomize=True, deadline=None, database=None)


def made(state):
    return attempts.Attempt(ids.AttemptId("a"), RUNNER, state)


@FIXED
@given(st.lists(st.sampled_from(states.AttemptState), max_size=5))
def test_not_run_is_said_only_if_no_attempt_may_have_started(found):
    verdict = attempts.ran(made(state) for state in found)
    may_have_started = {
        states.AttemptState.SENT,
        states.AttemptState.UNKNOWN,
        states.AttemptState.ANSWERED,
    }
    assert (verdict is states.Ran.NO) == (not may_have_started & set(found))


@FIXED
@given(st.lists(st.sampled_from(states.AttemptState), max_size=8))
def test_the_first_outcome_stands(wanted):
    attempt = made(states.AttemptState.UNSENT)
    outcomes = []
    for state in wanted:
        attempt = attempts.move(attempt, state).unwrap_or(attempt)
        if attempt.state not in (states.AttemptState.UNSENT, states.AttemptState.SENT):
            outcomes.append(attempt.state)
    assert len(set(outcomes)) <= 1


def test_an_unsent_attempt_cannot_be_answered():
    attempt = made(states.AttemptState.UNSENT)
    assert attempts.move(attempt, states.AttemptState.ANSWERED).is_err()
