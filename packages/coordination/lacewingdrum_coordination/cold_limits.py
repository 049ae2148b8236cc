"""Keeps all daemons together within what a cold runner takes.

A cold runner may get a bounded number of requests in any one second, from all
daemons together, also from those that hear nobody. As many daemons as the
bound allows divide its rate, each with a token bucket of one request, so that
even the sum of a second's rates and of all buckets stays below the bound.
After the runner is warm the other daemons follow one after the other.
"""

import dataclasses

from lacewingdrum_coordination import cold_runners, rate_shares, sharing_daemons
from lacewingdrum_state import configurations, ids, runner_entries

# The part of the bound that is used, as sends of a second may come late.
USED_SHARE = 0.96
# Where the bound allows less than the rate and one request more, this part of
# it goes to the rate, and the rest to the buckets.
RATE_SHARE_MAX = 0.6
# The rate of a single daemon that may send one request in any one second.
SINGLE_PER_S = 0.9
# A daemon that comes to divide a limit sends nothing for this time, in which
# the daemon whose part it takes over learns of that.
HANDOVER_S = 1.0
# A planned request keeps a token for at most this time, in which it connects.
RESERVED_S = 0.5
# The place of a daemon is looked up at most this often. One that is added
# begins to send later than that after it is heard.
PLACE_INTERVAL_S = 0.25
# From when a runner is warm until all daemons use it.
SLOW_START_S = 1.5
# How many times slower than stated an engine is that has just turned cold.
SLOWDOWN = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Overage:
    """What a cold runner may get beyond its stated rate.

    In any one second it may get ``factor`` times the stated rate, and
    ``slack`` requests more.
    """

    factor: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """By how many daemons a cold runner's requests a second are sent."""

    per_s: float
    daemon_count: int


def divide(limit: configurations.ColdLimit, overage: Overage) -> Division:
    """Return how a limit is divided in a fleet of any size."""
    bound = limit.requests_per_s * overage.factor + overage.slack
    if bound < 1:
        return Division(0.0, 0)
    used = bound * USED_SHARE
    per_s = min(limit.requests_per_s, used * RATE_SHARE_MAX)
    count = int(used - per_s)
    if not count:
        return Division(min(limit.requests_per_s, SINGLE_PER_S), 1)
    return Division(per_s, count)


@dataclasses.dataclass(slots=True)
class _Share:
    """This daemon's part of one cold time of a runner.

    ``place`` is how many daemons come before it; ``bucket`` is None if it may
    send nothing.
    """

    since_s: float
    limit: configurations.ColdLimit
    version: int
    place: int
    division: Division
    placed_s: float = float("-inf")
    bucket: rate_shares.TokenBucket | None = None
    # When requests were planned that are not sent yet.
    planned_s: list[float] = dataclasses.field(default_factory=list)

    def reserved_count(self, now_s: float) -> int:
        """Return how many planned requests keep a token."""
        first_s = now_s - RESERVED_S
        self.planned_s = [time_s for time_s in self.planned_s if time_s > first_s]
        return len(self.planned_s)

    def per_s(self, daemon_count: int) -> float:
        return self.division.per_s / min(self.division.daemon_count, daemon_count)


class ColdLimits:
    """What this daemon may send to runners that are cold.

    Args:
        daemons: all daemons that may send requests.
        overage: what cold runners may get beyond their stated rate.
    """

    def __init__(
        self, daemons: sharing_daemons.SharingDaemons, overage: Overage
    ) -> None:
        self.runners = cold_runners.ColdRunners(SLOW_START_S)
        self._daemons = daemons
        self._overage = overage
        self._shares: dict[ids.RunnerId, _Share] = {}
        # How often a runner was left out of a choice.
        self.withheld_count = 0
        # The runners that have turned cold as they were reached again.
        self._reached: list[cold_runners.ColdRunner] = []

    @property
    def has_any(self) -> bool:
        """Whether any runner is cold, or was until shortly before."""
        return self.runners.has_any

    def is_cold(self, entry: runner_entries.RunnerEntry, now_s: float) -> bool:
        """Return whether this incarnation of a runner is cold."""
        cold = self.runners.get(entry)
        return cold is not None and now_s < cold.until_s

    def slowdown(self, entry: runner_entries.RunnerEntry, now_s: float) -> float:
        """Return how many times slower than stated an engine is while cold."""
        cold = self.runners.get(entry)
        if cold is None:
            return 1.0
        left_share = min(cold.left_s(now_s) / cold.limit.duration_s, 1.0)
        return 1.0 + (SLOWDOWN - 1.0) * left_share

    def wait_s(self, entry: runner_entries.RunnerEntry, now_s: float) -> float:
        """Return when this daemon may send a request to a runner.

        Returns:
            0 if it may now, else the longest time until then.
        """
        cold = self.runners.get(entry)
        if cold is None:
            return 0.0
        share = self._share(cold, now_s)
        if now_s >= cold.until_s:
            return self._slow_start_wait_s(share, now_s - cold.until_s)
        if share.bucket is None:
            return cold.left_s(now_s)
        per_s = share.per_s(self._daemons.count)
        share.bucket.fill(per_s, now_s)
        start_s = max(share.bucket.as_of_s - now_s, 0.0)
        tokens = share.bucket.tokens - share.reserved_count(now_s)
        return start_s + max(1.0 - tokens, 0.0) / per_s

    def interval_s(self, entry: runner_entries.RunnerEntry) -> float:
        """Return the longest time between requests of all daemons to a runner.

        Returns:
            Infinity if none may be sent; 0 if the runner is not cold.
        """
        cold = self.runners.get(entry)
        if cold is None:
            return 0.0
        per_s = divide(cold.limit, self._overage).per_s
        return 1.0 / per_s if per_s else float("inf")

    def admits(self, entry: runner_entries.RunnerEntry, now_s: float) -> bool:
        """Return whether this daemon may send to a runner; count if not."""
        if not self.wait_s(entry, now_s):
            return True
        self.withheld_count += 1
        return False

    def record_reached(self, entry: runner_entries.RunnerEntry, now_s: float) -> None:
        """Record that a runner that was not reached accepts connections."""
        cold = self.runners.record_reached(entry, now_s)
        if cold is not None:
            self._reached.append(cold)

    def take_reached(self) -> tuple[cold_runners.ColdRunner, ...]:
        """Return those that turned cold as they were reached; forget that."""
        reached, self._reached = tuple(self._reached), []
        return reached

    def reserve(self, entry: runner_entries.RunnerEntry, now_s: float) -> None:
        """Keep a token for a request that is planned now."""
        cold = self.runners.get(entry)
        if cold is not None and now_s < cold.until_s:
            self._share(cold, now_s).planned_s.append(now_s)

    def take(self, entry: runner_entries.RunnerEntry, now_s: float) -> bool:
        """Count a request whose first byte is sent now, if it may be sent.

        The runner may have turned cold since the request was planned.
        """
        cold = self.runners.get(entry)
        if cold is None or now_s >= cold.until_s:
            return True
        share = self._share(cold, now_s)
        if share.planned_s:
            del share.planned_s[0]
        if share.bucket is not None:
            share.bucket.fill(share.per_s(self._daemons.count), now_s)
        if share.bucket is None or share.bucket.tokens < 1.0:
            self.withheld_count += 1
            return False
        share.bucket.tokens -= 1.0
        return True

    def set_limits(self, limits: cold_runners.Limits) -> None:
        """Set the services whose runners can be cold."""
        self.runners.set_limits(limits)
        known = {cold.entry.runner_id for cold in self.runners.all}
        self._shares = {
            runner_id: share
            for runner_id, share in self._shares.items()
            if runner_id in known
        }

    def forget_warm(self, now_s: float) -> tuple[cold_runners.ColdRunner, ...]:
        """Drop and return the runners that all daemons use again."""
        ended = self.runners.forget_warm(now_s)
        for cold in ended:
            self._shares.pop(cold.entry.runner_id, None)
        return ended

    def _slow_start_wait_s(self, share: _Share, warm_s: float) -> float:
        before = share.place - share.division.daemon_count
        if before < 0:
            return 0.0
        others = max(self._daemons.count - share.division.daemon_count, 1)
        return max(SLOW_START_S * (before + 1) / others - warm_s, 0.0)

    def _share(self, cold: cold_runners.ColdRunner, now_s: float) -> _Share:
        runner_id = cold.entry.runner_id
        share = self._shares.get(runner_id)
        if share is None or (share.since_s, share.limit) != (cold.since_s, cold.limit):
            # Its bucket begins empty, also where the limit has changed.
            division = divide(cold.limit, self._overage)
            share = _Share(cold.since_s, cold.limit, -1, 0, division)
            self._shares[runner_id] = share
        is_changed = share.version != self._daemons.version
        if is_changed and now_s - share.placed_s >= PLACE_INTERVAL_S:
            share.placed_s = now_s
            share.version = self._daemons.version
            share.place = self._daemons.own_place(cold.entry)
        self._update_bucket(share, now_s)
        return share

    def _update_bucket(self, share: _Share, now_s: float) -> None:
        is_first = share.place < share.division.daemon_count
        if not (is_first and self._daemons.knows_all(now_s)):
            share.bucket = None
        elif share.bucket is None:
            start_s = max(now_s, self._daemons.place_gained_s + HANDOVER_S)
            share.bucket = rate_shares.TokenBucket(0.0, start_s)
