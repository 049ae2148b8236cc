"""Synchronizes the configuration with the store and the peers.

A daemon never returns to an older version, also if the store does. It follows
the feed of the store, and reads the whole table where the feed has a gap. In a
large fleet only a few daemons follow it, see ``store_followers``. They
announce a newer version to all, and the others take it from one of them, or
from the table if none answers.
Heartbeats show which peers have a newer version; it is requested from one of
them if the feed does not deliver it soon.
"""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import (
    retry_pauses,
    route_table,
    store_deadlines,
    store_followers,
)
from lacewingdrum_gateway import store_client, store_following
from lacewingdrum_gateway.peers import peering
from lacewingdrum_platform import desired_state, store_calls
from lacewingdrum_protocol import packed_text, peer_messages
from lacewingdrum_runtime import decision_log, metrics, tasks
from lacewingdrum_state import ids, store_versions

RETRY_MIN_S = 0.25
# A daemon that does not follow the feed reads the table at least this often,
# and more rarely the more daemons it hears, so that all together make as many
# calls in a larger fleet.
UNFOLLOWED_READ_S = 30.0
# The longest time until a daemon notices that it has to follow the feed.
FOLLOWER_CHECK_S = 0.5
# The time that the feed has to deliver a version before a peer is asked.
PEER_REQUEST_DELAY_S = 0.5
REQUEST_INTERVAL_S = 0.4


class ConfigurationSync:
    """Holds the route table in force, which is None until one is known."""

    def __init__(
        self,
        store: store_client.StoreClient,
        peers: peering.Peering,
        deadlines: store_deadlines.StoreDeadlines,
        rng: random.Random,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self.table: route_table.RouteTable | None = None
        self._taken_s = float("-inf")
        self._text = b""
        # The text as it is sent, packed when it is first asked for.
        self._packed_text: bytes | None = None
        self._store = store
        self._peers = peers
        self._deadlines = deadlines
        self._following = store_following.StoreFollowing(peers.table, deadlines)
        self._pauses = retry_pauses.RetryPauses(RETRY_MIN_S, rng)
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._last_request_s = float("-inf")
        self._newer_announced = asyncio.Event()
        self._applied = asyncio.Event()
        self._applied_handlers: list[Callable[[route_table.RouteTable], None]] = []
        self._rows_handlers: list[Callable[[store_calls.Rows, bool], None]] = []
        self._tasks = tasks.TaskSet()

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none."""
        return self.table.configuration.version if self.table else 0

    @property
    def age_s(self) -> float:
        """The time since the version in force was taken."""
        return self._clock() - self._taken_s

    def start(self) -> None:
        """Begin to follow the store and the peers."""
        self._peers.on_message(
            peer_messages.ConfigurationRequest, self._on_configuration_request
        )
        self._peers.on_message(
            peer_messages.ConfigurationPush, self._on_configuration_push
        )
        self._peers.on_message(peer_messages.FeedTurn, self._on_feed_turn)
        self._peers.on_heartbeat(self._on_heartbeat)
        self._tasks.spawn_loop(self._follow_store)

    async def close(self) -> None:
        """Stop following the store."""
        await self._tasks.close()

    def on_applied(self, handler: Callable[[route_table.RouteTable], None]) -> None:
        """Register a handler for configurations that come into force."""
        self._applied_handlers.append(handler)

    def on_rows(self, handler: Callable[[store_calls.Rows, bool], None]) -> None:
        """Register a handler for rows of the operators' table.

        It is given the rows and whether they are the whole table. It is called
        before a configuration among them comes into force.
        """
        self._rows_handlers.append(handler)

    def _apply(self, text: bytes, source: str) -> None:
        found, faults = desired_state.decode(text)
        for fault in faults:
            self._counts.count("store_faults", kind="configuration")
            self._decisions.record(
                decision_log.DecisionEvent.DOCUMENT_CONFLICT,
                None,
                source=source,
                fault=str(fault),
                version_in_force=self.version,
            )
        if found is None or found.version <= self.version:
            return
        previous_version = self.version
        self.table = route_table.RouteTable(found)
        self._taken_s = self._clock()
        self._text, self._packed_text = text, None
        self._decisions.record(
            decision_log.DecisionEvent.CONFIGURATION_TAKEN,
            None,
            version=found.version,
            version_before=previous_version,
            source=source,
            routes=len(found.routes),
            customers=len(found.customers),
        )
        self._applied.set()
        self._peers.set_version(found.version)
        if self._following.is_follower:
            self._peers.announce()
        for handler in self._applied_handlers:
            handler(self.table)

    async def _follow_store(self) -> None:
        after: store_versions.StoreVersion | None = None
        has_changed = False
        while True:
            if after is not None and not self._following.is_follower:
                await self._wait_for_newer_version()
                if await self._take_from_near_peer():
                    continue
                after = None
            if after is None:
                answer = await self._store.read(store_calls.CONFIGURATION_TABLE)
            else:
                answer = await self._store.follow(
                    store_calls.CONFIGURATION_TABLE,
                    after,
                    self._begin_feed(has_changed),
                )
            match answer:
                case Ok(rows):
                    is_whole = after is None
                    after = rows.version
                    self._pauses.reset()
                    has_changed = bool(rows.rows)
                    for handler in self._rows_handlers:
                        handler(rows, is_whole)
                    if has_changed:
                        self._apply_rows(rows.rows)
                        await asyncio.sleep(self._deadlines.feed_pause_s)
                case Err(error):
                    # The feed may not repeat changes of the meantime, so the
                    # whole table is read again.
                    after = None
                    if error.reason is store_client.StoreErrorReason.HISTORY_GONE:
                        continue
                    await self._pause_after_failure()

    def _begin_feed(self, has_changed: bool) -> float:
        """Return how long the next feed waits; tell the other followers."""
        wait_s = self._following.feed_wait_s(has_changed, self._clock())
        turn = peer_messages.FeedTurn(int(wait_s * 1_000))
        for address in self._following.other_followers():
            self._peers.send(address, turn)
        return wait_s

    def _on_feed_turn(self, sender: ids.VmId, turn: peer_messages.FeedTurn) -> None:
        self._following.record_turn(sender, turn.wait_ms / 1_000, self._clock())

    async def _pause_after_failure(self) -> None:
        """Wait before the next call; followers of the store wait less long."""
        was_follower = self._following.is_follower
        bound_s = self._deadlines.in_force_s if was_follower else UNFOLLOWED_READ_S
        limit_s = retry_pauses.limit_s(self._peers.table.fleet_size_factor, bound_s)
        end_s = self._clock() + self._pauses.take_s(limit_s)
        while (left_s := end_s - self._clock()) > 0:
            if self._following.is_follower and not was_follower:
                return
            await asyncio.sleep(min(left_s, FOLLOWER_CHECK_S))

    async def _wait_for_newer_version(self) -> None:
        """Wait until a peer has a newer version, for a limited time.

        The wait also ends when this daemon has to follow the feed, or when it
        hears none of the daemons that follow it.
        """
        start_s = self._clock()
        while not (self._following.is_follower or self._is_read_due(start_s)):
            silence_s = self._clock() - max(start_s, self._following.followers_seen_s())
            left_s = self._deadlines.followers_silence_s - silence_s
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(min(left_s, FOLLOWER_CHECK_S)):
                    await self._newer_announced.wait()
            except TimeoutError:
                continue
            self._newer_announced.clear()
            if self._following.newest_version_heard() <= self.version:
                # It has come in the meantime.
                continue
            await asyncio.sleep(store_followers.read_delay_s(self._peers.own_address))
            return

    def _is_read_due(self, start_s: float) -> bool:
        factor = self._peers.table.fleet_size_factor
        return self._clock() - start_s >= UNFOLLOWED_READ_S * factor

    async def _take_from_near_peer(self) -> bool:
        """Ask a near peer for its newer version; return whether it came."""
        holder = self._following.pick_newer_near_peer(self.version)
        if holder is None or self._following.is_follower:
            return False
        self._applied.clear()
        self._last_request_s = self._clock()
        self._peers.send(holder.address, self._request())
        try:
            async with asyncio.timeout(self._deadlines.near_answer_s):
                await self._applied.wait()
        except TimeoutError:
            return False
        return True

    def _apply_rows(self, rows: tuple[store_calls.Row, ...]) -> None:
        for row in rows:
            if row.key == store_calls.CONFIGURATION_KEY and row.value is not None:
                self._apply(row.value, "store")

    def _on_heartbeat(self, peer: peering.Peer) -> None:
        if peer.configuration_version > self.version:
            self._newer_announced.set()
            delay_s = PEER_REQUEST_DELAY_S if self.table else 0.0
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._request_configuration, peer.address)

    def _request_configuration(self, address: ids.VmId) -> None:
        now_s = self._clock()
        if (
            self._following.newest_version_heard() <= self.version
            or now_s - self._last_request_s < REQUEST_INTERVAL_S
        ):
            return
        self._last_request_s = now_s
        self._peers.send(address, self._request())

    def _request(self) -> peer_messages.ConfigurationRequest:
        return peer_messages.ConfigurationRequest(self.version, accepts_packed=True)

    def _on_configuration_request(
        self, sender: ids.VmId, request: peer_messages.ConfigurationRequest
    ) -> None:
        if self.version > request.version:
            push = self._push(request.accepts_packed)
            is_sent = self._peers.send(sender, push)
            self._counts.count("configuration_sent_bytes", len(push.text))
            self._decisions.record(
                decision_log.DecisionEvent.CONFIGURATION_SENT,
                None,
                version=self.version,
                peer=sender,
                size_bytes=len(push.text),
                is_sent=is_sent,
            )

    def _push(self, is_packed: bool) -> peer_messages.ConfigurationPush:
        if not is_packed:
            return peer_messages.ConfigurationPush(self.version, self._text)
        if self._packed_text is None:
            self._packed_text = packed_text.pack(self._text)
        return peer_messages.ConfigurationPush(self.version, self._packed_text, True)

    def _on_configuration_push(
        self, sender: ids.VmId, push: peer_messages.ConfigurationPush
    ) -> None:
        if push.version <= self.version:
            return
        text = packed_text.unpack(push.text) if push.is_packed else Ok(push.text)
        match text:
            case Ok(read):
                self._apply(read, f"peer {sender}")
            case Err(fault):
                self._counts.count("store_faults", kind="configuration")
                self._decisions.record(
                    decision_log.DecisionEvent.DOCUMENT_CONFLICT,
                    None,
                    source=f"peer {sender}",
                    fault=fault,
                    version_in_force=self.version,
                )
