"""Exchanges with the other daemons the requests a second that runners take."""

import random
from collections.abc import Callable, Iterable

from lacewingdrum_coordination import runner_limits, runner_roster
from lacewingdrum_gateway.peers import news_spread, peering
from lacewingdrum_protocol import limit_messages
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import (
    ids,
    named_limits,
    requests,
    runner_entries,
    units,
)


class LimitSync:
    """Learns limits from answers and from the peers."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        peers: peering.Peering,
        clock: Callable[[], float],
        rng: random.Random,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self.limits = runner_limits.RunnerLimits()
        self._roster = roster
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._unreadable: dict[ids.RunnerId, int] = {}
        self._spread = news_spread.NewsSpread(
            "limits",
            self._digest,
            lambda: _to_message(self.limits.all, clock()),
            peers,
            clock,
            rng,
            counts,
        )

    def start(self) -> None:
        """Begin to exchange limits with the peers."""
        self._peers.on_message(limit_messages.LimitNews, self._on_news)
        self._spread.start()

    def observe(
        self,
        entry: runner_entries.RunnerEntry,
        answer_headers: requests.RunnerHeaders,
    ) -> None:
        """Take from an answer what its runner says of its limit.

        Args:
            entry: the runner that answered.
            answer_headers: the headers of its answer. Only a successful answer
                to a request shows by their absence that a limit has ended.
        """
        if answer_headers.is_limit_unreadable:
            self._record_unreadable(entry)
            return
        if answer_headers.limit_per_s is None and not answer_headers.has_receipt:
            return
        limit = named_limits.RunnerLimit(
            entry.runner_id, entry.born_ms, answer_headers.limit_per_s, self._clock()
        )
        if self._record(limit, "own attempt"):
            self._spread.send(_to_message((limit,), self._clock()))

    def _digest(self) -> int:
        if self.limits.has_any:
            self.limits.forget_unlisted(self._roster, self._clock())
        return self.limits.digest

    def _record_unreadable(self, entry: runner_entries.RunnerEntry) -> None:
        """Log once for each incarnation that its limit cannot be read."""
        self._counts.count("runner_limits_unreadable")
        if self._unreadable.get(entry.runner_id) == entry.born_ms:
            return
        if len(self._unreadable) >= runner_limits.LIMITS_MAX:
            self._unreadable.clear()
        self._unreadable[entry.runner_id] = entry.born_ms
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_LIMITED,
            None,
            runner_id=entry.runner_id,
            born_ms=entry.born_ms,
            fault="unreadable, nothing changed",
        )

    def _on_news(self, sender: ids.VmId, news: limit_messages.LimitNews) -> None:
        now_s = self._clock()
        found = [
            named_limits.RunnerLimit(
                ids.RunnerId(report.runner_id),
                report.born_ms,
                report.per_s,
                now_s - report.age_ms / units.MS_PER_S,
            )
            for report in news.limits
        ]
        changed = [limit for limit in found if self._record(limit, f"peer {sender}")]
        if changed and self._spread.is_relayed:
            self._spread.send(_to_message(changed, now_s))

    def _record(self, limit: named_limits.RunnerLimit, source: str) -> bool:
        """Record a limit of a listed runner; return whether it is new."""
        is_listed = self._roster.get(limit.runner_id) is not None
        if not is_listed or not self.limits.record(limit):
            return False
        self._counts.count("runner_limit_changes")
        self._decisions.record(
            decision_log.DecisionEvent.RUNNER_LIMITED,
            None,
            runner_id=limit.runner_id,
            born_ms=limit.born_ms,
            per_s=limit.per_s,
            source=source,
            age_ms=round((self._clock() - limit.at_s) * units.MS_PER_S),
            daemons=len(self._peers.table.live) + 1,
        )
        return True


def _to_message(
    found: Iterable[named_limits.RunnerLimit], now_s: float
) -> limit_messages.LimitNews:
    return limit_messages.LimitNews(
        tuple(
            limit_messages.LimitReport(
                limit.runner_id,
                limit.born_ms,
                limit.per_s,
                max(round((now_s - limit.at_s) * units.MS_PER_S), 0),
            )
            for limit in found
        )
    )
