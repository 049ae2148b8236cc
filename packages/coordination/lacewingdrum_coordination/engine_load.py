"""The work of one engine, with the totals that the choice of engines needs.

An event is one event of a streamed answer. Each pass of an engine makes one
event for each request that decodes there.

The totals are updated on each change, because choosing engines reads them far
more often than work changes.
"""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One engine's part of a request.

    ``read_ms`` is the prefill time of the part. ``writes`` is set on the
    engine that decodes the answer. ``loss`` is the worth lost when a pause
    between events exceeds ``pause_limit_ms`` or the first event is later than
    ``first_due_ms`` after the start. ``memory_tokens`` is the part's use of
    the engine's memory.
    """

    runner_id: ids.RunnerId
    read_ms: float
    writes: bool
    pause_limit_ms: float
    first_due_ms: float
    loss: float
    context_tokens: float
    memory_tokens: int


@dataclasses.dataclass(slots=True)
class ActiveWork:
    """A part in progress.

    The part is unread, that is its prefill has not ended, until the request's
    first event.
    """

    work: Work
    started_s: float
    expires_s: float
    has_first_event: bool = False


@dataclasses.dataclass(slots=True)
class PauseGroup:
    """Decoding requests with the same limit for pauses between events."""

    limit_ms: float
    writers: int = 0
    loss: float = 0.0


class EngineLoad:
    """The present work of one engine.

    ``writers`` counts the requests that decode on the engine;
    ``context_tokens`` is their total and ``shortest_pause_ms`` their lowest
    pause limit. ``memory_tokens`` is the total of all parts. ``unread`` holds
    the parts whose request has made no event yet. ``pauses`` holds, by pause
    limit, the decoding requests that have made one. ``read_free_s`` is the
    time at which the engine is expected to have prefilled all its parts.
    """

    __slots__ = (
        "context_tokens",
        "entries",
        "memory_tokens",
        "pauses",
        "read_free_s",
        "shortest_pause_ms",
        "unread",
        "writers",
    )

    def __init__(self) -> None:
        self.entries: dict[str, ActiveWork] = {}
        self.unread: dict[str, ActiveWork] = {}
        self.pauses: dict[float, PauseGroup] = {}
        self.read_free_s = 0.0
        self.writers = 0
        self.context_tokens = 0.0
        self.memory_tokens = 0
        self.shortest_pause_ms = float("inf")

    def backlog_ms(self, now_s: float) -> float:
        """Return the expected time until all present parts are prefilled."""
        return max(0.0, self.read_free_s - now_s) * 1_000

    def add(self, work_id: str, entry: ActiveWork) -> None:
        """Add one part of the work that begins."""
        work = entry.work
        self.entries[work_id] = entry
        self.unread[work_id] = entry
        self.memory_tokens += work.memory_tokens
        prefill_start_s = max(self.read_free_s, entry.started_s)
        self.read_free_s = prefill_start_s + work.read_ms / 1_000
        if work.writes:
            self.writers += 1
            self.context_tokens += work.context_tokens
            self.shortest_pause_ms = min(self.shortest_pause_ms, work.pause_limit_ms)

    def record_first_event(self, work_id: str, now_s: float) -> None:
        """Record the first event of work, which ends its prefill."""
        entry = self.unread.pop(work_id, None)
        if entry is None:
            return
        entry.has_first_event = True
        unread_s = sum(other.work.read_ms for other in self.unread.values()) / 1_000
        self.read_free_s = min(self.read_free_s, now_s + unread_s)
        work = entry.work
        if work.writes:
            limit_ms = work.pause_limit_ms
            group = self.pauses.setdefault(limit_ms, PauseGroup(limit_ms))
            group.writers += 1
            group.loss += work.loss

    def remove(self, work_id: str) -> None:
        """Remove the part of work that has ended on this engine."""
        entry = self.entries.pop(work_id)
        work = entry.work
        self.memory_tokens -= work.memory_tokens
        if entry.has_first_event:
            self._leave_pause_group(work)
        else:
            del self.unread[work_id]
            self.read_free_s -= work.read_ms / 1_000
        if work.writes:
            self.writers -= 1
            self.context_tokens -= work.context_tokens
            self.shortest_pause_ms = min(
                (
                    other.work.pause_limit_ms
                    for other in self.entries.values()
                    if other.work.writes
                ),
                default=float("inf"),
            )

    def _leave_pause_group(self, work: Work) -> None:
        if not work.writes:
            return
        group = self.pauses[work.pause_limit_ms]
        group.writers -= 1
        group.loss -= work.loss
        if not group.writers:
            del self.pauses[work.pause_limit_ms]


IDLE = EngineLoad()
