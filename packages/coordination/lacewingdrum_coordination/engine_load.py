"""The work of one engine, with the sums that a choice of engines needs.

Sums follow each change, as a choice looks at every engine and its work many
times, and work changes far more rarely.
"""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One engine's part of a request.

    ``read_ms`` is the part's reading. ``writes`` is set on the engine that
    makes the events. ``loss`` is the worth lost when a pause exceeds
    ``pause_limit_ms`` or the first event comes after ``first_due_ms`` from
    the start. ``memory_tokens`` is what it holds of the engine's memory.
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
    """A part at work; it is unread until the request's first event."""

    work: Work
    started_s: float
    expires_s: float
    has_first_event: bool = False


@dataclasses.dataclass(slots=True)
class PauseGroup:
    """Requests that write, and allow the same pause between events."""

    limit_ms: float
    writers: int = 0
    loss: float = 0.0


class EngineLoad:
    """The work of one engine at one moment.

    ``writers``, ``context_tokens`` and ``shortest_pause_ms`` are of the
    requests that write here; ``memory_tokens`` is of all. ``unread`` holds
    the parts whose request has made no event yet, ``pauses`` the writers
    that have.
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
        """Returns: how long the engine still reads what it has."""
        return max(0.0, self.read_free_s - now_s) * 1_000

    def add(self, work_id: str, entry: ActiveWork) -> None:
        """Args: work_id: work that begins; entry: one part of it."""
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
        """Args: work_id: its prompt has been read; now_s: the time."""
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
        """Args: work_id: work of this engine that has ended."""
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
