from lacewingdrum_coordination import runner_roster
from lacewingdrum_state import fleet, ids, runner_entries, states

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
    return runner_entries.RunnerList(version, entries)


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
    roster.confirm(7, 3.0)
    assert (roster.version, roster.as_of_s) == (7, 3.0)


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
