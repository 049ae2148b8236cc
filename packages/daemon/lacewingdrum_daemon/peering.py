"""Talks to the other daemons: heartbeats, and messages by their type."""

import asyncio
import collections
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lacewingdrum_daemon import membership_sync, tasks
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import ids
from lacewingdrum_transport import peer_socket

HEARTBEAT_INTERVAL_S = 0.5
# Daemons of other data centres, which are many, hear one beat of so many.
REMOTE_EVERY_HEARTBEATS = 2

_Body = TypeVar("_Body", bound=msgspec.Struct)
_Handler = Callable[[ids.VmId, Any], None]
_log = logging.getLogger(__name__)


class Peering:
    """Keeps a connection to each listed daemon and hands messages out."""

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
        """Begin to send heartbeats and to receive."""
        self._tasks.spawn(self._send_heartbeats())
        self._tasks.spawn(self._receive_messages())

    async def close(self) -> None:
        """End both; the socket is closed by its owner."""
        await self._tasks.close()

    def on_message(
        self, body_type: type[_Body], handler: Callable[[ids.VmId, _Body], None]
    ) -> None:
        """Have messages of a type handled; several handlers take turns.

        Args:
            body_type: the messages' type.
            handler: gets the sender and the message.
        """
        self._message_handlers[body_type].append(handler)

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send to one daemon, this one included, without waiting.

        Args:
            vm_id: the daemon's VM.
            body: the message.

        Returns:
            False if it was dropped.
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
            data_centre: if given, only the daemons there.

        Returns:
            How many daemons' queues have taken it.
        """
        receivers = tuple(
            vm.vm_id
            for vm in self._members.view.vms
            if vm.vm_id != self._socket.vm_id
            and (data_centre is None or vm.data_centre == data_centre)
        )
        return self._socket.send_many(receivers, body)

    def set_leaving(self) -> None:
        """Tell all daemons at once that this one is leaving."""
        self._is_leaving = True
        self.send_heartbeat()

    def send_heartbeat(self, data_centre: ids.DataCentre | None = None) -> None:
        """Follow the list, and send one heartbeat to the daemons on it.

        Args:
            data_centre: if given, only to the daemons there.
        """
        self._sync_connections()
        heartbeat = self._make_heartbeat()
        if self._is_leaving:
            heartbeat = msgspec.structs.replace(heartbeat, leaving=True)
        # Nobody sends to itself, yet the own VM is live like any other.
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
                # A daemon without heartbeats would count as dead.
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
                # One message must not end the reception of all others.
                _log.exception("handler of %s failed", type(body).__name__)
