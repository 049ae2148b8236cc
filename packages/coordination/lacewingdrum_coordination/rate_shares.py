"""Divides the requests a second that a runner takes among the daemons.

Some daemons, chosen by hash of runner and daemon, divide the rate; the others
send nothing. Each that sends has a token bucket, which begins empty.
"""

import dataclasses

from lacewingdrum_coordination import coordinators
from lacewingdrum_state import ids, runner_entries

# A token bucket holds what its daemon may send in this time, and at least one
# request.
BURST_S = 0.25

# Addresses of daemons and their data centres. A data centre is empty if it is
# not known, or if daemons send to the runners of all data centres alike.
Daemon = tuple[ids.VmId, ids.DataCentre]
Daemons = tuple[Daemon, ...]


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """The requests that this daemon may send now, as of ``as_of_s``."""

    tokens: float
    as_of_s: float

    def fill(self, per_s: float, now_s: float) -> None:
        """Add the tokens of the time that has passed.

        Args:
            per_s: the requests a second that this daemon may send.
            now_s: the current time; nothing is added before ``as_of_s``.
        """
        if now_s < self.as_of_s:
            return
        most = max(1.0, per_s * BURST_S)
        gained = (now_s - self.as_of_s) * per_s
        self.tokens = min(self.tokens + gained, most)
        self.as_of_s = now_s


def sort_key(
    entry: runner_entries.RunnerEntry, daemon: Daemon
) -> tuple[bool, int, ids.VmId]:
    """Return the key by which daemons are ordered for a runner.

    Daemons of the runner's data centre come first.
    """
    address, data_centre = daemon
    key_hash = coordinators.stable_hash(f"{entry.runner_id}\x1f{address}")
    return data_centre != entry.data_centre, key_hash, address
