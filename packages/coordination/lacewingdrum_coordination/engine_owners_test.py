from lacewingdrum_coordination import engine_owners
from lacewingdrum_state import ids

ALL = frozenset(ids.VmId(f"10.0.0.{number}:7") for number in range(6))
ENGINES = [ids.RunnerId(f"e{number}") for number in range(60)]


def usable_engines(reachable: frozenset) -> set:
    owners = engine_owners.EngineOwners()
    owners.update(reachable, ALL - reachable)
    return {engine for engine in ENGINES if not owners.is_owned_by_silent_peer(engine)}


def test_without_silent_daemons_all_engines_are_usable():
    assert usable_engines(ALL) == set(ENGINES)


def test_partitioned_daemons_use_disjoint_engines():
    minority = frozenset(sorted(ALL)[:2])
    one_side, other_side = usable_engines(minority), usable_engines(ALL - minority)
    assert not one_side & other_side
    assert one_side | other_side == set(ENGINES)
    assert len(other_side) > len(one_side) > 5


def test_update_replaces_the_earlier_owners():
    owners = engine_owners.EngineOwners()
    owners.update(frozenset(sorted(ALL)[:1]), frozenset(sorted(ALL)[1:]))
    assert any(owners.is_owned_by_silent_peer(engine) for engine in ENGINES)
    owners.update(ALL, frozenset())
    assert not any(owners.is_owned_by_silent_peer(engine) for engine in ENGINES)
