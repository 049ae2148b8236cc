"""Messages in which daemons report their work on runners to each other."""

import msgspec


class WorkPart(msgspec.Struct, frozen=True, array_like=True):
    """One engine's part of a request.

    The fields have the meaning that ``engine_load.Work`` explains.
    """

    runner_id: str
    read_ms: float
    writes: bool
    pause_limit_ms: float
    first_due_ms: float
    loss: float
    context_tokens: float
    memory_tokens: int


class WorkStarted(msgspec.Struct, frozen=True, array_like=True):
    """The work of a request that the sender assigned to engines."""

    work_id: str
    parts: tuple[WorkPart, ...]
    left_ms: float


class EngineSlowdown(msgspec.Struct, frozen=True, array_like=True):
    """How many times slower than configured an engine is, as last measured."""

    runner_id: str
    pace: float


class RunnerPause(msgspec.Struct, frozen=True, array_like=True):
    """A runner that wants no request from the sender for ``left_ms``."""

    runner_id: str
    left_ms: int


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
