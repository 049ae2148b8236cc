"""Decides whether a request goes on, waits or is refused when room is short.

A request is put off before it holds memory or a slot of an engine, for a share
of the time in which it would still be served in time. At the end of that time
it goes on, unless requests of a more urgent rank lack room even then; of these
less urgent requests as many go on as a least share of the engines serves. So
the bound on how long a request is put off is ``PUT_OFF_RATIO`` times the time
that it has left until the latest start that meets its objective.
"""

import dataclasses
import enum

from lacewingdrum_coordination import service_room

PUT_OFF_RATIO = 0.5
# A shorter time than this is not waited for.
PUT_OFF_MIN_MS = 10.0
# A caller abandons a stream whose first event is later than its objective by
# the longest of these.
ABANDON_MIN_MS = 2_000.0
ABANDON_OBJECTIVE_FACTOR = 4.0
ABANDON_PAUSE_FACTOR = 8.0


class Reason(enum.Enum):
    """Why a request is put off or refused."""

    COSTS_OTHERS_MORE = "costs_others_more"
    MORE_URGENT_FIRST = "more_urgent_first"
    OVER_SHARE = "over_share"
    EARLIER_FIRST = "earlier_first"
    TOO_LATE = "too_late"
    IN_TIME_FIRST = "in_time_first"
    WAITING_FULL = "waiting_full"


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """The request goes on now; ``uses_least_share`` if only by that share."""

    uses_least_share: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PutOff:
    """The request waits until room comes free, at the latest ``until_s``."""

    until_s: float
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused at once; it has not run."""

    reason: Reason


Decision = Proceed | PutOff | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Asking:
    """A request that asks for room, which has not run.

    The times are those left: ``objective_left_ms`` until its first event is
    late, ``give_up_left_ms`` until its caller has abandoned it or its deadline
    is there. ``is_too_costly`` is set if it costs others more than it is
    worth, and ``costs_urgent`` if it costs requests of a more urgent rank a
    part of that. ``first_event_ms`` is the expected time to the first event if
    it goes on now. ``put_off_until_s`` is set once it has been put off, and
    ``may_wait`` unset if it must not be put off. ``room`` is None if nobody
    lacks any.
    """

    first_event_ms: float
    objective_left_ms: float
    give_up_left_ms: float
    is_too_costly: bool
    costs_urgent: bool
    is_over_share: bool
    may_wait: bool
    put_off_until_s: float | None
    room: service_room.Room | None

    @property
    def is_late(self) -> bool:
        """Whether the first event is expected after the objective."""
        return self.first_event_ms > self.objective_left_ms


def give_up_ms(objective_ms: float, pause_objective_ms: float) -> float:
    """Return the time after which a caller has abandoned a stream."""
    return objective_ms + max(
        ABANDON_MIN_MS,
        ABANDON_OBJECTIVE_FACTOR * objective_ms,
        ABANDON_PAUSE_FACTOR * pause_objective_ms,
    )


def decide(
    asking: Asking,
    has_earlier_waiting: bool,
    has_least_share: bool,
    now_s: float,
) -> Decision:
    """Decide whether a request goes on, waits or is refused.

    Args:
        asking: the request.
        has_earlier_waiting: whether requests that go before it wait here.
        has_least_share: whether less urgent requests have used less than the
            least share of the engines.
        now_s: the current time.

    Returns:
        The decision.
    """
    room = asking.room
    may_refuse = room is not None and not room.is_half_free
    if may_refuse and asking.first_event_ms > asking.give_up_left_ms:
        return Refuse(Reason.TOO_LATE)
    if asking.is_too_costly:
        refuse = Refuse(Reason.COSTS_OTHERS_MORE)
        return refuse if may_refuse else Proceed()
    reason = _shortage(asking, has_earlier_waiting)
    if reason is None:
        return Proceed()
    until_s = asking.put_off_until_s
    if until_s is None:
        left_ms = asking.objective_left_ms
        if reason is Reason.IN_TIME_FIRST:
            left_ms = asking.give_up_left_ms
        spare_ms = left_ms - asking.first_event_ms
        until_s = now_s + PUT_OFF_RATIO * max(spare_ms, 0.0) / 1_000
    if asking.may_wait and (until_s - now_s) * 1_000 >= PUT_OFF_MIN_MS:
        return PutOff(until_s, reason)
    if not may_refuse:
        return Proceed()
    if reason is Reason.IN_TIME_FIRST:
        return Refuse(reason)
    lacks_room = room is not None and room.is_short
    if lacks_room and asking.is_over_share:
        return Refuse(Reason.OVER_SHARE)
    if lacks_room and room is not None and room.has_lower_rank:
        return Proceed(uses_least_share=True) if has_least_share else Refuse(reason)
    return Proceed()


def _shortage(asking: Asking, has_earlier_waiting: bool) -> Reason | None:
    room = asking.room
    if room is not None and room.is_idle:
        return None
    if asking.costs_urgent and room is not None and room.has_urgent_load:
        return Reason.MORE_URGENT_FIRST
    if room is not None and room.is_short:
        over = Reason.OVER_SHARE
        return over if asking.is_over_share else Reason.MORE_URGENT_FIRST
    if room is not None and asking.is_late and not room.open_slots:
        return Reason.IN_TIME_FIRST
    return Reason.EARLIER_FIRST if has_earlier_waiting else None
