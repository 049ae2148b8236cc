"""Exchanges updates about work on engines with other daemons.

Each daemon broadcasts the start, the first event and the end of its own work,
so that all daemons that exchange these reports know the load of the engines.
"""

import asyncio
from collections.abc import Callable

from lacewingdrum_coordination import (
    customer_shares,
    engine_load,
    engine_slowdowns,
    engine_work_registry,
    report_reach,
    runner_health,
)
from lacewingdrum_gateway.peers import peering
from lacewingdrum_gateway.runners import work_codec
from lacewingdrum_protocol import work_messages
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids, units

BATCH_DELAY_S = 0.004
EXPIRY_CHECK_S = 1.0
# A peer's suspicion is ignored if the runner has answered this daemon within
# this time.
RECENT_CONTACT_S = 0.3
# A daemon waits no longer than this for the snapshots of its peers, so that
# one without peers becomes ready too.
SNAPSHOTS_WAIT_MAX_S = 1.0


class WorkSync:
    """Reports own work on engines to the peers and stores their reports."""

    def __init__(
        self,
        engine_work: engine_work_registry.EngineWorkRegistry,
        health: runner_health.RunnerHealth,
        reach: report_reach.ReportReach,
        peers: peering.Peering,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._reach = reach
        self._engine_work = engine_work
        self._health = health
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self.shares = customer_shares.CustomerShares()
        self._new_started: list[work_messages.WorkStarted] = []
        self._new_first_events: list[str] = []
        self._new_ended: list[str] = []
        self._new_slowdowns: dict[ids.RunnerId, float] = {}
        self._new_help_refused: list[ids.RunnerId] = []
        self._new_suspected: list[ids.RunnerId] = []
        self._new_pauses: list[work_messages.RunnerPause] = []
        self._suspicion_handlers: list[Callable[[ids.RunnerId], None]] = []
        self._slowdowns = engine_slowdowns.EngineSlowdowns()
        self._synced: set[ids.VmId] = set()
        self._start_s = float("-inf")
        self._flush_timer: asyncio.TimerHandle | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None

    @property
    def is_initial_sync_done(self) -> bool:
        """Whether all work peers have sent a snapshot, or the wait is over."""
        waited_s = self._clock() - self._start_s
        if waited_s > SNAPSHOTS_WAIT_MAX_S:
            return True
        work_peers = self._peers.table.work_peers()
        return bool(work_peers) and all(
            peer.address in self._synced for peer in work_peers
        )

    def start(self) -> None:
        """Register message handlers and begin to drop expired work."""
        self._peers.on_message(work_messages.WorkUpdate, self._on_work_update)
        self._peers.on_peer_lost(self._on_peer_lost)
        self._peers.on_message(work_messages.WorkRequest, self._on_work_request)
        self._peers.on_message(work_messages.WorkSnapshot, self._on_work_snapshot)
        self._peers.on_heartbeat(self._on_heartbeat)
        self._start_s = self._clock()
        self._drop_expired()

    async def close(self) -> None:
        """Send pending updates and cancel the timers."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush()

    def record_start(
        self,
        work_id: str,
        parts: tuple[engine_load.Work, ...],
        left_ms: float,
        rank: int | None = None,
        customer: str = "",
    ) -> None:
        """Record own work that is sent to engines now, and announce it.

        Args:
            work_id: identifies the attempt.
            parts: the work of each engine.
            left_ms: time until the deadline of the request.
            rank: the request's rank, 0 for the most urgent.
            customer: a short hash of its customer, or empty.
        """
        started = engine_work_registry.StartedWork(
            work_id, self._peers.own_address, parts, left_ms, rank, customer
        )
        self._start(started, self._clock())
        self._new_started.append(work_codec.to_message(started))
        self._flush_soon()

    def _start(self, started: engine_work_registry.StartedWork, now_s: float) -> None:
        work_ms = sum(part.read_ms for part in started.parts)
        self.shares.record(started.customer, work_ms, now_s)
        self._engine_work.start(started, now_s)

    def record_first_event(self, work_id: str) -> None:
        """Record the first event of own work and announce it.

        The event shows that the prompt is prefilled.
        """
        self._engine_work.record_first_event(work_id, self._clock())
        self._new_first_events.append(work_id)
        self._flush_soon()

    def record_end(self, work_id: str) -> None:
        """Record the end of own work and announce it."""
        self._engine_work.end(work_id)
        self._new_ended.append(work_id)
        self._flush_soon()

    def slowdown(self, runner_id: ids.RunnerId) -> float:
        """Return how many times slower an engine is than stated."""
        return self._slowdowns.slowdown(runner_id, self._clock())

    def record_slowdown(self, runner_id: ids.RunnerId, slowdown: float) -> None:
        """Record a slowdown that was measured on own work."""
        if self._slowdowns.record(runner_id, slowdown, self._clock()):
            self._new_slowdowns[runner_id] = slowdown
            self._flush_soon()

    def record_help_refused(self, runner_id: ids.RunnerId) -> None:
        """Record that an engine refused to prefill for another engine."""
        if self._apply_help_refused(runner_id, "own attempt"):
            self._new_help_refused.append(runner_id)
            self._flush_soon()

    def report_suspected(self, runner_id: ids.RunnerId) -> None:
        """Report a runner that this daemon suspects to its peers."""
        self._new_suspected.append(runner_id)
        self._flush_soon()

    def report_pause(self, runner_id: ids.RunnerId, pause_s: float) -> None:
        """Tell the peers that a runner wants no request from this daemon.

        Args:
            runner_id: the runner.
            pause_s: for how long.
        """
        left_ms = int(pause_s * units.MS_PER_S)
        self._new_pauses.append(work_messages.RunnerPause(runner_id, left_ms))
        self._flush_soon()

    def on_peer_suspicion(self, handler: Callable[[ids.RunnerId], None]) -> None:
        """Register a handler for runners that are suspected by a peer."""
        self._suspicion_handlers.append(handler)

    def _apply_peer_suspicion(self, runner_id: ids.RunnerId, sender: ids.VmId) -> None:
        """Suspect a runner on a peer's report unless it answered recently."""
        now_s = self._clock()
        silent_s = self._health.silent_s(runner_id, now_s)
        if silent_s < RECENT_CONTACT_S or not self._health.suspect(runner_id, now_s):
            return
        self._counts.count("runner_suspicions", reason="peer")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_SUSPECTED,
            None,
            runner_id=runner_id,
            reason=f"peer {sender}",
        )
        for handler in self._suspicion_handlers:
            handler(runner_id)

    def _apply_help_refused(self, runner_id: ids.RunnerId, source: str) -> bool:
        if not self._health.record_help_refused(runner_id, self._clock()):
            return False
        self._counts.count("helps_refused")
        self._decisions.record(
            decision_log.DecisionEvent.HELP_REFUSED,
            None,
            runner_id=runner_id,
            source=source,
            for_s=runner_health.HELP_REFUSAL_PAUSE_S,
        )
        return True

    def _flush_soon(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(BATCH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        update = work_messages.WorkUpdate(
            tuple(self._new_started),
            tuple(self._new_first_events),
            tuple(self._new_ended),
            tuple(
                work_messages.EngineSlowdown(runner_id, round(slowdown, 2))
                for runner_id, slowdown in self._new_slowdowns.items()
            ),
            tuple(self._new_help_refused),
            tuple(self._new_suspected),
            tuple(self._new_pauses),
        )
        self._new_started, self._new_first_events, self._new_ended = [], [], []
        self._new_slowdowns, self._new_help_refused, self._new_suspected = {}, [], []
        self._new_pauses = []
        if self._reach.is_fleet_wide(self._clock()):
            self._peers.broadcast(update)
        else:
            self._peers.broadcast_to_work_peers(update)

    def _on_work_update(
        self, sender: ids.VmId, update: work_messages.WorkUpdate
    ) -> None:
        now_s = self._clock()
        for started in update.started:
            parts = tuple(work_codec.part_from_message(part) for part in started.parts)
            self._start(
                engine_work_registry.StartedWork(
                    started.work_id,
                    sender,
                    parts,
                    started.left_ms,
                    started.rank,
                    started.customer,
                ),
                now_s,
            )
        for work_id in update.first_events:
            self._engine_work.record_first_event(work_id, now_s)
        for work_id in update.ended:
            self._engine_work.end(work_id)
        for measured in update.paces:
            self._slowdowns.record(
                ids.RunnerId(measured.runner_id), measured.pace, now_s
            )
        for name in update.help_refused:
            self._apply_help_refused(ids.RunnerId(name), f"peer {sender}")
        for name in update.suspected:
            self._apply_peer_suspicion(ids.RunnerId(name), sender)
        for pause in update.paused:
            until_s = now_s + pause.left_ms / units.MS_PER_S
            self._health.record_peer_pause(
                ids.RunnerId(pause.runner_id), until_s, now_s
            )

    def _on_heartbeat(self, peer: peering.Peer) -> None:
        """Request the work of a peer until its snapshot has arrived."""
        if peer.address in self._synced:
            return
        is_fleet_wide = self._reach.is_fleet_wide(self._clock())
        if is_fleet_wide or self._peers.table.exchanges_work_reports(peer):
            self._peers.send(peer.address, work_messages.WorkRequest())

    def _on_work_request(
        self, sender: ids.VmId, request: work_messages.WorkRequest
    ) -> None:
        del request
        works = self._engine_work.remaining_work(self._peers.own_address, self._clock())
        snapshot = work_messages.WorkSnapshot(
            tuple(work_codec.to_message(work) for work in works),
            tuple(
                work.work_id
                for work in works
                if self._engine_work.has_first_event(work.work_id)
            ),
        )
        self._peers.send(sender, snapshot)

    def _on_work_snapshot(
        self, sender: ids.VmId, snapshot: work_messages.WorkSnapshot
    ) -> None:
        self._synced.add(sender)
        update = work_messages.WorkUpdate(snapshot.started, snapshot.first_events, ())
        self._on_work_update(sender, update)

    def _on_peer_lost(self, address: ids.VmId) -> None:
        self._synced.discard(address)
        self._counts.count("work_dropped", self._engine_work.drop_daemon(address))

    def _drop_expired(self) -> None:
        self._counts.count("work_lapsed", self._engine_work.drop_expired(self._clock()))
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(EXPIRY_CHECK_S, self._drop_expired)
