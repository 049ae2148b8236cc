from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_state import ids

OWN = ids.VmId("10.0.0.5:7")
NORTH = ids.DataCentre("north")
SOUTH = ids.DataCentre("south")


def table_with(*data_centres) -> peer_table.PeerTable:
    table = peer_table.PeerTable(OWN, NORTH)
    for number, data_centre in enumerate(data_centres):
        peer = table.add_address(ids.VmId(f"10.0.1.{number}:7"), 0.0)
        peer.data_centre = data_centre
        table.seen(peer, 0.0)
    return table


def test_small_fleet_exchanges_all_work_reports_and_a_large_one_by_data_centre():
    small = table_with(NORTH, SOUTH, SOUTH)
    assert small.exchanges_all_work_reports and len(small.work_peers()) == 3
    large = table_with(*[NORTH] * 8, *[SOUTH] * 9)
    assert not large.exchanges_all_work_reports and len(large.work_peers()) == 8
    assert len(large.work_group()) == 9 and large.fleet_size_factor > 1


def test_silent_daemon_is_assumed_partitioned_for_a_while():
    table = table_with(NORTH, NORTH)
    first, second = table.known
    table.mark_lost(first)
    table.mark_lost(second)
    second.is_leaving = True
    assert table.maybe_partitioned(10.0) == {first.address}
    assert not table.maybe_partitioned(16.0)
    assert table.daemon_count == 3


def test_silent_addresses_are_forgotten_and_retried_later():
    table = table_with(NORTH)
    (peer,) = table.known
    seed = ids.VmId("10.0.2.1:7")
    table.add_seed(seed, 0.0)
    assert table.forget_silent(21.0, 20.0) == [peer.address]
    assert [item.address for item in table.known] == [seed]
    assert not table.may_retry(peer.address, 30.0)
    assert table.may_retry(peer.address, 70.0)
    assert table.add_address(peer.address, 70.0) is not None
    assert table.add_address(OWN, 70.0) is None


def test_rank_follows_addresses_cyclically():
    table = table_with(NORTH, NORTH)
    assert table.rank_after(None) == 0
    low = table.add_address(ids.VmId("10.0.0.1:7"), 1.0)
    table.seen(low, 1.0)
    assert table.rank_after(None) == 1
    assert table.rank_after(low.address) == 0
    assert table.rank_after(OWN) == 3
    assert table.rank_after(table.live[0].address) == 2
    table.mark_lost(low)
    assert table.rank_after(OWN) == 2


def test_work_group_follows_every_change_of_live_daemons():
    table = table_with(*[NORTH] * 8, *[SOUTH] * 9)
    lost_peer = table.work_peers()[0]
    table.mark_lost(lost_peer)
    assert (
        lost_peer not in table.work_peers()
        and lost_peer.address not in table.work_group()
    )
    for peer in table.live[4:]:
        table.mark_lost(peer)
    assert table.exchanges_all_work_reports and len(table.work_peers()) == 4
    assert table.maybe_partitioned(1.0) and table.seen(lost_peer, 2.0)
    assert lost_peer in table.work_peers() and lost_peer.address in table.work_group()
    assert not table.seen(lost_peer, 3.0) and len(table.live) == 5


def test_each_daemon_has_its_turn_and_a_small_fleet_is_reached_at_once():
    table = table_with(*[NORTH] * 30)
    turns = [table.in_turn(turn, 8) for turn in range(4)]
    assert all(len(set(turn)) == 8 for turn in turns)
    assert {address for turn in turns for address in turn} == {
        peer.address for peer in table.known
    }
    assert len(table_with(*[NORTH] * 5).in_turn(3, 8)) == 5
