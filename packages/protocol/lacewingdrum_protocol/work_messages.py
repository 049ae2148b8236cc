"""Messages in which daemons report their work on runners to each other."""

from typing import Annotated

import msgspec

from lacewingdrum_state import bounds


class WorkPart(msgspec.Struct, frozen=True, array_like=True):
    """One engine's part of a request.

    The fields have the meaning that ``engine_load.Work`` explains.
    """

    runner_id: str
    read_ms: bounds.NotNegative
    writes: bool
    pause_limit_ms: bounds.NotNegative
    first_due_ms: bounds.Finite
    loss: bounds.Finite
    context_tokens: bounds.NotNegative
    memory_tokens: bounds.Count


class WorkStarted(msgspec.Struct, frozen=True, array_like=True):
    """The work of a request that the sender assigned to engines.

    ``rank`` is the request's, 0 for the most urgent; daemons that do not know
    the field tell none. ``customer`` is a short hash of its customer, empty if
    it has none, or if the sender does not know the field.
    """

    work_id: str
    parts: Annotated[tuple[WorkPart, ...], msgspec.Meta(min_length=1)]
    left_ms: bounds.Finite
    rank: int | None = None
    customer: str = ""


class EngineSlowdown(msgspec.Struct, frozen=True, array_like=True):
    """How many times slower than configured an engine is, as last measured."""

    runner_id: str
    pace: bounds.NotNegative


class RunnerPause(msgspec.Struct, frozen=True, array_like=True):
    """A runner that wants no request from the sender for ``left_ms``."""

    runner_id: str
    left_ms: bounds.AgeMs


class WorkUpdate(msgspec.Struct, frozen=True, array_like=True, tag="wrk"):
    """Changes of the sender's work, applied in the order of the fields.

    ``first_events`` and ``ended`` contain work ids. ``paces`` lists engines
    that are slow or no longer slow, ``help_refused`` engines that refused to
    prefill for another engine, and ``suspected`` runners that did not answer
    the sender. ``paused`` lists runners that want no request from the sender.
    """

    started: tuple[WorkStarted, ...]
    first_events: tuple[str, ...]
    ended: tuple[str, ...]
    paces: tuple[EngineSlowdown, ...] = ()
    help_refused: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()
    paused: tuple[RunnerPause, ...] = ()


class WorkRequest(msgspec.Struct, frozen=True, array_like=True, tag="wra"):
    """Requests a peer's ``WorkSnapshot``; repeated until it arrives."""


class WorkSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="wrs"):
    """All work of the sender.

    ``first_events`` contains the ids of work whose first event has arrived.
    """

    started: tuple[WorkStarted, ...]
    first_events: tuple[str, ...]
