"""Decides which requests a daemon still begins during a planned stop."""

import dataclasses

from lacewingdrum_state import configurations

# A request whose deadline is over needs this long for its last answer.
LAST_ANSWER_MARGIN_S = 0.1
# Resumable streams last long, so they begin in this first share of a stop, and
# not much later than callers reach other daemons.
STREAM_BEGIN_SHARE = 0.4
STREAM_BEGIN_MAX_S = 3.0
# Other idempotent requests begin while this much time is left.
CALL_MIN_LEFT_S = 1.2
# The answer to a stream begins while this much time is left, as it would soon
# be broken off.
STREAM_ANSWER_MIN_LEFT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdmission:
    """The limits of one planned stop, as times of the monotonic clock.

    Requests that are still in progress at ``abort_s`` are interrupted. A
    request begins if its deadline is before that. Where a request may be
    repeated, it also begins if it is likely to end in time, because its caller
    can send it again otherwise.
    """

    begin_s: float
    abort_s: float

    def may_begin(
        self, route: configurations.Route, deadline_s: float, now_s: float
    ) -> bool:
        """Return whether a request is to be served.

        Args:
            route: its route.
            deadline_s: its deadline.
            now_s: the current time.
        """
        if deadline_s + LAST_ANSWER_MARGIN_S <= self.abort_s:
            return True
        if not route.is_retryable:
            return False
        if route.kind is configurations.RouteKind.STREAM:
            begin_max_s = STREAM_BEGIN_SHARE * (self.abort_s - self.begin_s)
            return now_s <= self.begin_s + min(begin_max_s, STREAM_BEGIN_MAX_S)
        return now_s <= self.abort_s - CALL_MIN_LEFT_S

    def may_answer(
        self, route: configurations.Route, deadline_s: float, now_s: float
    ) -> bool:
        """Return whether the answer to a request may still begin.

        Args:
            route: its route.
            deadline_s: its deadline.
            now_s: the current time.
        """
        is_stream = route.kind is configurations.RouteKind.STREAM
        is_cut = is_stream and deadline_s + LAST_ANSWER_MARGIN_S > self.abort_s
        return not is_cut or now_s <= self.abort_s - STREAM_ANSWER_MIN_LEFT_S
