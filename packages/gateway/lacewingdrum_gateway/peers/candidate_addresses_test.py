from lacewingdrum_coordination import daemon_rows
from lacewingdrum_gateway.peers import candidate_addresses, peer_table
from lacewingdrum_gateway.peers.peer_table_test import NORTH, OWN
from lacewingdrum_state import ids

DIALLED_MAX = candidate_addresses.DIALLED_MAX
DOUBTFUL_MAX = candidate_addresses.DOUBTFUL_MAX
DEAD_ROWS = 1_100
SILENCE_S = 20.0


def row(number: int, version: int = 1) -> daemon_rows.DaemonRow:
    address = ids.VmId(f"10.1.{number // 250}.{number % 250 + 1}:7")
    return daemon_rows.DaemonRow(address, version, 240.0)


def candidates_of(*rows):
    table = peer_table.PeerTable(OWN, NORTH)
    found = candidate_addresses.CandidateAddresses(table)
    found.set_rows(rows)
    return table, found


def test_rows_of_many_ended_daemons_are_dialled_a_few_at_a_time():
    rows = [row(number) for number in range(DEAD_ROWS)]
    table, found = candidates_of(*rows)
    dialled = set()
    for second in range(600):
        turn = found.take_turn(float(second))
        dialled.update(turn.dialled)
        assert len(table.known) <= DIALLED_MAX
        table.forget_silent(float(second), SILENCE_S)
    assert len(dialled) == DEAD_ROWS
    assert len(table.known) <= DOUBTFUL_MAX
    # None of them shrinks this daemon's part of what all daemons share.
    assert table.daemon_count == 1 and table.fleet_size_factor == 1.0


def test_row_that_was_written_last_is_dialled_first():
    table, found = candidates_of(*[row(number) for number in range(DEAD_ROWS)])
    assert found.take_turn(0.0).dialled[0] == row(0).address
    found.set_rows([row(2_000, 9), *[row(number) for number in range(DEAD_ROWS)]])
    turn = found.take_turn(candidate_addresses.GIVE_WAY_S + 1.0)
    assert turn.dialled[0] == row(2_000).address and turn.given_up


def test_daemons_that_are_heard_leave_their_places_to_others():
    table, found = candidates_of(*[row(number) for number in range(200)])
    for second in range(4):
        found.take_turn(float(second))
        for peer in table.candidates:
            table.seen(peer, float(second))
    assert len(table.live) == 200


def test_daemon_whose_row_was_renewed_is_tried_again_at_once():
    table, found = candidates_of(row(1))
    found.take_turn(0.0)
    assert table.forget_silent(21.0, SILENCE_S)
    assert not found.take_turn(22.0).dialled
    found.set_rows([row(1, version=2)])
    assert found.take_turn(23.0).dialled == (row(1).address,)
    assert not table.candidates[0].is_doubtful


def test_silent_daemon_is_retried_after_a_while_and_doubted():
    table, found = candidates_of(row(1))
    found.take_turn(0.0)
    table.forget_silent(21.0, SILENCE_S)
    assert found.take_turn(70.0).dialled == (row(1).address,)
    assert table.candidates[0].is_doubtful and table.daemon_count == 1
    table.add_address(row(1).address, 71.0)
    assert not table.candidates and table.daemon_count == 2


def test_unreadable_address_and_the_own_one_take_no_place():
    odd = daemon_rows.DaemonRow(ids.VmId("nowhere"), 1, 240.0)
    own = daemon_rows.DaemonRow(OWN, 1, 240.0)
    table, found = candidates_of(odd, own, row(1))
    assert found.take_turn(0.0).dialled == (row(1).address,)
