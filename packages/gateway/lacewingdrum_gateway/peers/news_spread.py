"""Spreads news among the daemons, and brings those up to date that lack it.

News goes to all daemons of a small fleet. In a large one it goes to a few,
which pass on what is new to them, so that its cost for a daemon does not grow
with the fleet. Heartbeats carry a digest of what a daemon knows; a daemon
whose digest differs, as it has just started or was cut off, is sent it.
"""

import random
from collections.abc import Callable

from lacewingdrum_gateway.peers import peering
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import metrics
from lacewingdrum_state import ids

SMALL_FLEET_PEERS_MAX = 13
RELAY_PEERS = 6
# A peer whose digest differs is sent a snapshot at most once in this time.
RESEND_INTERVAL_S = 2.0
SNAPSHOTS_PER_S_MAX = 2


class NewsSpread:
    """Sends the news of one topic.

    Args:
        topic: what the news is about, for heartbeats and metrics.
        digest: returns a number that is the same at daemons that know the
            same, and 0 at one that knows nothing.
        snapshot: returns a message with what this daemon knows.
    """

    def __init__(
        self,
        topic: str,
        digest: Callable[[], int],
        snapshot: Callable[[], peer_messages.Body],
        peers: peering.Peering,
        clock: Callable[[], float],
        rng: random.Random,
        counts: metrics.Metrics,
    ) -> None:
        self._topic = topic
        self._digest = digest
        self._snapshot = snapshot
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._counts = counts
        self._sent_s: dict[ids.VmId, float] = {}

    @property
    def is_relayed(self) -> bool:
        """Whether daemons pass on the news of others."""
        return len(self._peers.table.live) > SMALL_FLEET_PEERS_MAX

    def start(self) -> None:
        """Begin to bring peers up to date."""
        self._peers.on_heartbeat(self._on_heartbeat)
        self._peers.set_digest_source(self._topic, self._digest)

    def send(self, message: peer_messages.Body) -> None:
        """Send news to all daemons, or to some that pass it on."""
        addresses = [peer.address for peer in self._peers.table.live]
        if self.is_relayed:
            addresses = self._rng.sample(addresses, RELAY_PEERS)
        sent_count = sum(self._peers.send(address, message) for address in addresses)
        self._counts.count("news_sent", sent_count, topic=self._topic)

    def _on_heartbeat(self, peer: peering.Peer) -> None:
        digest = self._digest()
        if not digest or peer.digests.get(self._topic, 0) == digest:
            return
        now_s = self._clock()
        self._sent_s = {
            address: sent_s
            for address, sent_s in self._sent_s.items()
            if now_s - sent_s < RESEND_INTERVAL_S
        }
        is_busy = len(self._sent_s) >= SNAPSHOTS_PER_S_MAX * RESEND_INTERVAL_S
        if is_busy or peer.address in self._sent_s:
            return
        if self._peers.send(peer.address, self._snapshot()):
            self._sent_s[peer.address] = now_s
            self._counts.count("news_sent", topic=self._topic)
