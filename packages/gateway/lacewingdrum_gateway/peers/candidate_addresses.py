"""Chooses which daemons are dialled of those that only rows of the store name.

Rows of daemons that have ended may stay for a while. So a bounded number of
addresses is dialled at a time, those of the rows written last first, and one
that does not answer gives way to the next.
"""

import dataclasses
from collections.abc import Sequence

from lacewingdrum_coordination import daemon_rows
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_state import addresses, ids

DIALLED_MAX = 64
# Those that have not answered before are dialled only so many at a time.
DOUBTFUL_MAX = 16
# A daemon that has not answered for this time gives way to one that waits.
GIVE_WAY_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """The daemons to disconnect, and those to dial."""

    given_up: tuple[ids.VmId, ...]
    dialled: tuple[ids.VmId, ...]


class CandidateAddresses:
    """Holds the addresses of all rows, and dials some in each turn.

    Args:
        table: knows which addresses are dialled, heard or forgotten.
    """

    def __init__(self, table: peer_table.PeerTable) -> None:
        self._table = table
        self._versions: dict[ids.VmId, int] = {}

    def set_rows(self, rows: Sequence[daemon_rows.DaemonRow]) -> None:
        """Set the rows that name daemons, the one written last first.

        A daemon whose row was written since is tried as if it were new.
        """
        versions = {
            row.address: row.version
            for row in rows
            if addresses.parse_address(row.address) is not None
        }
        for address, version in versions.items():
            if self._versions.get(address, version) != version:
                self._table.trust_again(address)
        self._versions = versions
        self._table.drop_forgotten_except(versions)

    def take_turn(self, now_s: float) -> Turn:
        """Forget candidates that give way, and add the next ones.

        Args:
            now_s: the current time.
        """
        untried = [address for address in self._waiting() if not self._tried(address)]
        given_up = self._give_way(len(untried), now_s)
        candidates = self._table.candidates
        free = DIALLED_MAX - len(candidates)
        doubtful_count = sum(peer.is_doubtful for peer in candidates)
        doubtful_free = min(DOUBTFUL_MAX - doubtful_count, free - len(untried))
        retried = self._to_retry(now_s)[: max(doubtful_free, 0)]
        dialled = (*untried[:free], *retried)
        for address in dialled:
            self._table.add_candidate(address, now_s)
        return Turn(given_up, dialled)

    def _waiting(self) -> list[ids.VmId]:
        table = self._table
        return [
            address
            for address in self._versions
            if address != table.own_address and table.get(address) is None
        ]

    def _tried(self, address: ids.VmId) -> bool:
        return self._table.forgotten_s(address) is not None

    def _to_retry(self, now_s: float) -> list[ids.VmId]:
        """Return what may be retried, the one forgotten first at the front."""
        table = self._table
        found = (
            (forgotten_s, address)
            for address in self._waiting()
            if (forgotten_s := table.forgotten_s(address)) is not None
            and table.may_retry(address, now_s)
        )
        return [address for _, address in sorted(found)]

    def _give_way(self, waiting_count: int, now_s: float) -> tuple[ids.VmId, ...]:
        candidates = self._table.candidates
        needed = waiting_count - (DIALLED_MAX - len(candidates))
        silent = [
            peer.address
            for peer in candidates
            if now_s - peer.known_since_s > GIVE_WAY_S
        ]
        given_up = tuple(silent[: max(needed, 0)])
        for address in given_up:
            self._table.forget(address, now_s)
        return given_up
