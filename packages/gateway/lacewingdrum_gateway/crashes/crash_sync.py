"""Exchanges evidence of crashes with the other daemons."""

import asyncio
import random
from collections.abc import Callable

from lacewingdrum_coordination import crash_evidence
from lacewingdrum_gateway.crashes import crash_codec
from lacewingdrum_gateway.peers import news_spread, peering
from lacewingdrum_protocol import crash_messages
from lacewingdrum_runtime import metrics
from lacewingdrum_state import crashes, ids

BATCH_DELAY_S = 0.01
EXPIRY_CHECK_S = 60.0


class CrashSync:
    """Merges the evidence of this daemon and of its peers."""

    def __init__(
        self,
        peers: peering.Peering,
        clock: Callable[[], float],
        rng: random.Random,
        counts: metrics.Metrics,
    ) -> None:
        self.evidence = crash_evidence.CrashEvidence()
        self._peers = peers
        self._clock = clock
        self._spread = news_spread.NewsSpread(
            "crashes",
            lambda: self.evidence.digest,
            lambda: crash_codec.to_message(self.evidence.snapshot(), clock()),
            peers,
            clock,
            rng,
            counts,
        )
        self._news = crashes.Evidence()
        self._handlers: list[Callable[[crashes.Evidence], None]] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to exchange evidence with the peers and to drop it in time."""
        self._peers.on_message(crash_messages.CrashNews, self._on_news)
        self._spread.start()
        self._drop_expired()

    async def close(self) -> None:
        """Send pending news and cancel the timers."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush()

    def on_news(self, handler: Callable[[crashes.Evidence], None]) -> None:
        """Register a handler of evidence that is new to this daemon."""
        self._handlers.append(handler)

    def add(self, found: crashes.Evidence) -> None:
        """Add what this daemon has found out, and tell the peers."""
        self._apply(found, is_own=True)

    def start_trial(self, subject: crashes.Subject) -> None:
        """Record that one request is let through now despite a blame."""
        trial = self.evidence.start_trial(subject, self._clock())
        self._send_soon(crashes.Evidence(trials=(trial,)))

    def _apply(self, found: crashes.Evidence, is_own: bool) -> None:
        news = self.evidence.merge(found, self._clock())
        if not news:
            return
        if is_own or self._spread.is_relayed:
            self._send_soon(news)
        for handler in self._handlers:
            handler(news)

    def _send_soon(self, news: crashes.Evidence) -> None:
        self._news = self._news.plus(news)
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(BATCH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        news, self._news = self._news, crashes.Evidence()
        self._spread.send(crash_codec.to_message(news, self._clock()))

    def _on_news(self, sender: ids.VmId, news: crash_messages.CrashNews) -> None:
        del sender
        self._apply(crash_codec.from_message(news, self._clock()), is_own=False)

    def _drop_expired(self) -> None:
        self.evidence.drop_expired(self._clock())
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(EXPIRY_CHECK_S, self._drop_expired)
