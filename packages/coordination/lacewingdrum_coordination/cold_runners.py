"""Tracks which runners are cold, and until when.

A runner that has started is cold for a stated time, and may become cold again
at any moment. Reports of that reach this daemon late, by several ways and in
any order. One that says "cold" always holds; none ends another one's time.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from lacewingdrum_state import cold_reports, configurations, ids, runner_entries

RUNNERS_MAX = 4_096

Limits = Mapping[ids.ServiceName, configurations.ColdLimit]


@dataclasses.dataclass(slots=True)
class ColdRunner:
    """An incarnation of a runner that is or was cold.

    ``since_s`` is when it became known that it is; ``until_s`` is when it is
    expected to be warm, on this daemon's clock.
    """

    entry: runner_entries.RunnerEntry
    limit: configurations.ColdLimit
    since_s: float
    until_s: float

    def left_s(self, now_s: float) -> float:
        """Return how long it stays cold; 0 if it is warm."""
        return max(self.until_s - now_s, 0.0)


class ColdRunners:
    """The runners that are cold, or were until shortly before.

    Args:
        kept_s: how long a runner is kept after it is warm.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._limits: dict[ids.ServiceName, configurations.ColdLimit] = {}
        self._newest: dict[ids.RunnerId, int] | None = None
        self._cold: dict[ids.RunnerId, ColdRunner] = {}
        # The last rows that said for how long a runner stays cold: the start
        # time of its incarnation and the row's number.
        self._rows: dict[ids.RunnerId, tuple[int, int]] = {}

    @property
    def has_any(self) -> bool:
        """Whether any runner is cold, or was until shortly before."""
        return bool(self._cold)

    @property
    def all(self) -> tuple[ColdRunner, ...]:
        """The runners that are cold, or were until shortly before."""
        return tuple(self._cold.values())

    def has_limit(self, service: ids.ServiceName) -> bool:
        """Return whether the runners of a service can be cold."""
        return service in self._limits

    def set_limits(self, limits: Limits) -> None:
        """Set the services whose runners can be cold."""
        self._limits = dict(limits)
        for cold in self.all:
            limit = self._limits.get(cold.entry.service)
            if limit is None:
                del self._cold[cold.entry.runner_id]
            else:
                cold.limit = limit

    def get(self, entry: runner_entries.RunnerEntry) -> ColdRunner | None:
        """Return what is known of an incarnation, or None if not cold."""
        cold = self._cold.get(entry.runner_id)
        is_same = cold is not None and cold.entry.born_ms == entry.born_ms
        return cold if is_same else None

    def record_list(
        self, entries: Iterable[runner_entries.RunnerEntry], now_s: float
    ) -> tuple[ColdRunner, ...]:
        """Record a list of runners; incarnations that are new to it are cold.

        The first list tells nothing of when its runners started.

        Returns:
            The runners that have turned cold.
        """
        is_first = self._newest is None
        newest = self._newest or {}
        listed = tuple(entries)
        turned = []
        for entry in listed:
            known = newest.get(entry.runner_id, -1)
            if entry.born_ms <= known:
                continue
            newest[entry.runner_id] = entry.born_ms
            limit = self._limits.get(entry.service)
            if not is_first and limit is not None:
                until_s = now_s + limit.duration_s
                if self._extend(entry, limit, now_s, until_s):
                    turned.append(self._cold[entry.runner_id])
        if len(newest) > RUNNERS_MAX:
            newest = {entry.runner_id: newest[entry.runner_id] for entry in listed}
        if newest or not is_first:
            self._newest = newest
        return tuple(turned)

    def record(
        self,
        entry: runner_entries.RunnerEntry,
        report: cold_reports.ColdReport,
        now_s: float,
    ) -> ColdRunner | None:
        """Record a report of a listed runner.

        A row is read and told several times, and counts once.

        Args:
            entry: the runner.
            report: how long an incarnation of it stays cold.
            now_s: when the report has arrived, which is not before the runner
                has written it.

        Returns:
            The runner if it has turned cold, else None.
        """
        limit = self._limits.get(entry.service)
        is_other = report.born_ms != entry.born_ms
        if limit is None or is_other or not report.left_ms > 0:
            return None
        if self._is_repeated(report):
            return None
        left_s = min(report.left_ms / 1_000, limit.duration_s)
        if not self._extend(entry, limit, now_s, now_s + left_s):
            return None
        return self._cold[entry.runner_id]

    def _is_repeated(self, report: cold_reports.ColdReport) -> bool:
        if report.seq is None:
            return False
        row = report.born_ms, report.seq
        if self._rows.get(report.runner_id) == row:
            return True
        if len(self._rows) >= RUNNERS_MAX:
            del self._rows[next(iter(self._rows))]
        self._rows[report.runner_id] = row
        return False

    def record_reached(
        self, entry: runner_entries.RunnerEntry, now_s: float
    ) -> ColdRunner | None:
        """Record that a runner accepts connections again, as after a start.

        Its row may not say yet that it is cold.
        """
        limit = self._limits.get(entry.service)
        if limit is None:
            return None
        left_ms = limit.duration_s * 1_000
        report = cold_reports.ColdReport(entry.runner_id, entry.born_ms, left_ms)
        return self.record(entry, report, now_s)

    def forget_warm(self, now_s: float) -> tuple[ColdRunner, ...]:
        """Drop the runners that have been warm for long enough."""
        ended = tuple(cold for cold in self.all if now_s >= cold.until_s + self._kept_s)
        for cold in ended:
            del self._cold[cold.entry.runner_id]
        return ended

    def _extend(
        self,
        entry: runner_entries.RunnerEntry,
        limit: configurations.ColdLimit,
        now_s: float,
        until_s: float,
    ) -> bool:
        """Set a later end; return whether the runner has turned cold."""
        if until_s <= now_s:
            return False
        known = self.get(entry)
        if known is not None and known.until_s > now_s:
            known.until_s = max(known.until_s, until_s)
            return False
        if known is None and len(self._cold) >= RUNNERS_MAX:
            first = min(self._cold.values(), key=lambda cold: cold.until_s)
            del self._cold[first.entry.runner_id]
        self._cold[entry.runner_id] = ColdRunner(entry, limit, now_s, until_s)
        return True
