"""Exchanges heartbeats and messages with the other daemons."""

import asyncio
import collections
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lacewingdrum_daemon import membership_sync
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import tasks
from lacewingdrum_state import ids
from lacewingdrum_transport import peer_socket

HEARTBEAT_INTERVAL_S = 0.5
# The daemons of other data centres are many, so only every n-th heartbeat is
# sent to them.
REMOTE_EVERY_HEARTBEATS = 2

_Body = TypeVar("_Body", bound=msgspec.Struct)
_Handler = Callable[[ids.VmId, Any], None]
_log = logging.getLogger(__name__)


class Peering:
    """Connects to each listed daemon and dispatches messages to handlers."""

    def __init__(
        self,
        socket: peer_socket.PeerSocket,
        members: membership_sync.MembershipSync,
        heartbeat: Callable[[], peer_messages.Heartbeat],
        clock: Callable[[], float],
        period_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        self._socket = socket
        self._members = members
        self._make_heartbeat = heartbeat
        self._clock = clock
        self._period_s = period_s
        self._is_leaving = False
        self._heartbeat_count = 0
        self._message_handlers: dict[type, list[_Handler]] = collections.defaultdict(
            list
        )
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Start sending heartbeats and receiving messages."""
        self._tasks.spawn(self._send_heartbeats())
        self._tasks.spawn(self._receive_messages())

    async def close(self) -> None:
        """Stop sending and receiving; the owner of the socket closes it."""
        await self._tasks.close()

    def on_message(
        self, body_type: type[_Body], handler: Callable[[ids.VmId, _Body], None]
    ) -> None:
        """Register a handler for the messages of a type.

        Several handlers of one type are called in the order of registration.

        Args:
            body_type: the type of the messages.
            handler: called with the sender and the message.
        """
        self._message_handlers[body_type].append(handler)

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send to one daemon, this one included, without waiting.

        Args:
            vm_id: the daemon's VM.
            body: the message.

        Returns:
            False if the message was dropped.
        """
        if vm_id == self._socket.vm_id:
            asyncio.get_running_loop().call_soon(self._dispatch, vm_id, body)
            return True
        return self._socket.send(vm_id, body)

    def broadcast(
        self, body: peer_messages.Body, data_centre: ids.DataCentre | None = None
    ) -> int:
        """Send to all other daemons, without waiting.

        Args:
            body: the message.
            data_centre: if given, only the daemons there are sent to.

        Returns:
            How many daemons the message was queued for.
        """
        receivers = tuple(
            vm.vm_id
            for vm in self._members.view.vms
            if vm.vm_id != self._socket.vm_id
            and (data_centre is None or vm.data_centre == data_centre)
        )
        return self._socket.send_many(receivers, body)

    def set_leaving(self) -> None:
        """Announce to all daemons immediately that this one is leaving."""
        self._is_leaving = True
        self.send_heartbeat()

    def send_heartbeat(self, data_centre: ids.DataCentre | None = None) -> None:
        """Connect to the listed daemons and send them one heartbeat.

        Args:
            data_centre: if given, only the daemons there are sent to.
        """
        self._sync_connections()
        heartbeat = self._make_heartbeat()
        if self._is_leaving:
            heartbeat = msgspec.structs.replace(heartbeat, leaving=True)
        # Heartbeats are not sent to this daemon, but its VM counts as live.
        self._members.on_heartbeat(self._socket.vm_id, heartbeat)
        self.broadcast(heartbeat, data_centre)

    def _sync_connections(self) -> None:
        listed = {
            vm.vm_id: vm.peer_address
            for vm in self._members.view.vms
            if vm.vm_id != self._socket.vm_id
        }
        for vm_id in self._socket.peers:
            if vm_id not in listed:
                self._socket.disconnect(vm_id)
        for vm_id, address in listed.items():
            self._socket.connect(vm_id, address)

    def _send_due_heartbeat(self) -> None:
        self._heartbeat_count += 1
        is_remote_due = self._heartbeat_count % REMOTE_EVERY_HEARTBEATS == 1
        self.send_heartbeat(None if is_remote_due else self._own_data_centre())

    def _own_data_centre(self) -> ids.DataCentre | None:
        for vm in self._members.view.vms:
            if vm.vm_id == self._socket.vm_id:
                return vm.data_centre
        return None

    async def _send_heartbeats(self) -> None:
        while True:
            try:
                self._send_due_heartbeat()
            except Exception:
                # Peers consider a daemon without heartbeats dead.
                _log.exception("heartbeat failed")
            await asyncio.sleep(self._period_s)

    async def _receive_messages(self) -> None:
        while True:
            message = await self._socket.receive()
            self._dispatch(ids.VmId(message.sender), message.body)

    def _dispatch(self, sender: ids.VmId, body: peer_messages.Body) -> None:
        if isinstance(body, peer_messages.Heartbeat):
            self._members.on_heartbeat(sender, body)
        for handler in self._message_handlers[type(body)]:
            try:
                handler(sender, body)
            except Exception:
                # An error in one handler must not stop the receive loop.
                _log.exception("handler of %s failed", type(body).__name__)
