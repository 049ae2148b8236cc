from lacewingdrum_coordination import store_followers
from lacewingdrum_state import ids

FLEET = [ids.VmId(f"10.0.0.{number}:7") for number in range(40)]


def followers(heard: list[ids.VmId]) -> list[ids.VmId]:
    return [own for own in heard if store_followers.is_follower(own, heard)]


def test_few_daemons_follow_and_all_agree_on_them():
    assert len(followers(FLEET)) == store_followers.FOLLOWERS_MAX
    assert set(followers(FLEET[::-1])) == set(followers(FLEET))


def test_others_take_over_from_followers_that_are_lost():
    lost = followers(FLEET)
    left = [own for own in FLEET if own not in lost]
    assert len(followers(left)) == store_followers.FOLLOWERS_MAX


def test_daemon_that_hears_nobody_follows_itself():
    assert all(store_followers.is_follower(own, [own]) for own in FLEET)


def test_reads_of_a_change_are_spread_over_the_whole_time():
    delays_s = sorted(store_followers.read_delay_s(own) for own in FLEET)
    assert 0 <= delays_s[0] < 0.05 and delays_s[-1] > 0.2
    assert delays_s[-1] <= store_followers.READ_SPREAD_S


def test_daemons_take_a_change_from_different_holders():
    holders = [ids.VmId(f"10.0.0.{number}:7") for number in range(3)]
    takers = [ids.VmId(f"10.0.1.{number}:7") for number in range(36)]
    picked = [store_followers.pick_holder(taker, holders) for taker in takers]
    assert all(6 <= picked.count(holder) <= 18 for holder in holders)
    assert picked == [
        store_followers.pick_holder(taker, holders[::-1]) for taker in takers
    ]


def test_feeds_of_all_daemons_end_in_turn_after_a_change():
    shares = sorted(store_followers.first_wait_share(own, FLEET) for own in FLEET)
    assert shares == [(place + 1) / len(FLEET) for place in range(len(FLEET))]
    assert store_followers.first_wait_share(FLEET[0], FLEET[:1]) == 1.0
