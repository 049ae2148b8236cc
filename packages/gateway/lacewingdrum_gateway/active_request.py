"""A request on its way, with what has become of it so far."""

import dataclasses
import enum

from lacewingdrum_gateway import attempt, plans
from lacewingdrum_protocol import event_stream
from lacewingdrum_state import ids, states
from lacewingdrum_transport import responder as responders


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    RUNNER_FAILURE = "runner_failure"
    REFUSED = "refused"
    TIME_OVER = "time_over"
    LOST = "lost"
    BROKEN_OFF = "broken_off"
    CALLER_GONE = "caller_gone"


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """One request on its way.

    ``has_open_attempt`` is set while an attempt is under way, and stays set if
    that is cut short, as what was sent may run all the same.
    ``sent_to`` are the runners it was sent to, refusals counted too;
    ``only_runner`` is the one of them that may get it again, after another
    engine would not help there.
    """

    target: plans.RequestTarget
    outgoing: attempt.Outgoing
    responder: responders.Responder
    events: event_stream.EventStream
    config_version: int
    tried: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    ends: list[attempt.AttemptEnd] = dataclasses.field(default_factory=list)
    attempt_count: int = 0
    has_open_attempt: bool = False
    sent_to: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    only_runner: ids.RunnerId | None = None
    suspect_count: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    shortest_pause_s: float = float("inf")
    pause_count: int = 0
    is_overdue: bool = False

    @property
    def request_id(self) -> ids.RequestId:
        """The id that the request's log lines carry."""
        return ids.RequestId(self.outgoing.attempt_id)

    def left_s(self, now_s: float) -> float:
        """Args: now_s: the time. Returns: seconds until its deadline."""
        return self.target.deadline_s - now_s

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt may have run."""
        not_run = (states.AttemptState.UNSENT, states.AttemptState.REFUSED_BY_RUNNER)
        return self.has_open_attempt or any(
            end.state not in not_run for end in self.ends
        )
