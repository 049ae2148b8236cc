"""Keeps all daemons together within the requests that a runner takes.

A runner in need names the requests a second that it takes from all daemons.
Some daemons, chosen by hash among those that are heard, divide that rate; the
others send it nothing. There are as many as whole requests a second, so that
the part of each is not less than one. Where daemons send to the runners of
their own data centre, those of the runner's data centre come first.
"""

import dataclasses
from collections.abc import Container

import xxhash

from lacewingdrum_coordination import rate_shares
from lacewingdrum_state import ids, named_limits, runner_entries

PER_S_MIN = 0.1
PER_S_MAX = 1_000_000.0
# Answers overtake each other: one without a limit that arrives this soon after
# one with a limit may be the older of the two.
OVERTAKING_S = 0.25
LIMITS_MAX = 1_024
# A limit is forgotten when its runner has not been listed for this long: its
# entry may expire and come back while the runner goes on.
UNLISTED_KEPT_S = 120.0


class RunnerLimits:
    """The limits that runners name, and this daemon's part of them."""

    def __init__(self) -> None:
        self._limits: dict[ids.RunnerId, named_limits.RunnerLimit] = {}
        self._unlisted_since_s: dict[ids.RunnerId, float] = {}
        self._buckets: dict[ids.RunnerId, rate_shares.TokenBucket] = {}
        self._shares: dict[ids.RunnerId, float] = {}
        self._daemons: rate_shares.Daemons = ()
        self._own_address = ids.VmId("")
        self._digest: int | None = 0

    @property
    def all(self) -> tuple[named_limits.RunnerLimit, ...]:
        """What is known of all runners that have named a limit."""
        return tuple(self._limits.values())

    @property
    def has_any(self) -> bool:
        """Whether any runner has named a limit."""
        return bool(self._limits)

    @property
    def digest(self) -> int:
        """A number that is the same for the same limits; 0 without any."""
        if self._digest is None:
            lines = sorted(
                f"{limit.runner_id} {limit.born_ms} {limit.per_s}" for limit in self.all
            )
            text = "\n".join(lines).encode()
            self._digest = xxhash.xxh3_64_intdigest(text) if lines else 0
        return self._digest

    def set_daemons(self, own_address: ids.VmId, daemons: rate_shares.Daemons) -> None:
        """Set the daemons that divide the limits.

        Args:
            own_address: this daemon.
            daemons: all daemons that are heard, with this one.
        """
        if (own_address, daemons) != (self._own_address, self._daemons):
            self._own_address, self._daemons = own_address, daemons
            self._shares.clear()

    def record(self, limit: named_limits.RunnerLimit) -> bool:
        """Record what a runner said of its limit, here or to a peer.

        Args:
            limit: the limit, or that there is none now.

        Returns:
            Whether this changes what is known.
        """
        known = self._limits.get(limit.runner_id)
        if known is None and limit.per_s is None:
            return False
        if known is not None and not _is_newer(limit, known):
            return False
        if limit.per_s is not None:
            bounded = min(max(limit.per_s, PER_S_MIN), PER_S_MAX)
            limit = dataclasses.replace(limit, per_s=bounded)
        self._limits[limit.runner_id] = limit
        if known is not None and _said(known) == _said(limit):
            return False
        self._shares.pop(limit.runner_id, None)
        self._digest = None
        if len(self._limits) > LIMITS_MAX:
            self.forget(next(iter(self._limits)))
        return True

    def forget(self, runner_id: ids.RunnerId) -> None:
        """Drop what is known of a runner that is gone."""
        self._limits.pop(runner_id, None)
        self._unlisted_since_s.pop(runner_id, None)
        self._buckets.pop(runner_id, None)
        self._shares.pop(runner_id, None)
        self._digest = None

    def forget_unlisted(self, listed: Container[ids.RunnerId], now_s: float) -> None:
        """Drop the limits of runners that have long not been listed.

        Args:
            listed: the runners of the newest list.
            now_s: the current time.
        """
        for runner_id in tuple(self._limits):
            if runner_id in listed:
                self._unlisted_since_s.pop(runner_id, None)
                continue
            since_s = self._unlisted_since_s.setdefault(runner_id, now_s)
            if now_s - since_s > UNLISTED_KEPT_S:
                self.forget(runner_id)

    def is_limited(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether this incarnation of a runner names a limit."""
        limit = self._limits.get(entry.runner_id)
        return (
            limit is not None
            and limit.per_s is not None
            and limit.born_ms == entry.born_ms
        )

    def wait_s(self, entry: runner_entries.RunnerEntry, now_s: float) -> float:
        """Return when this daemon may send a request to a runner.

        Returns:
            0 if it may now, else the time until then; infinity if others
            divide the limit.
        """
        if not self._limits or not self.is_limited(entry):
            return 0.0
        share = self._share(entry)
        if not share:
            return float("inf")
        bucket = self._fill(entry.runner_id, share, now_s)
        return max(1.0 - bucket.tokens, 0.0) / share

    def take(self, entry: runner_entries.RunnerEntry, now_s: float) -> None:
        """Count a request that this daemon sends now."""
        if not self._limits or not self.is_limited(entry):
            return
        share = self._share(entry)
        if share:
            self._fill(entry.runner_id, share, now_s).tokens -= 1.0

    def interval_s(self, runner_id: ids.RunnerId) -> float:
        """Return the time between two requests of all daemons to a runner."""
        limit = self._limits.get(runner_id)
        return 1.0 / limit.per_s if limit is not None and limit.per_s else 0.0

    def _fill(
        self, runner_id: ids.RunnerId, share: float, now_s: float
    ) -> rate_shares.TokenBucket:
        new = rate_shares.TokenBucket(0.0, now_s)
        bucket = self._buckets.setdefault(runner_id, new)
        bucket.fill(share, now_s)
        return bucket

    def _share(self, entry: runner_entries.RunnerEntry) -> float:
        """Return the requests a second that this daemon may send."""
        runner_id = entry.runner_id
        if runner_id not in self._shares:
            self._shares[runner_id] = self._compute_share(entry)
        return self._shares[runner_id]

    def _compute_share(self, entry: runner_entries.RunnerEntry) -> float:
        per_s = self._limits[entry.runner_id].per_s or 0.0
        in_order = sorted(
            self._daemons, key=lambda daemon: rate_shares.sort_key(entry, daemon)
        )
        count = max(1, min(int(per_s), len(in_order)))
        chosen = [address for address, _ in in_order[:count]]
        return per_s / count if self._own_address in chosen else 0.0


def _is_newer(limit: named_limits.RunnerLimit, known: named_limits.RunnerLimit) -> bool:
    if limit.born_ms != known.born_ms:
        return limit.born_ms > known.born_ms
    return _order_s(limit) > _order_s(known)


def _said(limit: named_limits.RunnerLimit) -> tuple[int, float | None]:
    return limit.born_ms, limit.per_s


def _order_s(limit: named_limits.RunnerLimit) -> float:
    return limit.at_s - (OVERTAKING_S if limit.per_s is None else 0.0)
