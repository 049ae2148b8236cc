"""Exchanges messages and heartbeats with the other daemons.

Addresses of daemons come from the seeds in the settings, from the store (see
``daemon_registry``), and from heartbeats, which list the live peers of their
sender.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from lacewingdrum_coordination import heartbeat_intervals
from lacewingdrum_gateway.peers import candidate_addresses, peer_lists, peer_table
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import decision_log, metrics, tasks
from lacewingdrum_state import addresses, ids
from lacewingdrum_transport import peer_socket

Peer = peer_table.Peer
LeavingRunners = tuple[tuple[ids.RunnerId, int], ...]
_log = logging.getLogger(__name__)


class Peering:
    """Holds a connection to each daemon and dispatches messages."""

    def __init__(
        self,
        table: peer_table.PeerTable,
        data_centre: ids.DataCentre,
        incarnation: int,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self.table = table
        self.own_address = table.own_address
        self._configuration_version = 0
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._socket = peer_socket.PeerSocket(
            self.own_address, clock=clock, with_pings=False
        )
        self._socket.on_unread = lambda reason: counts.count(
            "peer_messages_unread", reason=reason.value
        )
        self._is_leaving = False
        self._next_heartbeat_to_all = True
        self._lists = peer_lists.PeerLists(table, clock)
        self._last_remote_heartbeat_s = float("-inf")
        self._message_handlers: dict[type, Callable[[ids.VmId, Any], None]] = {}
        self._heartbeat_handlers: list[Callable[[Peer], None]] = []
        self._lost_handlers: list[Callable[[ids.VmId], None]] = []
        self._leaving_runners: Callable[[], LeavingRunners] = tuple
        self._digests: dict[str, Callable[[], int]] = {}
        self._relay_port: Callable[[], int] = int
        self._tasks = tasks.TaskSet()

    async def start(self, host: str, port: int, seeds: tuple[ids.VmId, ...]) -> None:
        """Bind the socket and begin to discover other daemons.

        Args:
            host: the IP address of this daemon.
            port: the port that all daemons use.
            seeds: the addresses of the first daemons to contact.

        Raises:
            OSError: if the address cannot be bound.
        """
        await self._socket.start(host, port)
        for seed in seeds:
            self._connect(self.table.add_seed(seed, self._clock()))
        self._tasks.spawn_loop(self._receive_messages)
        self._tasks.spawn_loop(self._send_heartbeats)

    async def close(self) -> None:
        """Cancel all tasks and close the socket."""
        await self._tasks.close()
        await self._socket.close()

    def on_message(
        self, body_type: type, handler: Callable[[ids.VmId, Any], None]
    ) -> None:
        """Register the handler of a message type."""
        self._message_handlers[body_type] = handler

    def on_heartbeat(self, handler: Callable[[Peer], None]) -> None:
        """Register a handler for peers whose heartbeat has arrived."""
        self._heartbeat_handlers.append(handler)

    def on_peer_lost(self, handler: Callable[[ids.VmId], None]) -> None:
        """Register a handler for daemons that fell silent or restarted."""
        self._lost_handlers.append(handler)

    def send(self, address: ids.VmId, body: peer_messages.Body) -> bool:
        """Send a message to a daemon; return False if it was dropped."""
        return self._socket.send(address, body)

    def broadcast(self, body: peer_messages.Body) -> None:
        """Send a message to all live daemons without waiting."""
        self._socket.send_many([peer.address for peer in self.table.live], body)

    def broadcast_to_work_peers(self, body: peer_messages.Body) -> None:
        """Send a message to the peers that receive this daemon's reports."""
        self._socket.send_many([peer.address for peer in self.table.work_peers()], body)

    def set_leaving(self) -> None:
        """Announce to all daemons that this one is leaving."""
        self._is_leaving = True
        self.announce()

    def set_leaving_runners_source(self, source: Callable[[], LeavingRunners]) -> None:
        """Set what returns the leaving runners that heartbeats name.

        Args:
            source: returns ids and incarnations.
        """
        self._leaving_runners = source

    def set_digest_source(self, topic: str, source: Callable[[], int]) -> None:
        """Set what returns the digest of a topic that heartbeats carry."""
        self._digests[topic] = source

    def set_relay_port_source(self, source: Callable[[], int]) -> None:
        """Set what returns the relay port that heartbeats name, or 0."""
        self._relay_port = source

    def announce(self) -> None:
        """Send a heartbeat to all daemons now, because its content is new."""
        self._next_heartbeat_to_all = True
        self._send_heartbeat()

    def set_version(self, version: int) -> None:
        """Set the configuration version that the next heartbeats name."""
        self._configuration_version = version

    def _connect(self, peer: Peer | None) -> None:
        address = addresses.parse_address(peer.address) if peer is not None else None
        if peer is not None and address is not None:
            self._socket.connect(peer.address, address)

    def add_address(self, name: str) -> None:
        """Connect to a daemon whose address was learnt elsewhere.

        Args:
            name: the address; an unreadable one is ignored.
        """
        if addresses.parse_address(name) is not None:
            self._connect(self.table.add_address(ids.VmId(name), self._clock()))

    def dial(self, turn: candidate_addresses.Turn) -> None:
        """Connect to daemons of the next turn, and end what they replace."""
        for address in turn.given_up:
            self._socket.disconnect(address)
        for address in turn.dialled:
            self._connect(self.table.get(address))

    def _send_heartbeat(self) -> None:
        targets = self._heartbeat_targets()
        receivers = self._lists.next_receivers()
        if receivers:
            self._socket.send_many(receivers, self._heartbeat_message(with_peers=True))
            targets = [address for address in targets if address not in receivers]
        self._socket.send_many(targets, self._heartbeat_message(with_peers=False))

    def _heartbeat_message(self, with_peers: bool) -> peer_messages.Heartbeat:
        live = self.table.live if with_peers else ()
        return peer_messages.Heartbeat(
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            leaving=self._is_leaving,
            documents=(),
            gone_runners=self._leaving_runners(),
            configuration_version=self._configuration_version,
            peers=tuple(peer.address for peer in live),
            digests={
                topic: digest
                for topic, source in self._digests.items()
                if (digest := source())
            },
            relay_port=self._relay_port(),
        )

    def _heartbeat_targets(self) -> list[ids.VmId]:
        """Return the receivers of a heartbeat; changes go to all daemons."""
        table = self.table
        now_s = self._clock()
        intervals = self._intervals()
        is_remote_due = now_s >= self._last_remote_heartbeat_s + intervals.remote_s
        to_all = (
            is_remote_due
            or table.exchanges_all_work_reports
            or self._next_heartbeat_to_all
        )
        if to_all:
            self._next_heartbeat_to_all = False
            self._last_remote_heartbeat_s = now_s
        return [
            peer.address
            for peer in table.known
            if to_all or not table.is_live_in_other_data_centre(peer)
        ]

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            self._check_silent_peers()
            intervals = self._intervals()
            self._socket.receive_interval_s = max(
                peer_socket.RECEIVE_INTERVAL_S, intervals.receive_s
            )
            await asyncio.sleep(intervals.work_peers_s)

    def _intervals(self) -> heartbeat_intervals.Intervals:
        return heartbeat_intervals.intervals(
            len(self.table.work_peers()), self.table.heard_count
        )

    def _check_silent_peers(self) -> None:
        now_s = self._clock()
        intervals = self._intervals()
        for peer in self.table.live:
            if self.table.exchanges_work_reports(peer):
                silent_s = intervals.work_peer_silence_s
                link_silent_s = intervals.work_peer_link_silence_s
            else:
                silent_s = intervals.remote_silence_s
                link_silent_s = intervals.remote_link_silence_s
            self._socket.set_silence_limit(peer.address, link_silent_s)
            if now_s - peer.last_seen_s > silent_s:
                self._mark_peer_lost(peer, "silent")
        for address in self.table.forget_silent(now_s, intervals.forget_silence_s):
            self._socket.disconnect(address)

    def _mark_peer_lost(self, peer: Peer, reason: str) -> None:
        self.table.mark_lost(peer)
        self._counts.count("peers_lost", reason=reason)
        self._decisions.record(
            decision_log.DecisionEvent.PEER_LOST,
            None,
            peer=peer.address,
            reason=reason,
            silent_s=self._clock() - peer.last_seen_s,
        )
        for handler in self._lost_handlers:
            handler(peer.address)

    async def _receive_messages(self) -> None:
        while True:
            message = await self._socket.receive()
            sender = ids.VmId(message.sender)
            if sender == self.own_address:
                continue
            try:
                self._dispatch(sender, message.body)
            except Exception:
                # A failed handler must not end the reception of messages.
                _log.exception("handler of %s failed", type(message.body).__name__)

    def _dispatch(self, sender: ids.VmId, body: peer_messages.Body) -> None:
        if isinstance(body, peer_messages.Heartbeat):
            self._on_heartbeat(sender, body)
            return
        handler = self._message_handlers.get(type(body))
        if handler is not None:
            handler(sender, body)

    def _on_heartbeat(
        self, sender: ids.VmId, heartbeat: peer_messages.Heartbeat
    ) -> None:
        is_unknown = self.table.get(sender) is None
        if is_unknown:
            self.add_address(sender)
        peer = self.table.get(sender)
        if peer is None:
            return
        if peer.is_live and heartbeat.incarnation != peer.incarnation:
            self._mark_peer_lost(peer, "restarted")
        peer.data_centre = ids.DataCentre(heartbeat.data_centre)
        peer.incarnation = heartbeat.incarnation
        peer.configuration_version = heartbeat.configuration_version
        peer.is_leaving = heartbeat.leaving
        peer.leaving_runners = heartbeat.gone_runners
        peer.digests = heartbeat.digests
        peer.relay_port = heartbeat.relay_port
        if self.table.seen(peer, self._clock()):
            self._decisions.record(
                decision_log.DecisionEvent.PEER_JOINED,
                None,
                peer=sender,
                incarnation=peer.incarnation,
            )
        if is_unknown:
            with_peers = self._lists.may_answer_newcomer()
            self._socket.send(sender, self._heartbeat_message(with_peers))
        for name in heartbeat.peers:
            self.add_address(name)
        for handler in self._heartbeat_handlers:
            handler(peer)
