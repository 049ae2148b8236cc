from lacewingdrum_coordination import daemon_rows
from lacewingdrum_state import ids

OWN = ids.VmId("10.0.0.1:7")
OTHER = ids.VmId("10.0.0.2:7")
TERM_S = 240.0


def row(version: int, address: ids.VmId = OTHER) -> daemon_rows.DaemonRow:
    return daemon_rows.DaemonRow(address, version, TERM_S)


def rows_after(*reads) -> daemon_rows.DaemonRows:
    """Record reads of one row: time, version, and optionally heard and era."""
    rows = daemon_rows.DaemonRows()
    for now_s, version, *rest in reads:
        heard, era = rest or ((), 1)
        rows.record_read(era, [row(version)], heard, now_s)
    return rows


def test_row_without_renewal_or_contact_expires_after_its_term():
    assert not rows_after((0.0, 5), (TERM_S, 5)).expired()
    rows = rows_after((0.0, 5), (100.0, 5), (TERM_S + 1.0, 5))
    assert rows.expired() == (row(5),) and not rows.newest_first()


def test_renewed_row_stays_although_its_daemon_is_not_heard():
    reads = [(60.0 * number, number) for number in range(1, 20)]
    assert not rows_after(*reads).expired()


def test_row_that_is_not_renewed_stays_while_its_daemon_is_heard():
    heard = ((OTHER, OWN), 1)
    assert not rows_after((0.0, 5), (900.0, 5, *heard)).expired()
    short_silence = ((0.0, 5), (900.0, 5, *heard), (910.0, 5))
    assert not rows_after(*short_silence).expired()


def test_time_in_which_the_store_is_away_does_not_count():
    rows = rows_after((0.0, 5), (100.0, 5))
    rows.record_failure()
    rows.record_read(1, [row(5)], (), 900.0)
    assert not rows.expired()
    rows.record_read(1, [row(5)], (), 1_030.0)
    assert not rows.expired()
    rows.record_read(1, [row(5)], (), 1_041.0)
    assert rows.expired()


def test_terms_begin_anew_when_the_store_returns_from_an_older_copy():
    rows = rows_after((0.0, 5), (200.0, 5), (300.0, 5, (), 2))
    assert not rows.expired()
    assert not rows_after((0.0, 5), (250.0, 3)).expired()


def test_later_daemon_at_the_same_address_has_a_whole_term():
    rows = rows_after((0.0, 5), (300.0, 9), (500.0, 9))
    assert not rows.expired() and rows.newest_first() == (row(9),)


def test_rows_written_last_come_first():
    rows = daemon_rows.DaemonRows()
    addresses = [ids.VmId(f"10.0.1.{number}:7") for number in range(4)]
    versions = (3, 9, 1, 5)
    found = [
        row(version, address)
        for version, address in zip(versions, addresses, strict=True)
    ]
    rows.record_read(1, found, (), 0.0)
    assert rows.newest_first() == tuple(found[place] for place in (1, 3, 0, 2))


def test_one_of_the_daemons_that_hear_each_other_removes_rows():
    fleet = [ids.VmId(f"10.0.1.{number}:7") for number in range(40)]
    removers = [
        own
        for own in fleet
        if daemon_rows.is_remover(own, [other for other in fleet if other != own])
    ]
    assert len(removers) == 1 and daemon_rows.is_remover(OWN, ())
