from lacewingdrum_gateway.peers import peer_lists
from lacewingdrum_gateway.peers.peer_table_test import NORTH, table_with


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def test_fleet_that_starts_at_once_gets_few_lists_from_each_daemon():
    clock = Clock()
    lists = peer_lists.PeerLists(table_with(), clock)
    answered = sum(lists.may_answer_newcomer() for _ in range(200))
    assert answered == peer_lists.NEWCOMERS_PER_S
    clock.now_s += 1.0
    assert lists.may_answer_newcomer()


def test_lists_reach_every_daemon_in_turn():
    table = table_with(*[NORTH] * 30)
    lists = peer_lists.PeerLists(table, Clock())
    receivers = [lists.next_receivers() for _ in range(32)]
    assert all(len(one) <= peer_lists.LISTS_PER_TURN for one in receivers)
    assert sum(bool(one) for one in receivers) == 4
    assert {address for one in receivers for address in one} == {
        peer.address for peer in table.known
    }
