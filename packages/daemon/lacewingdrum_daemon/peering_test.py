"""Tests of peering between daemons over real loopback sockets."""

import asyncio
import contextlib

from result import Ok

from lacewingdrum_coordination import membership
from lacewingdrum_daemon import membership_sync, peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import peer_socket

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 10.0
PERIOD_S = 0.02
CENTRES = {"vm-1": "bayern-a", "vm-2": "bayern-a", "vm-3": "bayern-b"}


class List:
    """The membership list that all daemons of a test read."""

    def __init__(self):
        self.vms = ()

    async def read(self):
        return Ok(fleet.Members(self.vms))


class LocalDaemon:
    """One daemon's socket, membership sync and peering."""

    def __init__(self, name, members):
        self.vm_id = ids.VmId(name)
        self.data_centre = ids.DataCentre(CENTRES[name])
        clock = asyncio.get_running_loop().time
        self.clock = clock
        self.socket = peer_socket.PeerSocket(self.vm_id, None, clock)
        self.members = membership_sync.MembershipSync(members, PERIOD_S, clock)
        self.peering = peering.Peering(
            self.socket, self.members, self.heartbeat, clock, PERIOD_S
        )
        self.received = []
        self.peering.on_message(peer_messages.BudgetGrant, self.record_message)

    def heartbeat(self):
        return peer_messages.Heartbeat(1, self.data_centre, False, ())

    def record_message(self, sender, body):
        self.received.append((sender, body.customer))

    def live(self):
        found = membership.live_vms(self.members.view, self.clock())
        return {vm.vm_id for vm in found}

    def reachable(self):
        return set(membership.reachable_vms(self.members.view, self.clock()))

    async def start(self):
        port = await self.socket.start(HOST, 0)
        self.members.start()
        self.peering.start()
        address = fleet.Address(HOST, port)
        return fleet.Vm(
            self.vm_id, self.data_centre, address, address, ids.Incarnation(1)
        )

    async def close(self):
        await self.peering.close()
        await self.members.close()
        await self.socket.close()


@contextlib.asynccontextmanager
async def fleet_of_three():
    members = List()
    daemons = [LocalDaemon(name, members) for name in CENTRES]
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            members.vms = tuple([await daemon.start() for daemon in daemons])
            await until(lambda: all(len(daemon.reachable()) == 3 for daemon in daemons))
            yield daemons, members
    finally:
        for daemon in daemons:
            await daemon.close()


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def grant(customer):
    return peer_messages.BudgetGrant("meiler-llm", customer, 1, 1)


async def test_messages_reach_only_the_addressed_daemons():
    async with fleet_of_three() as ((first, second, third), _):
        assert first.peering.broadcast(grant("all")) == 2
        assert first.peering.broadcast(grant("centre"), first.data_centre) == 1
        assert first.peering.send(third.vm_id, grant("third"))
        assert first.peering.send(first.vm_id, grant("self"))
        await until(lambda: len(second.received) == 2 and len(third.received) == 2)
        await until(lambda: first.received)
        assert second.received == [("vm-1", "all"), ("vm-1", "centre")]
        assert third.received == [("vm-1", "all"), ("vm-1", "third")]
        assert first.received == [("vm-1", "self")]


async def test_failing_handler_does_not_stop_later_messages():
    async with fleet_of_three() as ((first, second, _), _):

        def fail(sender, body):
            raise ValueError(body.customer)

        second.peering._message_handlers[peer_messages.BudgetGrant].insert(0, fail)
        peering._log.disabled = True
        first.peering.send(second.vm_id, grant("a"))
        first.peering.send(second.vm_id, grant("b"))
        await until(lambda: len(second.received) == 2)
        peering._log.disabled = False


async def test_leaving_daemon_is_no_longer_live_for_its_peers():
    async with fleet_of_three() as ((first, second, third), _):
        third.peering.set_leaving()
        await until(lambda: first.live() == second.live() == {"vm-1", "vm-2"})
        assert third.vm_id in first.reachable()


async def test_killed_daemon_is_no_longer_live_for_its_peers():
    async with fleet_of_three() as ((first, second, third), _):
        await third.close()
        await until(lambda: first.live() == second.live() == {"vm-1", "vm-2"})


async def test_connections_follow_the_membership_list():
    async with fleet_of_three() as ((first, second, third), members):
        members.vms = members.vms[:2]
        await until(lambda: first.socket.peers == (second.vm_id,))
        assert not first.peering.send(third.vm_id, grant("a"))


async def test_daemons_in_other_data_centres_receive_every_second_heartbeat():
    async with fleet_of_three() as ((first, second, third), _):
        counts = {second.vm_id: 0, third.vm_id: 0}

        def counter_of(daemon):
            def count(sender, body):
                counts[daemon.vm_id] += sender == first.vm_id

            return count

        second.peering.on_message(peer_messages.Heartbeat, counter_of(second))
        third.peering.on_message(peer_messages.Heartbeat, counter_of(third))
        await until(lambda: counts[second.vm_id] >= 40)
        assert 17 <= counts[third.vm_id] <= 23
