"""State machine of attempts, and whether a request's attempts ran.

A caller may be answered that its request did not run only if it is certain
that none of its attempts ran. Therefore the state of each attempt is recorded,
and it changes only through this module.
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
    """One attempt of a request on one runner."""

    attempt_id: ids.AttemptId
    runner_id: ids.RunnerId
    state: states.AttemptState = states.AttemptState.UNSENT


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptError:
    """A state change that is not allowed."""

    attempt_id: ids.AttemptId
    current: states.AttemptState
    requested: states.AttemptState


def change_state(
    attempt: Attempt, state: states.AttemptState
) -> Result[Attempt, AttemptError]:
    """Change an attempt's state.

    The first outcome of an attempt is final.

    Args:
        attempt: the attempt in its current state.
        state: the new state.

    Returns:
        The changed attempt, or an error if the current state does not allow
        the change.
    """
    if state not in _TRANSITIONS[attempt.state]:
        return Err(AttemptError(attempt.attempt_id, attempt.state, state))
    return Ok(dataclasses.replace(attempt, state=state))


def determine_ran(attempts: Iterable[Attempt]) -> states.Ran:
    """Determine whether a request ran, from the states of its attempts.

    Args:
        attempts: all attempts of the request.

    Returns:
        ``NO`` only if it is certain that no attempt started, ``YES`` if an
        attempt was answered, else ``MAYBE``.
    """
    current = {attempt.state for attempt in attempts}
    if current <= _NEVER_STARTED:
        return states.Ran.NO
    if states.AttemptState.ANSWERED in current:
        return states.Ran.YES
    return states.Ran.MAYBE
