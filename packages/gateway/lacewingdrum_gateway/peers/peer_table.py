"""Stores which other daemons are known and which of them are live.

A daemon is identified by its peer address, for which the gateway uses the type
``VmId``; it is not the ``vm_id`` of the settings. This module sends no
messages; its caller reports each contact and its time.
"""

from collections.abc import Collection

from lacewingdrum_gateway.peers import peer_state
from lacewingdrum_state import ids

# The address of a forgotten daemon may be added again after this time.
FORGOTTEN_RETRY_DELAY_S = 40.0
# A daemon that fell silent is assumed to be partitioned, not dead, for this
# time.
PARTITION_ASSUMED_S = 15.0
# With at most this many live peers, all daemons report their work on engines
# to each other. Above it, only the daemons of the same data centre do.
EXCHANGE_ALL_PEERS_MAX = 12

Peer = peer_state.Peer


class PeerTable:
    """The daemons that this daemon knows.

    Args:
        own_address: the peer address of this daemon.
        data_centre: the data centre of this daemon.
    """

    def __init__(self, own_address: ids.VmId, data_centre: ids.DataCentre) -> None:
        self.own_address = own_address
        self._data_centre = data_centre
        self._peers: dict[ids.VmId, Peer] = {}
        self._live: dict[ids.VmId, Peer] = {}
        self._hosts: frozenset[str] | None = None
        self._work_peers: tuple[Peer, ...] | None = None
        self._work_group: frozenset[ids.VmId] | None = None
        self._senders: tuple[tuple[ids.VmId, ids.DataCentre], ...] | None = None
        self._seeds: set[ids.VmId] = set()
        self._forgotten_s: dict[ids.VmId, float] = {}
        self._max_daemon_count = 1

    @property
    def known(self) -> tuple[Peer, ...]:
        """All known daemons, including silent ones."""
        return tuple(self._peers.values())

    @property
    def live(self) -> tuple[Peer, ...]:
        """The daemons with recent contact, without this one."""
        return tuple(self._live.values())

    @property
    def hosts(self) -> frozenset[str]:
        """The IP addresses of the daemons that were heard, and of this one."""
        if self._hosts is None:
            heard = (peer.address for peer in self._peers.values() if peer.is_heard)
            self._hosts = frozenset(
                address.rpartition(":")[0] for address in (self.own_address, *heard)
            )
        return self._hosts

    @property
    def exchanges_all_work_reports(self) -> bool:
        """Whether all daemons exchange work reports.

        If not, only the daemons of the same data centre do.
        """
        return len(self._live) <= EXCHANGE_ALL_PEERS_MAX

    @property
    def fleet_size_factor(self) -> float:
        """The factor for intervals that grow with the size of the fleet.

        It is 1 while at most ``EXCHANGE_ALL_PEERS_MAX`` peers are heard.
        """
        return max(1.0, self.heard_count / EXCHANGE_ALL_PEERS_MAX)

    @property
    def heard_count(self) -> int:
        """The number of daemons that were heard and are not forgotten."""
        return sum(peer.is_heard for peer in self._peers.values())

    @property
    def daemon_count(self) -> int:
        """The number of daemons, including those that may be partitioned.

        This is the larger of the number of known daemons, without doubtful
        ones, and the highest number that were live at the same time. The
        latter never decreases, also if daemons have left.
        """
        known_count = sum(not peer.is_doubtful for peer in self._peers.values())
        return max(self._max_daemon_count, known_count + 1)

    @property
    def candidates(self) -> tuple[Peer, ...]:
        """The dialled daemons that only rows of the store name."""
        return tuple(peer for peer in self._peers.values() if peer.is_candidate)

    def rank_after(self, last: ids.VmId | None) -> int:
        """Return the place of this daemon if daemons take turns by address.

        Args:
            last: the daemon that had the last turn, or None.

        Returns:
            The number of live daemons that come before this one.
        """

        def sort_key(address: ids.VmId) -> tuple[bool, ids.VmId]:
            return last is not None and address <= last, address

        own = sort_key(self.own_address)
        return sum(sort_key(address) < own for address in self._live)

    def in_turn(self, turn: int, count: int) -> tuple[ids.VmId, ...]:
        """Return some daemons, no candidates; consecutive turns reach all.

        Args:
            turn: the number of the turn.
            count: the most daemons to return.
        """
        addresses = tuple(
            peer.address for peer in self._peers.values() if not peer.is_candidate
        )
        if len(addresses) <= count:
            return addresses
        start = turn * count % len(addresses)
        return (addresses + addresses)[start : start + count]

    def get(self, address: ids.VmId) -> Peer | None:
        """Return a known daemon, or None."""
        return self._peers.get(address)

    def add_seed(self, address: ids.VmId, now_s: float) -> Peer | None:
        """Do the same as ``add_address``, but never forget the address."""
        self._seeds.add(address)
        return self.add_address(address, now_s)

    def add_address(self, address: ids.VmId, now_s: float) -> Peer | None:
        """Add the address of a daemon.

        Args:
            address: the address.
            now_s: the current time.

        Returns:
            The daemon if it is new, else None.
        """
        if address == self.own_address:
            return None
        peer = self._peers.get(address)
        if peer is not None:
            peer.is_candidate = peer.is_doubtful = False
            return None
        self._forgotten_s.pop(address, None)
        peer = Peer(address, known_since_s=now_s)
        self._peers[address] = peer
        return peer

    def add_candidate(self, address: ids.VmId, now_s: float) -> Peer | None:
        """Add an address that only a row of the store names, if it is new."""
        if address in self._peers:
            return None
        is_doubtful = address in self._forgotten_s
        peer = self.add_address(address, now_s)
        if peer is not None:
            peer.is_candidate = True
            peer.is_doubtful = is_doubtful
        return peer

    def forgotten_s(self, address: ids.VmId) -> float | None:
        """Return when an address was forgotten, or None if it was not."""
        return self._forgotten_s.get(address)

    def may_retry(self, address: ids.VmId, now_s: float) -> bool:
        """Return False for a time after an address was forgotten."""
        forgotten_s = self._forgotten_s.get(address)
        return forgotten_s is None or now_s - forgotten_s > FORGOTTEN_RETRY_DELAY_S

    def trust_again(self, address: ids.VmId) -> None:
        """Let an address be tried as if it had not been forgotten."""
        self._forgotten_s.pop(address, None)

    def drop_forgotten_except(self, addresses: Collection[ids.VmId]) -> None:
        """Drop what is kept of forgotten addresses that nothing names."""
        self._forgotten_s = {
            address: forgotten_s
            for address, forgotten_s in self._forgotten_s.items()
            if address in addresses
        }

    def seen(self, peer: Peer, now_s: float) -> bool:
        """Record contact with a daemon and mark it as live.

        Args:
            peer: the daemon.
            now_s: the current time.

        Returns:
            Whether the daemon was not live before.
        """
        peer.last_seen_s = now_s
        peer.is_candidate = peer.is_doubtful = False
        if peer.is_live:
            return False
        peer.is_live = True
        self._hosts = None
        self._live[peer.address] = peer
        self._max_daemon_count = max(self._max_daemon_count, len(self._live) + 1)
        self._clear_cached_peers()
        return True

    def mark_lost(self, peer: Peer) -> None:
        """Mark a daemon that fell silent or restarted as not live."""
        peer.is_live = False
        self._live.pop(peer.address, None)
        self._clear_cached_peers()

    def _clear_cached_peers(self) -> None:
        self._work_peers = self._work_group = self._senders = None

    def forget_silent(self, now_s: float, silence_s: float) -> list[ids.VmId]:
        """Remove daemons after a long silence.

        Args:
            now_s: the current time.
            silence_s: how long a daemon may be silent.

        Returns:
            Their addresses.
        """
        dropped = [
            peer.address
            for peer in self._peers.values()
            if now_s - max(peer.last_seen_s, peer.known_since_s) > silence_s
            and peer.address not in self._seeds
        ]
        for address in dropped:
            self.forget(address, now_s)
        return dropped

    def forget(self, address: ids.VmId, now_s: float) -> None:
        """Remove a daemon that is not live."""
        self._forgotten_s[address] = now_s
        del self._peers[address]
        self._hosts = None

    def work_peers(self) -> tuple[Peer, ...]:
        """Return the live daemons that exchange work reports with this one."""
        if self._work_peers is None:
            self._work_peers = tuple(
                peer
                for peer in self._live.values()
                if self.exchanges_work_reports(peer)
            )
        return self._work_peers

    def exchanges_work_reports(self, peer: Peer) -> bool:
        """Return whether this daemon and the peer exchange work reports."""
        return self.exchanges_all_work_reports or not self.is_live_in_other_data_centre(
            peer
        )

    def is_live_in_other_data_centre(self, peer: Peer) -> bool:
        """Return whether the peer is live and in another data centre."""
        return peer.is_live and peer.data_centre != self._data_centre

    def work_group(self) -> frozenset[ids.VmId]:
        """Return this daemon and those that exchange work reports with it."""
        if self._work_group is None:
            seen = (peer.address for peer in self.work_peers())
            self._work_group = frozenset((self.own_address, *seen))
        return self._work_group

    def senders(self) -> tuple[tuple[ids.VmId, ids.DataCentre], ...]:
        """Return this daemon and all live ones, in order.

        Each has the data centre whose runners it prefers; it is empty while
        daemons send to those of all data centres alike.
        """
        if self._senders is None:
            own = (self.own_address, self._data_centre)
            others = [(peer.address, peer.data_centre) for peer in self._live.values()]
            is_alike = self.exchanges_all_work_reports
            self._senders = tuple(
                (address, ids.DataCentre("") if is_alike else data_centre)
                for address, data_centre in sorted((own, *others))
            )
        return self._senders

    def maybe_partitioned(self, now_s: float) -> frozenset[ids.VmId]:
        """Return silent peers of the work group that may be partitioned."""
        if len(self._live) == len(self._peers):
            return frozenset()
        return frozenset(
            peer.address
            for peer in self._peers.values()
            if not peer.is_live
            and not peer.is_leaving
            and now_s - peer.last_seen_s < PARTITION_ASSUMED_S
            and (
                self.exchanges_all_work_reports or peer.data_centre == self._data_centre
            )
        )
