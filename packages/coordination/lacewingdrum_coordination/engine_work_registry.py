"""Tracks the work on each engine, as reported by this daemon and its peers."""

import dataclasses

import xxhash

from lacewingdrum_coordination import engine_load
from lacewingdrum_state import ids

# Work is dropped this long after its deadline if its end was not reported.
EXPIRY_MARGIN_S = 1.0
ARRIVAL_WINDOW_S = 1.0
ATTEMPT_SEPARATOR = ":"


@dataclasses.dataclass(frozen=True, slots=True)
class StartedWork:
    """The work of one attempt of a request, as sent by a daemon.

    ``left_ms`` is the time from the start of the work until its deadline.
    ``rank`` is the request's, 0 for the most urgent, or None if the daemon
    does not tell. ``customer`` is a short hash of its customer, or empty.
    """

    work_id: str
    daemon: ids.VmId
    parts: tuple[engine_load.Work, ...]
    left_ms: float
    rank: int | None = None
    customer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A recently started request.

    ``first_due_ms`` is the time from the start until its first event is due;
    ``loss`` is the worth lost if it is late. ``read_ms`` is the prefill time
    of the part of the engine ``runner_id``, which decodes. ``rank`` and
    ``customer`` are those of ``StartedWork``.
    """

    started_s: float
    first_due_ms: float
    loss: float
    runner_id: ids.RunnerId
    read_ms: float
    rank: int | None = None
    customer: str = ""


class WorkIds:
    """Gives the work of each attempt an id that no other attempt has.

    Several daemons may make attempts for one request, and one may get an id of
    a request twice. A daemon that was started again does not know its ids of
    before.
    """

    def __init__(self, daemon: ids.VmId, incarnation: int) -> None:
        source = f"{daemon} {incarnation}"
        self._source = f"{xxhash.xxh32_intdigest(source.encode()):08x}"
        self._count = 0

    def next(self, request_id: str, attempt_number: int) -> str:
        """Return a new id for an attempt of a request."""
        self._count += 1
        name = f"{request_id}{ATTEMPT_SEPARATOR}{attempt_number}"
        return f"{name}.{self._source}{self._count:x}"


def request_id_of(name: str) -> str:
    """Return the id of the request that the work with this id belongs to."""
    return name.rpartition(ATTEMPT_SEPARATOR)[0] or name


class EngineWorkRegistry:
    """The work on each engine; entries expire if their end is not reported."""

    def __init__(self) -> None:
        self._loads: dict[ids.RunnerId, engine_load.EngineLoad] = {}
        self._by_id: dict[str, StartedWork] = {}
        self._by_daemon: dict[ids.VmId, set[str]] = {}
        self._arrivals: dict[str, Arrival] = {}

    @property
    def work_count(self) -> int:
        """The number of attempts in progress."""
        return len(self._by_id)

    def load(self, runner_id: ids.RunnerId) -> engine_load.EngineLoad:
        """Return the engine's work, which the caller must not change."""
        return self._loads.get(runner_id, engine_load.IDLE)

    def arrivals(self, now_s: float, excluded_request_id: str = "") -> list[Arrival]:
        """Return the requests started within the last ``ARRIVAL_WINDOW_S``.

        Args:
            now_s: the current time.
            excluded_request_id: a request that is left out.

        Returns:
            One entry per request, also if it had several attempts.
        """
        while self._arrivals:
            oldest = next(iter(self._arrivals))
            if self._arrivals[oldest].started_s >= now_s - ARRIVAL_WINDOW_S:
                break
            del self._arrivals[oldest]
        return [
            item for name, item in self._arrivals.items() if name != excluded_request_id
        ]

    def start(self, started: StartedWork, now_s: float) -> None:
        """Add work that begins now; it replaces work of the same id.

        Only the last part of each engine counts.
        """
        self.end(started.work_id)
        by_engine = {work.runner_id: work for work in started.parts}
        if len(by_engine) < len(started.parts):
            started = dataclasses.replace(started, parts=tuple(by_engine.values()))
        self._by_id[started.work_id] = started
        self._by_daemon.setdefault(started.daemon, set()).add(started.work_id)
        expires_s = now_s + started.left_ms / 1_000 + EXPIRY_MARGIN_S
        for work in started.parts:
            if work.writes:
                name = request_id_of(started.work_id)
                self._arrivals.pop(name, None)
                self._arrivals[name] = Arrival(
                    now_s,
                    work.first_due_ms,
                    work.loss,
                    work.runner_id,
                    work.read_ms,
                    started.rank,
                    started.customer,
                )
            load = self._loads.get(work.runner_id)
            if load is None:
                load = self._loads[work.runner_id] = engine_load.EngineLoad()
            load.add(started.work_id, engine_load.ActiveWork(work, now_s, expires_s))

    def remaining_work(self, daemon: ids.VmId, now_s: float) -> tuple[StartedWork, ...]:
        """Return a daemon's work for a peer that does not know it yet.

        Args:
            daemon: the daemon that sent the work.
            now_s: the current time.

        Returns:
            The remaining work, with its times relative to ``now_s``.
        """
        remaining: list[StartedWork] = []
        for work_id in self._by_daemon.get(daemon, ()):
            started = self._by_id[work_id]
            entry = self._loads[started.parts[0].runner_id].entries[work_id]
            elapsed_ms = (now_s - entry.started_s) * 1_000
            # The prefill of a part ends at the first event.
            unread_share = 0.0 if entry.has_first_event else 1.0
            parts = tuple(
                dataclasses.replace(
                    part,
                    read_ms=part.read_ms * unread_share,
                    first_due_ms=part.first_due_ms - elapsed_ms,
                )
                for part in started.parts
            )
            left_ms = max(started.left_ms - elapsed_ms, 0.0)
            remaining.append(dataclasses.replace(started, parts=parts, left_ms=left_ms))
        return tuple(remaining)

    def has_first_event(self, work_id: str) -> bool:
        """Return whether the work is known and has made its first event."""
        started = self._by_id.get(work_id)
        if started is None:
            return False
        return self._loads[started.parts[0].runner_id].entries[work_id].has_first_event

    def record_first_event(self, work_id: str, now_s: float) -> None:
        """Record that work made its first event, so its prefill has ended."""
        started = self._by_id.get(work_id)
        if started is None:
            return
        for work in started.parts:
            self._loads[work.runner_id].record_first_event(work_id, now_s)

    def end(self, work_id: str) -> None:
        """Remove work that has ended; an unknown id is ignored."""
        started = self._by_id.pop(work_id, None)
        if started is None:
            return
        self._by_daemon[started.daemon].discard(work_id)
        for work in started.parts:
            load = self._loads[work.runner_id]
            load.remove(work_id)
            if not load.entries:
                del self._loads[work.runner_id]

    def drop_daemon(self, daemon: ids.VmId) -> int:
        """Remove the work of a daemon; return the number of removed items."""
        dropped = tuple(self._by_daemon.get(daemon, ()))
        for work_id in dropped:
            self.end(work_id)
        self._by_daemon.pop(daemon, None)
        return len(dropped)

    def drop_expired(self, now_s: float) -> int:
        """Remove expired work; return the number of removed items."""
        expired = {
            work_id
            for load in self._loads.values()
            for work_id, entry in load.entries.items()
            if entry.expires_s <= now_s
        }
        for work_id in expired:
            self.end(work_id)
        return len(expired)
