from lacewingdrum_coordination import heartbeat_intervals

# Choices at engines are made from what peers have reported. In this time the
# largest fleet starts about ten requests in each data centre.
REPORTS_SEEN_S = 0.025
# Silence is looked for each 0.5 s, and a connection takes 0.1 s.
RECONNECT_S = 0.6


def test_small_fleet_sends_often_and_a_large_one_at_a_constant_cost():
    small = heartbeat_intervals.intervals(5, 5)
    assert (small.work_peers_s, small.remote_s) == (0.25, 1.0)
    for known_count in (194, 359):
        large = heartbeat_intervals.intervals(known_count // 5, known_count)
        heartbeats_per_s = (
            known_count // 5 / large.work_peers_s + known_count / large.remote_s
        )
        assert heartbeats_per_s < 60


def test_reports_of_work_are_seen_soon_in_a_fleet_of_any_size():
    for known_count in (5, 60, 194, 359):
        found = heartbeat_intervals.intervals(known_count // 5, known_count)
        assert found.receive_s <= REPORTS_SEEN_S


def test_peer_is_lost_after_several_heartbeats_are_missing():
    found = heartbeat_intervals.intervals(38, 194)
    assert found.work_peer_silence_s > 4 * found.work_peers_s
    assert found.remote_silence_s > 4 * found.remote_s


def test_peer_is_lost_before_it_is_forgotten_in_a_fleet_of_any_size():
    for known_count in (5, 60, 194, 359):
        found = heartbeat_intervals.intervals(known_count // 5, known_count)
        assert found.forget_silence_s > found.remote_silence_s
        assert found.forget_silence_s > found.work_peer_silence_s


def test_silent_connection_is_replaced_before_its_peer_counts_as_lost():
    for known_count in (120, 194, 359):
        found = heartbeat_intervals.intervals(known_count // 5, known_count)
        remote_s = found.remote_s + found.work_peers_s
        heard_s = found.remote_link_silence_s + remote_s
        assert heard_s + RECONNECT_S < found.remote_silence_s
        heard_s = found.work_peer_link_silence_s + found.work_peers_s
        assert heard_s + RECONNECT_S < found.work_peer_silence_s
