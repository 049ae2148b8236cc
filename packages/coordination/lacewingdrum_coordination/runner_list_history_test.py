import random

from lacewingdrum_coordination import runner_list_history, runner_roster_test
from lacewingdrum_state import states

SEED = 4_711
STEPS = 400


def test_digest_depends_on_the_entries_and_not_on_their_order():
    first = runner_roster_test.entry("a")
    second = runner_roster_test.entry("b")
    digest = runner_list_history.digest_of((first, second))
    assert digest == runner_list_history.digest_of((second, first))
    leaving = runner_roster_test.entry("b", state=states.MemberState.LEAVING)
    assert digest != runner_list_history.digest_of((first, leaving))
    assert runner_list_history.digest_of(()) != runner_list_history.NO_LIST


def test_change_since_a_held_list_leads_to_the_newest():
    rng = random.Random(SEED)
    reader = runner_list_history.RunnerListHistory()
    follower = runner_list_history.RunnerListHistory()
    held = {}
    largest_change = 0
    for _ in range(STEPS):
        for _ in range(rng.randrange(3)):
            name = f"r{rng.randrange(200)}"
            if held.pop(name, None) is None:
                held[name] = runner_roster_test.entry(name, born_ms=rng.randrange(9))
        reader.record(tuple(held.values()))
        if rng.random() < 0.3:
            continue
        change = reader.change_since(follower.digest)
        entries = follower.apply(change)
        assert {item.runner_id: item for item in entries} == held
        follower.record(entries)
        assert follower.digest == reader.digest
        if change.base != runner_list_history.NO_LIST:
            largest_change = max(largest_change, len(change.changed))
    assert largest_change < 20 < len(held)


def test_change_since_an_unknown_list_is_the_whole_list():
    reader = runner_list_history.RunnerListHistory()
    reader.record((runner_roster_test.entry("a"),))
    old = reader.digest
    for number in range(runner_list_history.LISTS_KEPT):
        reader.record((runner_roster_test.entry(f"b{number}"),))
    change = reader.change_since(old)
    assert change.base == runner_list_history.NO_LIST and len(change.changed) == 1
    empty = runner_list_history.RunnerListHistory()
    last = reader.change_since(reader.digest)
    assert empty.apply(last) is None
    assert empty.apply(change) == change.changed
