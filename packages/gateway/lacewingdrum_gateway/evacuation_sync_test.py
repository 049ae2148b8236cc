"""Tests of how evacuations reach daemons that do not follow the store."""

import asyncio
import random
import time
import types

from lacewingdrum_gateway import evacuation_sync
from lacewingdrum_gateway.peers import news_spread_test, peer_table
from lacewingdrum_platform import store_calls
from lacewingdrum_runtime import metrics
from lacewingdrum_state import ids, store_versions

DAEMONS = 60
BOUND_S = 0.1
NORTH, SOUTH = ids.DataCentre("north"), ids.DataCentre("south")


class Configurations:
    """Gives rows to a daemon as the synchronization of configurations does."""

    def on_rows(self, handler) -> None:
        self.give = handler

    def on_applied(self, handler) -> None:
        self.apply = handler


def make_fleet(count: int):
    fleet: dict = {}
    syncs = []
    for number in range(count):
        peering = news_spread_test.FleetPeering(f"10.0.0.{number}:7", fleet)
        sync = evacuation_sync.EvacuationSync(
            Configurations(),
            peering,
            BOUND_S,
            random.Random(number),
            time.monotonic,
            types.SimpleNamespace(record=lambda *_, **__: None),
            metrics.Metrics(),
        )
        sync.start()
        syncs.append(sync)
    for peering in fleet.values():
        others = [ids.VmId(name) for name in fleet if name != peering.own_address]
        peering.table.live = tuple(
            types.SimpleNamespace(address=address) for address in others
        )
    return list(fleet.values()), syncs


def rows(version: int, *keys: str, era: int = 1, gone: tuple[str, ...] = ()):
    return store_calls.Rows(
        tuple(
            store_calls.Row(f"evacuate/{key}", None if key in gone else b"{}", version)
            for key in (*keys, *gone)
        ),
        store_versions.StoreVersion(era, version),
        False,
    )


async def settle() -> None:
    for _ in range(40):
        await asyncio.sleep(0)


def beat(peerings) -> None:
    for peering in peerings:
        for other in peerings:
            if other is not peering:
                peering.receive_heartbeat_of(other)


async def test_rows_that_followers_see_in_other_orders_reach_all_alike():
    peerings, syncs = make_fleet(DAEMONS)
    first, second, third = syncs[:3]
    first._configurations.give(rows(3, "north"), False)
    third._configurations.give(rows(9, "north", "south"), False)
    second._configurations.give(rows(6, gone=("north",)), False)
    await settle()
    beat(peerings)
    await settle()
    assert {sync.register.active for sync in syncs} == {frozenset((NORTH, SOUTH))}
    assert len({sync.register.digest for sync in syncs}) == 1


async def test_daemon_that_was_cut_off_is_told_both_ways_by_the_next_heartbeats():
    peerings, syncs = make_fleet(3)
    lone = syncs[2]
    lone._configurations.give(rows(3, "north"), True)
    lone._configurations.give(rows(4, "south"), False)
    syncs[0]._configurations.give(rows(9, "south"), True)
    beat(peerings)
    await settle()
    for sync in syncs:
        # Two seconds later they may send it once more.
        sync._spread._sent_s.clear()
    beat(peerings)
    await settle()
    assert {sync.register.active for sync in syncs} == {frozenset((SOUTH,))}


async def test_belief_of_before_a_return_counts_for_a_while_only():
    _, (sync, other) = make_fleet(2)
    sync._configurations.give(rows(5, "north"), True)
    await settle()
    sync._configurations.give(rows(3, era=2), True)
    await settle()
    assert other.register.active == sync.register.active == {NORTH}
    await asyncio.sleep(2 * BOUND_S)
    await settle()
    assert not other.register.active and not sync.register.active


async def test_daemon_asks_until_a_peer_that_knows_has_answered():
    peerings, (known, late) = make_fleet(2)
    late._configurations.apply(None)
    peer = peer_table.Peer(peerings[0].own_address)
    late._on_heartbeat(peer)
    await settle()
    assert not late.is_known, "a peer that knows nothing has answered"
    known._configurations.give(rows(5), True)
    await asyncio.sleep(evacuation_sync.REQUEST_INTERVAL_S)
    late._on_heartbeat(peer)
    await settle()
    assert late.is_known
