"""Tests of attempt states and of whether a request ran."""

from hypothesis import given, settings, strategies as st

from lacewingdrum_coordination import attempts
from lacewingdrum_state import ids, states

RUNNER = ids.RunnerId("r1")
FIXED = settings(derandomize=True, deadline=None, database=None)


def make_attempt(state):
    return attempts.Attempt(ids.AttemptId("a"), RUNNER, state)


@FIXED
@given(st.lists(st.sampled_from(states.AttemptState), max_size=5))
def test_no_is_returned_only_if_no_attempt_may_have_started(found):
    ran = attempts.determine_ran(make_attempt(state) for state in found)
    may_have_started = {
        states.AttemptState.SENT,
        states.AttemptState.UNKNOWN,
        states.AttemptState.ANSWERED,
    }
    assert (ran is states.Ran.NO) == (not may_have_started & set(found))


@FIXED
@given(st.lists(st.sampled_from(states.AttemptState), max_size=8))
def test_the_first_outcome_is_final(wanted):
    attempt = make_attempt(states.AttemptState.UNSENT)
    outcomes = []
    for state in wanted:
        attempt = attempts.change_state(attempt, state).unwrap_or(attempt)
        if attempt.state not in (states.AttemptState.UNSENT, states.AttemptState.SENT):
            outcomes.append(attempt.state)
    assert len(set(outcomes)) <= 1


def test_an_unsent_attempt_cannot_be_answered():
    attempt = make_attempt(states.AttemptState.UNSENT)
    assert attempts.change_state(attempt, states.AttemptState.ANSWERED).is_err()
