from lacewingdrum_coordination import runner_departures, runner_roster
from lacewingdrum_state import fleet, ids, runner_entries, states, store_versions

MODEL = ids.ServiceName("model")


def entry(name: str, **changes) -> runner_entries.RunnerEntry:
    fields = {
        "runner_id": ids.RunnerId(name),
        "service": MODEL,
        "data_centre": ids.DataCentre("north"),
        "address": fleet.Address("10.0.0.1", 8_000 + sum(name.encode())),
        "slots": 8,
        "state": states.MemberState.LIVE,
        "born_ms": 1,
    }
    return runner_entries.RunnerEntry(**{**fields, **changes})


def listed(version: int, *entries) -> runner_entries.RunnerList:
    return of_era(1, version, *entries)


def of_era(era: int, version: int, *entries) -> runner_entries.RunnerList:
    store_version = store_versions.StoreVersion(era, version)
    return runner_entries.RunnerList(store_version, entries)


def names(roster) -> list[str]:
    return sorted(item.runner_id for item in roster.of_service(MODEL))


def test_leaving_and_gone_runners_are_not_offered():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(1, entry("a"), entry("b"), entry("c")), 1.0)
    leaving = entry("b", state=states.MemberState.LEAVING)
    changes = roster.apply(listed(2, entry("a"), leaving), 2.0)
    assert names(roster) == ["a"]
    assert {(item.runner_id, item.kind) for item in changes} == {
        ("b", "leaving"),
        ("c", "gone"),
    }
    assert roster.get(ids.RunnerId("b")) == leaving


def test_older_list_changes_nothing():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(5, entry("a")), 5.0)
    assert roster.apply(listed(4, entry("b")), 6.0) == ()
    assert names(roster) == ["a"] and roster.as_of_s == 5.0


def test_list_of_a_newer_era_replaces_a_higher_version_and_not_the_reverse():
    roster = runner_roster.RunnerRoster()
    roster.apply(of_era(1, 500, entry("a"), entry("b")), 1.0)
    roster.apply(of_era(2, 60, entry("a")), 2.0)
    assert names(roster) == ["a"]
    # A daemon that has not heard of the return pushes its old list.
    assert roster.apply(of_era(1, 510, entry("a"), entry("b")), 3.0) == ()
    assert names(roster) == ["a"]


def test_leaving_runner_gets_no_work_though_lists_call_it_ready():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(1, entry("a"), entry("b")), 1.0)
    assert roster.record_leaving(ids.RunnerId("a"), born_ms=1)
    assert not roster.record_leaving(ids.RunnerId("a"), born_ms=1)
    assert names(roster) == ["b"] and roster.unlisted_leaving() == (("a", 1),)
    roster.apply(listed(2, entry("a"), entry("b"), entry("c")), 2.0)
    assert names(roster) == ["b", "c"]
    roster.apply(listed(3, entry("a", born_ms=2), entry("b")), 3.0)
    assert names(roster) == ["a", "b"] and roster.unlisted_leaving() == ()


def test_drain_that_the_store_has_lost_stays_known():
    roster = runner_roster.RunnerRoster()
    leaving = entry("a", state=states.MemberState.LEAVING)
    roster.apply(of_era(1, 9, leaving, entry("b")), 1.0)
    roster.apply(of_era(2, 5, entry("a"), entry("b")), 2.0)
    assert names(roster) == ["b"]


def test_runner_that_was_gone_before_a_return_must_outlast_its_old_entry():
    roster = runner_roster.RunnerRoster()
    roster.apply(of_era(1, 8, entry("a"), entry("b")), 1.0)
    roster.apply(of_era(1, 9, entry("b")), 2.0)
    roster.apply(of_era(2, 5, entry("a"), entry("b")), 3.0)
    assert names(roster) == ["b"]
    # Its entry was renewed, so it is alive.
    later_s = 3.0 + runner_departures.ENTRY_EXPIRY_S
    roster.confirm(store_versions.StoreVersion(2, 6), later_s)
    assert names(roster) == ["a", "b"]


def test_runner_that_is_listed_again_without_a_return_gets_work_at_once():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(1, entry("a"), entry("b")), 1.0)
    roster.apply(listed(2, entry("b")), 2.0)
    roster.apply(listed(3, entry("a"), entry("b")), 3.0)
    assert names(roster) == ["a", "b"]


def test_departures_of_unlisted_runners_are_forgotten():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(1, entry("a"), entry("b")), 1.0)
    roster.record_leaving(ids.RunnerId("a"), born_ms=1)
    roster.apply(listed(2, entry("b")), 2.0)
    later_s = 3.0 + runner_departures.UNLISTED_KEPT_S
    roster.apply(listed(3, entry("b")), later_s)
    roster.apply(listed(4, entry("a"), entry("b")), later_s + 1.0)
    assert names(roster) == ["a", "b"]


def test_missing_entries_are_kept_until_the_return_window_ends():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(1, entry("a"), entry("b")), 1.0)
    assert roster.apply(listed(2, entry("a")), 10.0, return_until_s=12.0) == ()
    assert names(roster) == ["a", "b"]
    (change,) = roster.apply(listed(3, entry("a")), 12.5, return_until_s=12.0)
    assert change.kind == "gone" and names(roster) == ["a"]


def test_new_incarnation_is_reported_as_born_again():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(1, entry("a")), 1.0)
    (change,) = roster.apply(listed(2, entry("a", born_ms=9)), 2.0)
    assert change.kind == "born_again"


def test_confirm_updates_version_and_time():
    roster = runner_roster.RunnerRoster()
    roster.apply(listed(1, entry("a")), 1.0)
    later = store_versions.StoreVersion(1, 7)
    roster.confirm(later, 3.0)
    assert (roster.version, roster.as_of_s) == (later, 3.0)


def test_only_the_latest_entry_of_an_address_is_offered():
    roster = runner_roster.RunnerRoster()
    address = fleet.Address("10.0.0.2", 80)
    crashed = entry("dead", born_ms=5, address=address)
    elsewhere = entry("b")
    restarted = entry("reborn", born_ms=9, address=address)
    roster.apply(listed(1, crashed, elsewhere), 1.0)
    assert names(roster) == ["b", "dead"]
    roster.apply(listed(2, restarted, crashed, elsewhere), 2.0)
    assert names(roster) == ["b", "reborn"]
    ledger = ids.ServiceName("ledger")
    other_service = entry("new", born_ms=12, service=ledger, address=address)
    roster.apply(listed(3, restarted, other_service, elsewhere), 3.0)
    assert names(roster) == ["b"]
    leaving = entry(
        "reborn", born_ms=9, state=states.MemberState.LEAVING, address=address
    )
    roster.apply(listed(4, crashed, leaving, elsewhere), 4.0)
    assert names(roster) == ["b"]


def test_entries_of_unnamed_services_and_of_daemons_hide_no_runner():
    roster = runner_roster.RunnerRoster()
    roster.set_services(frozenset((MODEL,)))
    daemons = runner_roster.DaemonAddresses(frozenset(("10.0.0.5",)), frozenset((80,)))
    roster.set_daemons(daemons)
    at = {"address": entry("a").address, "born_ms": 9}
    unknown = entry("x", service=ids.ServiceName("nobody-s"), **at)
    daemon = entry("y", address=fleet.Address("10.0.0.5", 80))
    neighbour = entry("z", address=fleet.Address("10.0.0.5", 81))
    roster.apply(listed(1, entry("a"), unknown, daemon, neighbour), 1.0)
    assert names(roster) == ["a", "z"] and len(roster.runners) == 2
    assert not roster.of_service(unknown.service) and len(roster.entries) == 4
    # Requests of a service that is no longer named may still be in progress.
    roster.set_services(frozenset())
    assert names(roster) == ["z"] and roster.of_service(unknown.service)
    roster.set_services(frozenset((MODEL, unknown.service)))
    assert names(roster) == ["z"]


def test_entry_refuted_at_its_address_gives_way_to_the_others_there():
    roster = runner_roster.RunnerRoster()
    claim = entry("claim", address=entry("a").address, born_ms=9)
    roster.apply(listed(1, entry("a"), claim), 1.0)
    assert names(roster) == ["claim"]
    assert roster.record_other_at_address(claim)
    assert names(roster) == ["a"] and not roster.record_other_at_address(claim)
    # All were refuted: the last born is tried again.
    assert roster.record_other_at_address(entry("a")) and names(roster) == ["claim"]
    reborn = entry("a", born_ms=3)
    roster.apply(listed(2, reborn, claim), 2.0)
    assert names(roster) == ["a"]
    # One alone at its address keeps its work.
    roster.apply(listed(3, claim), 3.0)
    assert names(roster) == ["claim"]
