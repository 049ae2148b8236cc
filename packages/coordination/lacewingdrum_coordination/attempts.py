"""The state machine of one attempt, and what a request's attempts prove.

A caller may be told that its request did not run only if that holds for
every attempt, so each attempt's state is kept and changed only here.
"""

import dataclasses
from collections.abc import Iterable

from result import Err, Ok, Result

from lacewingdrum_state import ids, states

_TRANSITIONS = {
    states.AttemptState.UNSENT: {states.AttemptState.SENT},
    states.AttemptState.SENT: {
        states.AttemptState.REFUSED_BY_RUNNER,
        states.AttemptState.ANSWERED,
        states.AttemptState.UNKNOWN,
    },
    states.AttemptState.REFUSED_BY_RUNNER: set(),
    states.AttemptState.ANSWERED: set(),
    states.AttemptState.UNKNOWN: set(),
}
_NEVER_STARTED = {states.AttemptState.UNSENT, states.AttemptState.REFUSED_BY_RUNNER}


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a request at one runner."""

    attempt_id: ids.AttemptId
    runner_id: ids.RunnerId
    state: states.AttemptState = states.AttemptState.UNSENT


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptError:
    """A change of state that an attempt cannot make."""

    attempt_id: ids.AttemptId
    current: states.AttemptState
    requested: states.AttemptState


def change_state(
    attempt: Attempt, state: states.AttemptState
) -> Result[Attempt, AttemptError]:
    """Change an attempt's state.

    Args:
        attempt: the attempt as it stands.
        state: the state that an event calls for.

    Returns:
        The changed attempt, or an error where the outcome stood already;
        the first outcome recorded is the one that counts.
    """
    if state not in _TRANSITIONS[attempt.state]:
        return Err(AttemptError(attempt.attempt_id, attempt.state, state))
    return Ok(dataclasses.replace(attempt, state=state))


def determine_ran(attempts: Iterable[Attempt]) -> states.Ran:
    """Say what is proved about whether a request ran.

    Args:
        attempts: all attempts of the request.

    Returns:
        ``NO`` only if every attempt surely never started.
    """
    current = {attempt.state for attempt in attempts}
    if current <= _NEVER_STARTED:
        return states.Ran.NO
    if states.AttemptState.ANSWERED in current:
        return states.Ran.YES
    return states.Ran.MAYBE
