from lacewingdrum_coordination import feed_turns, store_deadlines, store_followers

BOUNDS_S = (1.0, 2.0, 3.0, 4.0, 16.0)
# For a new connection and a whole read.
READ_SHARE = 0.05


def test_change_behind_a_silent_feed_is_in_force_within_the_bound():
    for bound_s in BOUNDS_S:
        limits = store_deadlines.StoreDeadlines(bound_s)
        noticed_s = limits.feed_pause_s + limits.feed_wait_s(False) + limits.answer_s
        assert noticed_s + READ_SHARE * bound_s < bound_s


def test_change_behind_silent_feeds_and_peers_reaches_other_daemons_in_time():
    for bound_s in BOUNDS_S[1:]:
        limits = store_deadlines.StoreDeadlines(bound_s)
        noticed_s = limits.feed_pause_s + limits.feed_wait_s(True) + limits.answer_s
        passed_on_s = store_followers.READ_SPREAD_S + limits.near_answer_s
        reads_s = 2 * READ_SHARE * bound_s
        assert noticed_s + passed_on_s + reads_s <= bound_s


def test_change_is_read_in_time_by_daemons_whose_followers_are_not_heard():
    for bound_s in BOUNDS_S:
        limits = store_deadlines.StoreDeadlines(bound_s)
        noticed_s = limits.followers_silence_s + limits.answer_s
        assert noticed_s + READ_SHARE * bound_s < bound_s


def test_change_behind_silent_feeds_that_take_turns_reaches_others_in_time():
    # As above, with the longest time between two ends of feeds in turn.
    for bound_s in BOUNDS_S[1:]:
        limits = store_deadlines.StoreDeadlines(bound_s)
        noticed_s = limits.feed_pause_s + 1.5 * limits.feed_turn_s + limits.answer_s
        passed_on_s = store_followers.READ_SPREAD_S + limits.near_answer_s
        assert noticed_s + passed_on_s + 2 * READ_SHARE * bound_s <= bound_s


def test_change_is_in_time_if_all_but_one_follower_are_lost_with_the_connections():
    for bound_s in BOUNDS_S[1:]:
        limits = store_deadlines.StoreDeadlines(bound_s)
        turns = store_followers.FOLLOWERS_MAX + feed_turns.CORRECTION_TURNS
        noticed_s = limits.feed_pause_s + turns * limits.feed_turn_s + limits.answer_s
        passed_on_s = store_followers.READ_SPREAD_S + READ_SHARE * bound_s
        assert noticed_s + passed_on_s + READ_SHARE * bound_s <= bound_s
