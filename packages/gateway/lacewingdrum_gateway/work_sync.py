"""Tells other daemons of work that begins and ends, and hears of theirs."""

import asyncio
from collections.abc import Callable

from lacewingdrum_coordination import (
    engine_book,
    engine_load,
    engine_paces,
    runner_health,
)
from lacewingdrum_daemon import decision_log, metrics
from lacewingdrum_gateway import peering as peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import ids

GATHER_S = 0.004
LAPSE_CHECK_S = 1.0
# What a runner said so lately counts for more than what a peer did not hear.
HEARD_LATELY_S = 0.3
# A daemon alone does not wait longer for others to tell of their work.
INFORMED_S = 1.0


class WorkSync:
    """Keeps the book of engines' work with the peers' news."""

    def __init__(
        self,
        book: engine_book.EngineBook,
        health: runner_health.RunnerHealth,
        peers: peering.Peering,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._book = book
        self._health = health
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._started: list[peer_messages.WorkStarted] = []
        self._first_events: list[str] = []
        self._ended: list[str] = []
        self._paces: dict[ids.RunnerId, float] = {}
        self._help_refused: list[ids.RunnerId] = []
        self._suspected: list[ids.RunnerId] = []
        self._on_hint: list[Callable[[ids.RunnerId], None]] = []
        self._known_paces = engine_paces.EnginePaces()
        self._told: set[ids.VmId] = set()
        self._started_s = float("-inf")
        self._flush_timer: asyncio.TimerHandle | None = None
        self._lapse_timer: asyncio.TimerHandle | None = None

    @property
    def is_informed(self) -> bool:
        """Whether the work of all daemons is known, as far as they answer."""
        waited_s = self._clock() - self._started_s
        if waited_s > INFORMED_S:
            return True
        near = self._peers.table.near()
        return bool(near) and all(peer.address in self._told for peer in near)

    def start(self) -> None:
        """Begin to hear news."""
        self._peers.on(peer_messages.WorkNews, self._heard)
        self._peers.on_lost(self._lost)
        self._peers.on(peer_messages.WorkAsk, self._asked)
        self._peers.on(peer_messages.WorkSnapshot, self._snapshot)
        self._peers.on_heartbeat(self._beaten)
        self._started_s = self._clock()
        self._check_lapsed()

    async def close(self) -> None:
        """Tell what is pending, and end."""
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush()

    def begin(
        self, work_id: str, parts: tuple[engine_load.Work, ...], left_ms: float
    ) -> None:
        """Args: own work that is sent now; left_ms: until its deadline."""
        started = engine_book.Started(work_id, self._peers.own_address, parts, left_ms)
        self._book.start(started, self._clock())
        self._started.append(_started_message(started))
        self._flush_soon()

    def first_event(self, work_id: str) -> None:
        """Args: work_id: own work whose prompt has been read."""
        self._book.first_event(work_id, self._clock())
        self._first_events.append(work_id)
        self._flush_soon()

    def end(self, work_id: str) -> None:
        """Args: work_id: own work that has ended."""
        self._book.end(work_id)
        self._ended.append(work_id)
        self._flush_soon()

    def pace(self, runner_id: ids.RunnerId) -> float:
        """Returns: how many times slower an engine is than stated."""
        return self._known_paces.pace(runner_id, self._clock())

    def note_pace(self, runner_id: ids.RunnerId, pace: float) -> None:
        """Args: runner_id: an engine; pace: as measured on own work."""
        if self._known_paces.note(runner_id, pace, self._clock()):
            self._paces[runner_id] = pace
            self._flush_soon()

    def note_help_refused(self, runner_id: ids.RunnerId) -> None:
        """Args: runner_id: an engine that would not read for another one."""
        if self._take_help_refused(runner_id, "own attempt"):
            self._help_refused.append(runner_id)
            self._flush_soon()

    def note_suspected(self, runner_id: ids.RunnerId) -> None:
        """Args: runner_id: a runner that did not answer this daemon."""
        self._suspected.append(runner_id)
        self._flush_soon()

    def on_hint(self, handler: Callable[[ids.RunnerId], None]) -> None:
        """Args: handler: gets each runner suspected on a peer's word."""
        self._on_hint.append(handler)

    def _take_hint(self, runner_id: ids.RunnerId, sender: ids.VmId) -> None:
        """Suspect what a peer suspects, until it is known here."""
        now_s = self._clock()
        silent_s = self._health.silent_s(runner_id, now_s)
        if silent_s < HEARD_LATELY_S or not self._health.suspect(runner_id, now_s):
            return
        self._counts.count("runner_suspicions", reason="peer")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_SUSPECTED,
            None,
            runner_id=runner_id,
            reason=f"peer {sender}",
        )
        for handler in self._on_hint:
            handler(runner_id)

    def _take_help_refused(self, runner_id: ids.RunnerId, source: str) -> bool:
        if not self._health.refuse_help(runner_id, self._clock()):
            return False
        self._counts.count("helps_refused")
        self._decisions.record(
            decision_log.DecisionEvent.HELP_REFUSED,
            None,
            runner_id=runner_id,
            source=source,
            for_s=runner_health.HELP_REFUSED_S,
        )
        return True

    def _flush_soon(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(GATHER_S, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        news = peer_messages.WorkNews(
            tuple(self._started),
            tuple(self._first_events),
            tuple(self._ended),
            tuple(
                peer_messages.EnginePace(runner_id, round(pace, 2))
                for runner_id, pace in self._paces.items()
            ),
            tuple(self._help_refused),
            tuple(self._suspected),
        )
        self._started, self._first_events, self._ended = [], [], []
        self._paces, self._help_refused, self._suspected = {}, [], []
        self._peers.broadcast_near(news)

    def _heard(self, sender: ids.VmId, news: peer_messages.WorkNews) -> None:
        now_s = self._clock()
        for started in news.started:
            parts = tuple(_work(part) for part in started.parts)
            self._book.start(
                engine_book.Started(started.work_id, sender, parts, started.left_ms),
                now_s,
            )
        for work_id in news.first_events:
            self._book.first_event(work_id, now_s)
        for work_id in news.ended:
            self._book.end(work_id)
        for seen in news.paces:
            self._known_paces.note(ids.RunnerId(seen.runner_id), seen.pace, now_s)
        for name in news.help_refused:
            self._take_help_refused(ids.RunnerId(name), f"peer {sender}")
        for name in news.suspected:
            self._take_hint(ids.RunnerId(name), sender)

    def _beaten(self, peer: peering.Peer) -> None:
        """Ask a daemon for its work until it has told it."""
        if peer.address not in self._told and self._peers.table.is_near(peer):
            self._peers.send(peer.address, peer_messages.WorkAsk())

    def _asked(self, sender: ids.VmId, ask: peer_messages.WorkAsk) -> None:
        del ask
        works = self._book.work_of(self._peers.own_address, self._clock())
        snapshot = peer_messages.WorkSnapshot(
            tuple(_started_message(work) for work in works),
            tuple(work.work_id for work in works if self._book.has_first(work.work_id)),
        )
        self._peers.send(sender, snapshot)

    def _snapshot(self, sender: ids.VmId, told: peer_messages.WorkSnapshot) -> None:
        self._told.add(sender)
        news = peer_messages.WorkNews(told.started, told.first_events, ())
        self._heard(sender, news)

    def _lost(self, address: ids.VmId) -> None:
        self._told.discard(address)
        self._counts.count("work_dropped", self._book.drop_daemon(address))

    def _check_lapsed(self) -> None:
        self._counts.count("work_lapsed", self._book.drop_lapsed(self._clock()))
        loop = asyncio.get_running_loop()
        self._lapse_timer = loop.call_later(LAPSE_CHECK_S, self._check_lapsed)


def _started_message(started: engine_book.Started) -> peer_messages.WorkStarted:
    parts = tuple(_message(part) for part in started.parts)
    return peer_messages.WorkStarted(started.work_id, parts, started.left_ms)


def _message(work: engine_load.Work) -> peer_messages.WorkPart:
    return peer_messages.WorkPart(
        runner_id=work.runner_id,
        read_ms=work.read_ms,
        writes=work.writes,
        pause_limit_ms=work.pause_limit_ms,
        first_due_ms=work.first_due_ms,
        loss=work.loss,
        context_tokens=work.context_tokens,
        memory_tokens=work.memory_tokens,
    )


def _work(part: peer_messages.WorkPart) -> engine_load.Work:
    return engine_load.Work(
        runner_id=ids.RunnerId(part.runner_id),
        read_ms=part.read_ms,
        writes=part.writes,
        pause_limit_ms=part.pause_limit_ms,
        first_due_ms=part.first_due_ms,
        loss=part.loss,
        context_tokens=part.context_tokens,
        memory_tokens=part.memory_tokens,
    )
