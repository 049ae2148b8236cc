"""Outlier ejection: a slow or failing runner temporarily gets no new work.

A runner's measured rate is compared with the median rate of its service. After
an ejection the next attempt is a probe: the runner recovers or is ejected
again, for twice as long up to a limit. At most a third of a service's runners
is ejected at any time.
"""

import dataclasses
import statistics

from lacewingdrum_state import ids

SLOW_RATIO = 0.5
STRIKES_TO_EJECT = 3
EJECTION_S = 10.0
MAX_EJECTION_S = 300.0
MAX_EJECTED_SHARE = 1 / 3
MIN_RUNNERS_TO_COMPARE = 3


@dataclasses.dataclass(slots=True)
class _RunnerRecord:
    """Observations of one runner.

    ``strikes`` counts low rates and failures since the last good attempt or
    ejection, and ``ejections`` the ejections since the last successful probe.
    """

    tokens_per_s: float | None = None
    strikes: int = 0
    ejected_until_s: float | None = None
    ejections: int = 0


class Ejections:
    """Temporarily ejected runners of one service."""

    def __init__(self) -> None:
        """Start without ejections."""
        self._records: dict[ids.RunnerId, _RunnerRecord] = {}
        self._ejected_ids: set[ids.RunnerId] = set()

    def set_runners(self, runner_ids: tuple[ids.RunnerId, ...]) -> None:
        """Drop records of removed runners, and add empty ones for new ones."""
        self._records = {
            runner_id: self._records.get(runner_id, _RunnerRecord())
            for runner_id in runner_ids
        }
        self._ejected_ids &= self._records.keys()

    def observe_rate(
        self, runner_id: ids.RunnerId, tokens_per_s: float, now_s: float
    ) -> None:
        """Compare a measured rate of a runner with the service's median.

        Args:
            runner_id: the runner.
            tokens_per_s: its prefill rate or its decode rate; the same one
                for all runners.
            now_s: current time.
        """
        record = self._records.setdefault(runner_id, _RunnerRecord())
        record.tokens_per_s = tokens_per_s
        median = self._median_tokens_per_s()
        if median is not None and tokens_per_s < SLOW_RATIO * median:
            self._strike(runner_id, record, now_s)
        else:
            self._recover(runner_id, record, now_s)

    def observe_failure(self, runner_id: ids.RunnerId, now_s: float) -> None:
        """Count an attempt that failed on the runner."""
        record = self._records.setdefault(runner_id, _RunnerRecord())
        self._strike(runner_id, record, now_s)

    def observe_success(self, runner_id: ids.RunnerId, now_s: float) -> None:
        """Count an attempt that the runner answered completely."""
        record = self._records.setdefault(runner_id, _RunnerRecord())
        self._recover(runner_id, record, now_s)

    def ejected(self, now_s: float) -> frozenset[ids.RunnerId]:
        """Return the runners that get no new work at ``now_s``."""
        # Only ejected runners are checked, so that the cost of a decision
        # does not grow with the number of healthy runners.
        if not self._ejected_ids:
            return frozenset()
        return frozenset(
            runner_id
            for runner_id in self._ejected_ids
            if now_s < (self._records[runner_id].ejected_until_s or 0.0)
        )

    def _strike(
        self, runner_id: ids.RunnerId, record: _RunnerRecord, now_s: float
    ) -> None:
        if record.ejected_until_s is not None and now_s < record.ejected_until_s:
            return
        is_probe = record.ejected_until_s is not None
        record.strikes += 1
        if record.strikes < STRIKES_TO_EJECT and not is_probe:
            return
        allowed = int(len(self._records) * MAX_EJECTED_SHARE)
        if len(self.ejected(now_s)) >= allowed:
            return
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.strikes = 0
        record.ejected_until_s = now_s + duration_s
        self._ejected_ids.add(runner_id)

    def _recover(
        self, runner_id: ids.RunnerId, record: _RunnerRecord, now_s: float
    ) -> None:
        record.strikes = 0
        if record.ejected_until_s is not None and now_s >= record.ejected_until_s:
            record.ejected_until_s = None
            self._ejected_ids.discard(runner_id)
            record.ejections = 0

    def _median_tokens_per_s(self) -> float | None:
        rates = [
            record.tokens_per_s
            for record in self._records.values()
            if record.tokens_per_s is not None
        ]
        if len(rates) < MIN_RUNNERS_TO_COMPARE:
            return None
        return statistics.median(rates)
