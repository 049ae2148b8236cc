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

HEARTBEAT_PERIOD_S = 0.5
# Daemons of other data centres, which are many, hear one beat of so many.
FAR_BEAT_INTERVAL = 2

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
        period_s: float = HEARTBEAT_PERIOD_S,
    ) -> None:
        self._socket = socket
        self._members = members
        self._heartbeat = heartbeat
        self._clock = clock
        self._period_s = period_s
        self._is_leaving = False
        self._beat_count = 0
        self._handlers: dict[type, list[_Handler]] = collections.defaultdict(list)
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Begin to send heartbeats and to receive."""
        self._tasks.spawn(self._beat_for_ever())
        self._tasks.spawn(self._receive_for_ever())

    async def close(self) -> None:
        """End both; the socket is closed by its owner."""
        await self._tasks.close()

    def on(
        self, body_type: type[_Body], handler: Callable[[ids.VmId, _Body], None]
    ) -> None:
        """Have messages of a type handled; several handlers take turns.

        Args:
            body_type: the messages' type.
            handler: gets the sender and the message.
        """
        self._handlers[body_type].append(handler)

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send to one daemon, this one included, without waiting.

        Args:
            vm_id: the daemon's VM.
            body: the message.

        Returns:
            False if it was dropped.
        """
        if vm_id == self._socket.vm_id:
            asyncio.get_running_loop().call_soon(self._hand_out, vm_id, body)
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
        wanted = tuple(
            vm.vm_id
            for vm in self._members.view.vms
            if vm.vm_id != self._socket.vm_id
            and (data_centre is None or vm.data_centre == data_centre)
        )
        return self._socket.send_many(wanted, body)

    def set_leaving(self) -> None:
        """Tell all daemons at once that this one is leaving."""
        self._is_leaving = True
        self.beat()

    def beat(self, data_centre: ids.DataCentre | None = None) -> None:
        """Follow the list, and send one heartbeat to the daemons on it.

        Args:
            data_centre: if given, only to the daemons there.
        """
        self._follow_list()
        heartbeat = self._heartbeat()
        if self._is_leaving:
            heartbeat = msgspec.structs.replace(heartbeat, leaving=True)
        # Nobody sends to itself, yet the own VM is live like any other.
        self._members.heard(self._socket.vm_id, heartbeat)
        self.broadcast(heartbeat, data_centre)

    def _follow_list(self) -> None:
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

    def _beat_in_turn(self) -> None:
        self._beat_count += 1
        is_far_turn = self._beat_count % FAR_BEAT_INTERVAL == 1
        self.beat(None if is_far_turn else self._own_data_centre())

    def _own_data_centre(self) -> ids.DataCentre | None:
        for vm in self._members.view.vms:
            if vm.vm_id == self._socket.vm_id:
                return vm.data_centre
        return None

    async def _beat_for_ever(self) -> None:
        while True:
            try:
                self._beat_in_turn()
            except Exception:
                # A daemon without heartbeats would count as dead.
                _log.exception("heartbeat failed")
            await asyncio.sleep(self._period_s)

    async def _receive_for_ever(self) -> None:
        while True:
            message = await self._socket.receive()
            self._hand_out(ids.VmId(message.sender), message.body)

    def _hand_out(self, sender: ids.VmId, body: peer_messages.Body) -> None:
        if isinstance(body, peer_messages.Heartbeat):
            self._members.heard(sender, body)
        for handler in self._handlers[type(body)]:
            try:
                handler(sender, body)
            except Exception:
                # One message must not end the reception of all others.
                _log.exception("handler of %s failed", type(body).__name__)
