"""Which other daemons are known, and which of them live.

A daemon is known by its peer address. What is kept here decides nothing about
messages; it is told what was heard, and when.
"""

import dataclasses

from lacewingdrum_state import ids

FORGET_S = 20.0
# Addresses that nobody answered at are tried again after so long.
TRY_AGAIN_S = 40.0
# For so long a daemon that fell silent is taken to be cut off, not dead.
CUT_OFF_S = 15.0
# Up to so many daemons all hear of all work; above, those of a data centre.
ALL_HEAR_MAX = 12


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of another daemon."""

    address: ids.VmId
    data_centre: ids.DataCentre = ids.DataCentre("")
    incarnation: int = 0
    heard_s: float = float("-inf")
    known_since_s: float = 0.0
    configuration_version: int = 0
    is_leaving: bool = False
    is_live: bool = False


class PeerTable:
    """The daemons that this one knows.

    Args:
        own_address: of this daemon.
        data_centre: of this daemon.
    """

    def __init__(self, own_address: ids.VmId, data_centre: ids.DataCentre) -> None:
        self.own_address = own_address
        self._data_centre = data_centre
        self._peers: dict[ids.VmId, Peer] = {}
        self._live: dict[ids.VmId, Peer] = {}
        self._near: tuple[Peer, ...] | None = None
        self._group: frozenset[ids.VmId] | None = None
        self._seeds: set[ids.VmId] = set()
        self._forgotten_s: dict[ids.VmId, float] = {}
        self._most_live = 1

    @property
    def known(self) -> tuple[Peer, ...]:
        """All daemons known, silent ones too."""
        return tuple(self._peers.values())

    @property
    def live(self) -> tuple[Peer, ...]:
        """Daemons that were heard lately, this one left out."""
        return tuple(self._live.values())

    @property
    def hears_all(self) -> bool:
        """Whether all daemons hear of all work, not those near each other."""
        return len(self._live) <= ALL_HEAR_MAX

    @property
    def scale(self) -> float:
        """How many times larger the fleet is than a small one, at least 1."""
        return max(1.0, len(self._peers) / ALL_HEAR_MAX)

    @property
    def daemon_count(self) -> int:
        """How many daemons there may be, cut off ones too."""
        return max(self._most_live, len(self._peers) + 1)

    def rank_after(self, last: ids.VmId | None) -> int:
        """Tell when it is this daemon's turn, if all take turns by address.

        Args:
            last: whose turn it was; None where nobody had one.

        Returns:
            How many live daemons come before this one.
        """

        def place(address: ids.VmId) -> tuple[bool, ids.VmId]:
            return last is not None and address <= last, address

        own = place(self.own_address)
        return sum(place(address) < own for address in self._live)

    def get(self, address: ids.VmId) -> Peer | None:
        """Returns: a known daemon, or None."""
        return self._peers.get(address)

    def add_seed(self, address: ids.VmId, now_s: float) -> Peer | None:
        """Args: address: never forgotten. Returns: as ``learn``."""
        self._seeds.add(address)
        return self.learn(address, now_s)

    def learn(self, address: ids.VmId, now_s: float) -> Peer | None:
        """Take an address that somebody named.

        Args:
            address: of a daemon.
            now_s: the time.

        Returns:
            The daemon if it is new, else None.
        """
        if address == self.own_address or address in self._peers:
            return None
        self._forgotten_s.pop(address, None)
        peer = Peer(address, known_since_s=now_s)
        self._peers[address] = peer
        return peer

    def is_worth_trying(self, address: ids.VmId, now_s: float) -> bool:
        """Returns: False for a while after nobody answered there."""
        forgotten_s = self._forgotten_s.get(address)
        return forgotten_s is None or now_s - forgotten_s > TRY_AGAIN_S

    def heard(self, peer: Peer, now_s: float) -> bool:
        """Note a sign of life.

        Args:
            peer: who was heard.
            now_s: the time.

        Returns:
            Whether it was not live before.
        """
        peer.heard_s = now_s
        if peer.is_live:
            return False
        peer.is_live = True
        self._live[peer.address] = peer
        self._most_live = max(self._most_live, len(self._live) + 1)
        self._forget_groups()
        return True

    def lost(self, peer: Peer) -> None:
        """Args: peer: who fell silent, or was started anew."""
        peer.is_live = False
        self._live.pop(peer.address, None)
        self._forget_groups()

    def _forget_groups(self) -> None:
        self._near = self._group = None

    def forget_unheard(self, now_s: float) -> list[ids.VmId]:
        """Args: now_s: the time. Returns: addresses dropped as unheard."""
        dropped = [
            peer.address
            for peer in self._peers.values()
            if now_s - max(peer.heard_s, peer.known_since_s) > FORGET_S
            and peer.address not in self._seeds
        ]
        for address in dropped:
            self._forgotten_s[address] = now_s
            del self._peers[address]
        return dropped

    def near(self) -> tuple[Peer, ...]:
        """Returns: live daemons that share their work with this one."""
        if self._near is None:
            self._near = tuple(
                peer for peer in self._live.values() if self.is_near(peer)
            )
        return self._near

    def is_near(self, peer: Peer) -> bool:
        """Returns: whether this daemon and the peer share their work."""
        return self.hears_all or not self.is_far(peer)

    def is_far(self, peer: Peer) -> bool:
        """Returns: whether a live peer is in another data centre."""
        return peer.is_live and peer.data_centre != self._data_centre

    def group(self) -> frozenset[ids.VmId]:
        """Returns: this daemon and those whose work it hears of."""
        if self._group is None:
            heard = (peer.address for peer in self.near())
            self._group = frozenset((self.own_address, *heard))
        return self._group

    def cut_off(self, now_s: float) -> frozenset[ids.VmId]:
        """Returns: daemons near this one that may be cut off and at work."""
        if len(self._live) == len(self._peers):
            return frozenset()
        return frozenset(
            peer.address
            for peer in self._peers.values()
            if not peer.is_live
            and not peer.is_leaving
            and now_s - peer.heard_s < CUT_OFF_S
            and (self.hears_all or peer.data_centre == self._data_centre)
        )
