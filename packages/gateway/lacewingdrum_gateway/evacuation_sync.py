"""Learns from the store and from the peers which data centres are evacuated.

The rows come with those of the configuration, which only some daemons follow
in a large fleet; the others learn of them from these. A daemon that starts
waits a moment until a peer has sent what it knows, as the store may have
returned from a copy; without peers it waits until it has read the table.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from lacewingdrum_coordination import evacuation_register, route_table
from lacewingdrum_gateway import configuration_sync
from lacewingdrum_gateway.peers import news_spread, peering
from lacewingdrum_platform import evacuation_rows, store_calls
from lacewingdrum_protocol import evacuation_messages
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import evacuations, ids, store_versions, units

# The share of the bound for an evacuation for which the state known before a
# return of the store takes precedence over the rows of its older copy.
RETURN_WINDOW_SHARE = 0.8
# How long a daemon with a configuration waits for the evacuations; peers of
# earlier builds send none.
INITIAL_WAIT_MAX_S = 2.0
REQUEST_INTERVAL_S = 0.2
# Names the digest in heartbeats.
TOPIC = "evacuations"


class EvacuationSync:
    """Keeps the evacuations up to date and tells the peers of them."""

    def __init__(
        self,
        configurations: configuration_sync.ConfigurationSync,
        peers: peering.Peering,
        evacuation_max_s: float,
        rng: random.Random,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self.register = evacuation_register.EvacuationRegister()
        self._configurations = configurations
        self._peers = peers
        self._return_window_s = evacuation_max_s * RETURN_WINDOW_SHARE
        self._clock = clock
        self._decisions = decisions
        self._counts = counts
        self._configured_s = float("inf")
        self._has_answer = False
        self._has_warned = False
        self._refused_count = 0
        self._last_request_s = float("-inf")
        self._learnt_s: dict[ids.DataCentre, float] = {}
        self._era: int | None = None
        self._era_seen_s = float("inf")
        self._return_timer: asyncio.TimerHandle | None = None
        self._spread = news_spread.NewsSpread(
            TOPIC,
            lambda: self.register.digest,
            lambda: self._to_message(self.register.all),
            peers,
            clock,
            rng,
            counts,
        )

    @property
    def is_known(self) -> bool:
        """Whether requests may begin: all is known, or the wait is over."""
        if self._is_wait_over:
            return True
        return self.register.is_known and not self._awaits_answer

    @property
    def _is_wait_over(self) -> bool:
        return self._clock() - self._configured_s > INITIAL_WAIT_MAX_S

    @property
    def _awaits_answer(self) -> bool:
        """Whether a peer knows what this daemon does not, and is to say it."""
        known = (0, self.register.digest)
        return not self._has_answer and any(
            peer.digests.get(TOPIC, 0) not in known for peer in self._peers.table.live
        )

    def start(self) -> None:
        """Begin to learn from the store and to exchange with the peers."""
        self._configurations.on_rows(self._on_rows)
        self._configurations.on_applied(self._on_configuration_applied)
        self._peers.on_message(evacuation_messages.EvacuationNews, self._on_news)
        self._peers.on_message(evacuation_messages.EvacuationRequest, self._on_request)
        self._peers.on_heartbeat(self._on_heartbeat)
        self._spread.start()
        self._counts.gauge("evacuated_data_centres", lambda: len(self.register.active))
        self._counts.gauge("refused_evacuations", lambda: self.register.refused_count)

    async def close(self) -> None:
        """Cancel the timer."""
        if self._return_timer is not None:
            self._return_timer.cancel()

    def _on_configuration_applied(self, table: route_table.RouteTable) -> None:
        del table
        self._configured_s = min(self._configured_s, self._clock())

    def _on_rows(self, rows: store_calls.Rows, is_whole: bool) -> None:
        found = evacuation_rows.decode(rows, is_whole)
        before = self.register.active
        if is_whole:
            changed = self.register.apply_read(rows.version, found)
        else:
            changed = self.register.apply(found)
        self._schedule_return_end(self._clock())
        self._record(before, changed, "store", {})
        if changed:
            self._spread.send(self._to_message(changed))

    def _on_news(
        self, sender: ids.VmId, news: evacuation_messages.EvacuationNews
    ) -> None:
        now_s = self._clock()
        before = self.register.active
        changed = self.register.apply(map(_from_report, news.evacuations))
        if news.is_whole:
            self._has_answer = True
            self.register.set_known()
        is_same_era = news.era == self.register.era
        seen_s = now_s - news.era_age_ms / units.MS_PER_S if is_same_era else now_s
        self._schedule_return_end(seen_s)
        ages_ms = {
            ids.DataCentre(report.data_centre): report.age_ms
            for report in news.evacuations
        }
        self._record(before, changed, f"peer {sender}", ages_ms)
        if changed and self._spread.is_relayed:
            self._spread.send(self._to_message(changed))

    def _on_request(
        self, sender: ids.VmId, request: evacuation_messages.EvacuationRequest
    ) -> None:
        del request
        if self.register.is_known:
            self._peers.send(sender, self._to_message(self.register.all, True))

    def _on_heartbeat(self, peer: peering.Peer) -> None:
        """Ask a peer after the start, also if the store has answered."""
        now_s = self._clock()
        if self._is_wait_over and not self.register.is_known and not self._has_warned:
            self._has_warned = True
            self._decisions.record(decision_log.DecisionEvent.EVACUATIONS_UNKNOWN, None)
        is_due = now_s - self._last_request_s >= REQUEST_INTERVAL_S
        if is_due and not self._has_answer and not self._is_wait_over:
            self._last_request_s = now_s
            self._peers.send(peer.address, evacuation_messages.EvacuationRequest())

    def _schedule_return_end(self, seen_s: float) -> None:
        """Let what is read in a new era count a while after it was first seen.

        Args:
            seen_s: when this daemon, or a peer, has seen the era.
        """
        if self.register.era is None:
            return
        if self.register.era != self._era:
            self._era, self._era_seen_s = self.register.era, float("inf")
        if not self.register.is_after_return or seen_s >= self._era_seen_s:
            return
        self._era_seen_s = seen_s
        if self._return_timer is not None:
            self._return_timer.cancel()
        left_s = max(seen_s + self._return_window_s - self._clock(), 0.0)
        loop = asyncio.get_running_loop()
        self._return_timer = loop.call_later(left_s, self._end_return_window)

    def _end_return_window(self) -> None:
        before = self.register.active
        changed = self.register.end_return()
        self._record(before, changed, "store, after its return", {})
        if changed:
            self._spread.send(self._to_message(changed))

    def _record(
        self,
        before: frozenset[ids.DataCentre],
        changed: Iterable[evacuations.Evacuation],
        source: str,
        ages_ms: dict[ids.DataCentre, int],
    ) -> None:
        """Log evacuations that have begun or ended here.

        Args:
            before: the data centres that were evacuated before.
            changed: what is known otherwise than before.
            source: where it was learnt.
            ages_ms: how long the source has known it.
        """
        now_s = self._clock()
        if self.register.refused_count > self._refused_count:
            self._refused_count = self.register.refused_count
            self._decisions.record(
                decision_log.DecisionEvent.EVACUATIONS_FULL,
                None,
                source=source,
                refused_count=self._refused_count,
            )
        for item in changed:
            age_ms = ages_ms.get(item.data_centre, 0)
            self._learnt_s[item.data_centre] = now_s - age_ms / units.MS_PER_S
            if (item.data_centre in before) == item.is_active:
                continue
            self._counts.count("evacuation_changes")
            self._decisions.record(
                decision_log.DecisionEvent.EVACUATION_CHANGED,
                None,
                data_centre=item.data_centre,
                is_active=item.is_active,
                source=source,
                store_version=item.version.version,
                store_era=item.version.era,
                age_ms=age_ms,
            )

    def _to_message(
        self, found: Iterable[evacuations.Evacuation], is_whole: bool = False
    ) -> evacuation_messages.EvacuationNews:
        now_s = self._clock()
        return evacuation_messages.EvacuationNews(
            tuple(
                evacuation_messages.EvacuationReport(
                    item.data_centre,
                    item.is_active,
                    item.version.era,
                    item.version.version,
                    item.is_read,
                    _age_ms(now_s, self._learnt_s.get(item.data_centre, now_s)),
                )
                for item in found
            ),
            self.register.era or 0,
            _age_ms(now_s, min(self._era_seen_s, now_s)),
            is_whole,
        )


def _from_report(
    report: evacuation_messages.EvacuationReport,
) -> evacuations.Evacuation:
    return evacuations.Evacuation(
        ids.DataCentre(report.data_centre),
        report.is_active,
        store_versions.StoreVersion(report.era, report.version),
        report.is_read,
    )


def _age_ms(now_s: float, since_s: float) -> int:
    return max(round((now_s - since_s) * units.MS_PER_S), 0)
