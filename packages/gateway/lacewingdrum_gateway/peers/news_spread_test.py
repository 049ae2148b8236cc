"""Tests of how news reaches a large fleet."""

import asyncio
import collections
import random
import time
import types

from lacewingdrum_gateway.crashes import crash_sync
from lacewingdrum_gateway.peers import news_spread, peer_table
from lacewingdrum_runtime import metrics
from lacewingdrum_state import crashes, ids

LOST = frozenset(((crashes.parse_subject("bad"),),))


class FleetPeering:
    """Delivers messages between the daemons of a test at once."""

    def __init__(self, name: str, fleet: dict) -> None:
        self.own_address = ids.VmId(name)
        self.table = types.SimpleNamespace(live=())
        self.sent_count = 0
        self._fleet = fleet
        self._handlers: dict = {}
        self._on_heartbeat = None
        self._digests: dict = {}
        fleet[name] = self

    def on_message(self, body_type, handler) -> None:
        self._handlers[body_type] = handler

    def on_heartbeat(self, handler) -> None:
        self._on_heartbeat = handler

    def set_digest_source(self, topic, source) -> None:
        self._digests[topic] = source

    def send(self, address, body) -> bool:
        self.sent_count += 1
        handler = self._fleet[address]._handlers[type(body)]
        asyncio.get_running_loop().call_soon(handler, self.own_address, body)
        return True

    def receive_heartbeat_of(self, other: "FleetPeering") -> None:
        peer = peer_table.Peer(other.own_address)
        peer.digests = {topic: source() for topic, source in other._digests.items()}
        self._on_heartbeat(peer)


def make_fleet(count: int):
    fleet: dict = {}
    syncs = []
    for number in range(count):
        peering = FleetPeering(f"10.0.0.{number}:7", fleet)
        rng, counts = random.Random(number), metrics.Metrics()
        sync = crash_sync.CrashSync(peering, time.monotonic, rng, counts)
        sync.start()
        syncs.append(sync)
    for peering in fleet.values():
        peering.table.live = tuple(
            peer_table.Peer(address)
            for address in fleet
            if address != peering.own_address
        )
    return list(fleet.values()), syncs


def a_crash(number: int) -> crashes.Evidence:
    crash = crashes.RunnerCrash(
        ids.RunnerId(f"e{number}"), 1, time.monotonic(), LOST, frozenset()
    )
    return crashes.Evidence((crash,))


async def test_news_reaches_a_large_fleet_at_a_cost_that_does_not_grow_with_it():
    for count in (40, 200):
        peerings, syncs = make_fleet(count)
        syncs[0].add(a_crash(1))
        await asyncio.sleep(0.4)
        informed = sum(bool(sync.evidence.digest) for sync in syncs)
        assert informed >= 0.97 * count
        sent = collections.Counter(peering.sent_count for peering in peerings)
        assert max(sent) <= news_spread.RELAY_PEERS


async def test_daemon_that_missed_news_gets_it_after_its_heartbeat():
    peerings, syncs = make_fleet(2)
    syncs[0].evidence.merge(a_crash(1), time.monotonic())
    peerings[0].receive_heartbeat_of(peerings[1])
    await asyncio.sleep(0)
    assert syncs[1].evidence.digest == syncs[0].evidence.digest != 0
    count = peerings[0].sent_count
    peerings[0].receive_heartbeat_of(peerings[1])
    assert peerings[0].sent_count == count
