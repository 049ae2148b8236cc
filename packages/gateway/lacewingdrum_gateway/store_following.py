"""Says how a daemon follows the store, from the daemons that it hears."""

from lacewingdrum_coordination import feed_turns, store_deadlines, store_followers
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_state import ids


class StoreFollowing:
    """Whether this daemon holds a feed, how long, and who holds one for it."""

    def __init__(
        self,
        table: peer_table.PeerTable,
        deadlines: store_deadlines.StoreDeadlines,
    ) -> None:
        self._table = table
        self._deadlines = deadlines
        self._turns = feed_turns.FeedTurns(table.own_address, deadlines)

    @property
    def is_follower(self) -> bool:
        """Whether this daemon follows the feed of the store."""
        table = self._table
        return table.exchanges_all_work_reports or store_followers.is_follower(
            table.own_address, table.work_group()
        )

    def record_turn(self, address: ids.VmId, wait_s: float, now_s: float) -> None:
        """Record that the feed of another follower has begun."""
        self._turns.record(address, wait_s, now_s)

    def feed_wait_s(self, has_changed: bool, now_s: float) -> float:
        """Return how long the store may wait for a change.

        Args:
            has_changed: whether the last call of the feed, or a read of the
                table, has brought rows.
            now_s: the current time.
        """
        table = self._table
        if not table.exchanges_all_work_reports:
            return self._turns.wait_s(self._followers(), has_changed, now_s)
        wait_s = self._deadlines.feed_wait_s(False)
        if not has_changed:
            return wait_s
        share = store_followers.first_wait_share(table.own_address, table.work_group())
        return wait_s * share

    def other_followers(self) -> tuple[ids.VmId, ...]:
        """Return the daemons that take turns with this one."""
        table = self._table
        if table.exchanges_all_work_reports:
            return ()
        return tuple(item for item in self._followers() if item != table.own_address)

    def _followers(self) -> tuple[ids.VmId, ...]:
        return store_followers.followers(self._table.work_group())

    def followers_seen_s(self) -> float:
        """Return when a daemon that follows the store was heard last."""
        peers = (self._table.get(address) for address in self._followers())
        return max(
            (peer.last_seen_s for peer in peers if peer is not None),
            default=float("-inf"),
        )

    def newest_version_heard(self) -> int:
        """Return the newest version that a live peer names, or 0."""
        live = self._table.live
        return max((peer.configuration_version for peer in live), default=0)

    def pick_newer_near_peer(self, version: int) -> peer_table.Peer | None:
        """Return a near peer with the newest version, if that is newer.

        Args:
            version: the version of this daemon.
        """
        near = self._table.work_peers()
        newest = max((peer.configuration_version for peer in near), default=0)
        if newest <= version:
            return None
        holders = [
            peer.address for peer in near if peer.configuration_version == newest
        ]
        return self._table.get(
            store_followers.pick_holder(self._table.own_address, holders)
        )
