"""Synchronizes the list of runners: daemons read it in turn and broadcast it.

The store's table changes with every heartbeat of a runner, so it is polled. A
daemon reads the table when its newest list is older than a limit that grows
with the number of daemons before it, counted from the last reader. So each
daemon has its turn, and the next one takes over from one that cannot read.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from result import Err

from lacewingdrum_coordination import (
    retry_pauses,
    runner_health,
    runner_list_history,
    runner_roster,
)
from lacewingdrum_gateway import store_client
from lacewingdrum_gateway.peers import peering
from lacewingdrum_gateway.runners import cold_sync, runner_list_codec
from lacewingdrum_platform import runner_rows, store_calls
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import decision_log, metrics, tasks
from lacewingdrum_state import cold_reports, ids, runner_entries, store_versions

# The age of the list is checked at least every four ticks.
TICK_S = 0.05
AGE_MAX_S = 0.65
AGE_PER_RANK_S = 0.12
RANKS_MAX = 8
RETRY_MIN_S = 0.3
# The longest pause after failed reads, in the largest fleets.
RETRY_BOUND_S = 30.0
REQUEST_INTERVAL_S = 0.3
# If the newer of two lists is more than this much later, entries may have
# expired during an outage of the store. Runners that are missing from the list
# are then kept for ``runner_roster.RETURN_WINDOW_S``; so they are after a
# return of the store from an older copy, which may lack the latest entries.
OUTAGE_S = 2.5


class RunnerListSync:
    """Reads the table of runners in turn with the other daemons."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        cold: cold_sync.ColdSync,
        store: store_client.StoreClient,
        peers: peering.Peering,
        own_addresses: runner_roster.DaemonAddresses,
        rng: random.Random,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._roster = roster
        self._health = health
        self._cold = cold
        self._store = store
        self._peers = peers
        self._own_addresses = own_addresses
        self._pauses = retry_pauses.RetryPauses(RETRY_MIN_S, rng)
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._missing_kept_until_s: float | None = None
        self._history = runner_list_history.RunnerListHistory()
        self._last_request_s = float("-inf")
        self._last_reader: ids.VmId | None = None
        self._recorded_faults: set[str] = set()
        self._born_again_handlers: list[
            Callable[[runner_entries.RunnerEntry], None]
        ] = []
        self._tasks = tasks.TaskSet()

    @property
    def is_known(self) -> bool:
        """Whether a list has been received."""
        return self._roster.version > store_versions.NO_VERSION

    def start(self) -> None:
        """Register the message handlers and begin to read in turn."""
        self._peers.on_message(peer_messages.RunnerListPush, self._on_list_push)
        self._peers.on_message(peer_messages.RunnerListRequest, self._on_list_request)
        self._peers.on_heartbeat(self._on_heartbeat)
        self._tasks.spawn_loop(self._read_in_turn)

    async def close(self) -> None:
        """Stop reading."""
        await self._tasks.close()

    def on_born_again(
        self, handler: Callable[[runner_entries.RunnerEntry], None]
    ) -> None:
        """Register a handler for the entries of new incarnations."""
        self._born_again_handlers.append(handler)

    async def _read_in_turn(self) -> None:
        while True:
            rank = self._peers.table.rank_after(self._last_reader)
            due_s = AGE_MAX_S + AGE_PER_RANK_S * min(rank, RANKS_MAX)
            wait_s = due_s - (self._clock() - self._roster.as_of_s)
            if wait_s > 0:
                await asyncio.sleep(min(wait_s, TICK_S * 4))
                continue
            if await self._read():
                self._pauses.reset()
                continue
            await self._pause_after_failure()

    async def _pause_after_failure(self) -> None:
        """Wait before the next read; less long once fewer peers are heard."""
        failed_s = self._clock()
        pause_s = self._pauses.take_s(self._pause_limit_s())
        while True:
            passed_s = self._clock() - failed_s
            left_s = min(pause_s, self._pause_limit_s()) - passed_s
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, TICK_S * 4))

    def _pause_limit_s(self) -> float:
        # In a large fleet each daemon retries more rarely, since one
        # successful read is enough for all.
        factor = self._peers.table.fleet_size_factor
        return retry_pauses.limit_s(factor, RETRY_BOUND_S)

    def _set_daemons(self) -> None:
        own = self._own_addresses
        hosts = own.hosts | self._peers.table.hosts
        self._roster.set_daemons(runner_roster.DaemonAddresses(hosts, own.ports))

    async def _read(self) -> bool:
        read_start_s = self._clock()
        answer = await self._store.read(store_calls.RUNNERS_TABLE)
        if isinstance(answer, Err):
            return False
        rows = answer.ok_value
        found = [(self._entry(row), row) for row in rows.rows]
        entries = tuple(entry for entry, _ in found if entry is not None)
        listed = runner_entries.RunnerList(rows.version, entries)
        if listed.version < self._roster.version:
            # The store lags behind; a peer has sent a newer list.
            return False
        # Peers that hold the previous list need only the changes; others
        # request an update.
        previous_digest = self._history.digest
        self._last_reader = self._peers.own_address
        self._apply(listed, read_start_s, "store")
        reports = self._cold_reports(found)
        self._cold.record_reports(reports, self._clock(), "store")
        self._peers.broadcast(
            self._push_since(previous_digest or self._history.digest, reports)
        )
        return True

    def _cold_reports(
        self, found: Iterable[tuple[runner_entries.RunnerEntry | None, store_calls.Row]]
    ) -> tuple[cold_reports.ColdReport, ...]:
        """Return what the rows of runners say of how long they stay cold."""
        return tuple(
            cold_reports.ColdReport(
                entry.runner_id, entry.born_ms, said.cold_left_ms, said.seq
            )
            for entry, row in found
            if entry is not None
            and row.value is not None
            and self._cold.may_be_cold(entry)
            and (said := runner_rows.coldness(row.value)) is not None
        )

    def _entry(self, row: store_calls.Row) -> runner_entries.RunnerEntry | None:
        if row.value is None:
            return None
        entry, faults = runner_rows.decode(row.key, row.value)
        for fault in faults:
            self._counts.count("store_faults", kind="runner")
            # Each different fault is logged once, and at most 1000 of them.
            if (
                str(fault) not in self._recorded_faults
                and len(self._recorded_faults) < 1_000
            ):
                self._recorded_faults.add(str(fault))
                self._decisions.record(
                    decision_log.DecisionEvent.RUNNER_CHANGED,
                    None,
                    runner_id=row.key,
                    change="unreadable",
                    fault=str(fault),
                )
        return entry

    def _apply(
        self, listed: runner_entries.RunnerList, as_of_s: float, source: str
    ) -> None:
        self._set_daemons()
        is_after_outage = as_of_s - self._roster.as_of_s > OUTAGE_S
        is_after_return = listed.version.era > self._roster.version.era
        if self.is_known and (is_after_outage or is_after_return):
            self._missing_kept_until_s = as_of_s + runner_roster.RETURN_WINDOW_S
        changes = self._roster.apply(listed, as_of_s, self._missing_kept_until_s)
        if changes:
            self._history.record(self._roster.entries)
        self._cold.record_list(self._roster.entries, source)
        for change in changes:
            if change.kind in ("born_again", "gone"):
                self._health.forget(change.runner_id)
            self._counts.count("runner_changes", change=change.kind)
            self._decisions.record(
                decision_log.DecisionEvent.RUNNER_CHANGED,
                None,
                runner_id=change.runner_id,
                change=change.kind,
                source=source,
                list_version=change.list_version.version,
                list_era=change.list_version.era,
            )
            entry = self._roster.get(change.runner_id)
            if change.kind == "born_again" and entry is not None:
                for handler in self._born_again_handlers:
                    handler(entry)

    def _push_since(
        self, base: int, cold: tuple[cold_reports.ColdReport, ...]
    ) -> peer_messages.RunnerListPush:
        change = self._history.change_since(base)
        return peer_messages.RunnerListPush(
            version=self._roster.version.version,
            age_ms=int((self._clock() - self._roster.as_of_s) * 1_000),
            digest=change.digest,
            base=change.base,
            changed=tuple(map(runner_list_codec.message_from_entry, change.changed)),
            removed=change.removed,
            era=self._roster.version.era,
            cold=tuple(map(runner_list_codec.message_from_cold, cold)),
        )

    def _on_heartbeat(self, peer: peering.Peer) -> None:
        """Request a list while none is known, as the store may not answer."""
        if not self.is_known:
            self._request_list(peer.address)

    def _request_list(self, address: ids.VmId) -> None:
        now_s = self._clock()
        if now_s - self._last_request_s > REQUEST_INTERVAL_S:
            self._last_request_s = now_s
            self._peers.send(
                address, peer_messages.RunnerListRequest(self._history.digest)
            )

    def _on_list_push(
        self, sender: ids.VmId, push: peer_messages.RunnerListPush
    ) -> None:
        as_of_s = self._clock() - push.age_ms / 1_000
        version = store_versions.StoreVersion(push.era, push.version)
        if push.era:
            self._store.record_era(push.era)
        if version < self._roster.version:
            return
        self._last_reader = sender
        if push.digest == self._history.digest:
            self._set_daemons()
            self._roster.confirm(version, as_of_s)
            self._record_cold(sender, push)
            return
        entries = self._history.apply(runner_list_codec.change_from_push(push))
        if entries is None:
            self._request_list(sender)
            return
        listed = runner_entries.RunnerList(version, entries)
        self._apply(listed, as_of_s, f"peer {sender}")
        self._record_cold(sender, push)

    def _record_cold(
        self, sender: ids.VmId, push: peer_messages.RunnerListPush
    ) -> None:
        reports = runner_list_codec.cold_from_push(push)
        self._cold.record_reports(reports, self._clock(), f"peer {sender}")

    def _on_list_request(
        self, sender: ids.VmId, request: peer_messages.RunnerListRequest
    ) -> None:
        if self.is_known:
            self._peers.send(
                sender, self._push_since(request.digest, self._cold.known_reports())
            )
