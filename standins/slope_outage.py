"""Computes how often daemons call a store that fails, and how far apart.

Run as ``python -m standins.slope_outage``. No process runs: the calls that
follow the configuration are played on virtual time with the daemons' own
pauses, as all of them fail at the same moment.
"""

import itertools
import random

from lacewingdrum_coordination import retry_pauses, store_followers
from lacewingdrum_gateway import configuration_sync
from lacewingdrum_gateway.peers import peer_table

FLEETS = ((6, 3), (80, 4), (360, 12))
BOUND_S = 2.0
OUTAGE_S = 120.0
# By then all pauses have grown to their limit.
SETTLED_S = 60.0


def calls_s(daemon_count: int, data_centre_count: int) -> list[float]:
    """Return when a fleet calls a store that fails from second 0 on.

    Args:
        daemon_count: all daemons, which hear each other.
        data_centre_count: the data centres that they are spread over.
    """
    heard = daemon_count - 1
    factor = max(1.0, heard / peer_table.EXCHANGE_ALL_PEERS_MAX)
    follower_count = store_followers.FOLLOWERS_MAX * data_centre_count
    if heard <= peer_table.EXCHANGE_ALL_PEERS_MAX:
        follower_count = daemon_count
    calls: list[float] = []
    for number in range(daemon_count):
        is_follower = number < follower_count
        bound_s = BOUND_S if is_follower else configuration_sync.UNFOLLOWED_READ_S
        limit_s = retry_pauses.limit_s(factor, bound_s)
        rng = random.Random(number)
        pauses = retry_pauses.RetryPauses(configuration_sync.RETRY_MIN_S, rng)
        now_s = 0.0
        while now_s < OUTAGE_S:
            calls.append(now_s)
            now_s += pauses.take_s(limit_s)
    return sorted(calls)


def main() -> None:
    """Print a row for each size of the fleet."""
    print("daemons  calls/s  most in 1 s  longest gap s")
    for daemon_count, data_centre_count in FLEETS:
        calls = calls_s(daemon_count, data_centre_count)
        settled = [call_s for call_s in calls if call_s >= SETTLED_S]
        per_s = len(settled) / (OUTAGE_S - SETTLED_S)
        most = max(
            sum(start_s <= call_s < start_s + 1.0 for call_s in settled)
            for start_s in settled
        )
        gap_s = max(after - before for before, after in itertools.pairwise(settled))
        print(f"{daemon_count:7}  {per_s:7.1f}  {most:11}  {gap_s:13.2f}")


if __name__ == "__main__":
    main()
