"""Daemons that synchronize documents on virtual time and an in-memory network.

Document sync, peering and membership sync are the real classes. The table,
the sockets and the membership list are fakes.
"""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok, Result

from lacewingdrum_daemon import document_sync, membership_sync, peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import documents, fleet, ids, states
from lacewingdrum_transport import members_client
from tests import faulty_table

LATENCY_MAX_S = 0.02
LATE_MESSAGE_MAX_S = 1.0
NOWHERE = fleet.Address("127.0.0.1", 1)
SERVICE = ids.ServiceName("sommelier-llm")


def parse(text: str) -> tuple[documents.ServiceDocument | None, tuple[str, ...]]:
    """Return a document of ``SERVICE`` whose purpose is ``text``."""
    document = documents.ServiceDocument(
        SERVICE, states.ServiceType.MODEL, text, (), ()
    )
    return document, ()


class Network:
    """Carries messages between daemons, with delays and losses."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loss = 0.0
        self.late = 0.0
        self.sockets: dict[ids.VmId, Socket] = {}
        self.partitioned: set[ids.VmId] = set()

    def deliver(self, sender: ids.VmId, to: ids.VmId, body: peer_messages.Body) -> None:
        """Deliver a message after a random delay, or drop it."""
        if self.rng.random() < self.loss or {sender, to} & self.partitioned:
            return
        socket = self.sockets.get(to)
        if socket is not None:
            message = peer_messages.PeerMessage(sender, body)
            is_late = self.rng.random() < self.late
            longest_s = LATE_MESSAGE_MAX_S if is_late else LATENCY_MAX_S
            delay_s = self.rng.uniform(0.0, longest_s)
            asyncio.get_running_loop().call_later(
                delay_s, socket.inbox.put_nowait, message
            )


class Socket:
    """Stands in for ``peer_socket.PeerSocket``."""

    def __init__(self, vm_id: ids.VmId, network: Network) -> None:
        self.vm_id = vm_id
        self.peers: set[ids.VmId] = set()
        self.inbox: asyncio.Queue[peer_messages.PeerMessage] = asyncio.Queue()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._network = network
        network.sockets[vm_id] = self

    def connect(self, vm_id: ids.VmId, address: fleet.Address) -> None:
        """Do nothing; the network needs no connections."""

    def disconnect(self, vm_id: ids.VmId) -> None:
        """Do nothing; the network needs no connections."""

    def send(self, vm_id: ids.VmId, body: peer_messages.Body) -> bool:
        """Send, unless this daemon is frozen or has ended."""
        if self.thawed.is_set() and self._network.sockets.get(self.vm_id) is self:
            self._network.deliver(self.vm_id, vm_id, body)
        return True

    def send_many(self, vm_ids: tuple[ids.VmId, ...], body: peer_messages.Body) -> int:
        """Send to several daemons."""
        for vm_id in vm_ids:
            self.send(vm_id, body)
        return len(vm_ids)

    async def receive(self) -> peer_messages.PeerMessage:
        """Wait for a message; a frozen daemon receives it after its thaw."""
        message = await self.inbox.get()
        await self.thawed.wait()
        return message


class MembersList:
    """Fakes the client of the platform's membership list."""

    def __init__(self) -> None:
        self.members = fleet.Members()
        self.is_down = False

    async def read(self) -> Result[fleet.Members, members_client.MembersError]:
        """Return the list, or an error while ``is_down`` is set."""
        if self.is_down:
            reason = members_client.MembersErrorReason.UNAVAILABLE
            return Err(members_client.MembersError(reason, "down"))
        return Ok(self.members)


class Daemon:
    """The components of one daemon that synchronize documents."""

    def __init__(
        self,
        vm: fleet.Vm,
        site: "Site",
        parse_document: Callable[..., tuple] = parse,
    ) -> None:
        clock = asyncio.get_running_loop().time
        rng = random.Random(site.rng.random())
        self.vm = vm
        self.link = faulty_table.Link(site.table)
        self.socket = Socket(vm.vm_id, site.network)
        self.members = membership_sync.MembershipSync(site.list, 1.0, clock, rng)
        self.peering = peering.Peering(
            self.socket,  # type: ignore[arg-type]
            self.members,
            self._heartbeat,
            clock,
        )
        self.document_sync = document_sync.DocumentSync(
            self.link,
            self.peering,
            parse_document,
            clock,
            vm_id=vm.vm_id,
            members=self.members,
            rng=rng,
        )

    def start(self) -> None:
        """Start all components."""
        self.members.start()
        self.peering.start()
        self.document_sync.start()

    async def close(self) -> None:
        """Close all components at once, as if the process was killed."""
        await self.document_sync.close()
        await self.peering.close()
        await self.members.close()

    def freeze(self) -> None:
        """Receive and send nothing until ``thaw``."""
        self.link.thawed.clear()
        self.socket.thawed.clear()

    def thaw(self) -> None:
        """Receive and send again."""
        self.link.thawed.set()
        self.socket.thawed.set()

    @property
    def version(self) -> int:
        """The version of ``SERVICE`` in force at this daemon, 0 if none."""
        stored = self.document_sync.in_force(SERVICE)
        return 0 if stored is None else stored.version

    def _heartbeat(self) -> peer_messages.Heartbeat:
        return peer_messages.Heartbeat(
            self.vm.incarnation,
            self.vm.data_centre,
            False,
            self.document_sync.digests(),
        )


class Site:
    """Several daemons that share one table and one membership list."""

    def __init__(self, seed: int, data_centres: int = 2) -> None:
        self.rng = random.Random(seed)
        self.table = faulty_table.FaultyTable(self.rng)
        self.network = Network(self.rng)
        self.list = MembersList()
        self.daemons: dict[ids.VmId, Daemon] = {}
        self._data_centres = data_centres
        self._count = 0

    def add(self, parse_document: Callable[..., tuple] = parse) -> Daemon:
        """Start one more daemon and return it."""
        self._count += 1
        vm = fleet.Vm(
            ids.VmId(f"vm-{self._count}"),
            ids.DataCentre(f"dc-{self._count % self._data_centres}"),
            NOWHERE,
            NOWHERE,
            ids.Incarnation(1),
        )
        daemon = Daemon(vm, self, parse_document)
        self.daemons[vm.vm_id] = daemon
        self._list_all()
        daemon.start()
        return daemon

    async def kill(self, vm_id: ids.VmId) -> None:
        """End one daemon and remove it from the membership list."""
        daemon = self.daemons.pop(vm_id)
        del self.network.sockets[vm_id]
        self._list_all()
        await daemon.close()

    async def close(self) -> None:
        """End all daemons."""
        for vm_id in tuple(self.daemons):
            await self.kill(vm_id)

    def _list_all(self) -> None:
        vms = tuple(daemon.vm for daemon in self.daemons.values())
        self.list.members = fleet.Members(vms=vms)
