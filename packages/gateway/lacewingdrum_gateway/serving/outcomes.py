"""How requests end."""

import enum


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    RUNNER_FAILURE = "runner_failure"
    REFUSED = "refused"
    TIME_OVER = "time_over"
    LOST = "lost"
    BROKEN_OFF = "broken_off"
    CALLER_GONE = "caller_gone"
    STOPPED = "stopped"
    INTERNAL_ERROR = "internal_error"


# Outcomes in which the caller has neither an answer of a runner nor a refusal,
# although its time is not over.
CUT_OUTCOMES = frozenset(
    (Outcome.LOST, Outcome.BROKEN_OFF, Outcome.STOPPED, Outcome.INTERNAL_ERROR)
)
