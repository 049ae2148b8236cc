"""Says how a daemon follows the store, from the daemons that it hears."""

from lacewingdrum_coordination import store_deadlines, store_followers
from lacewingdrum_gateway.peers import peer_table


class StoreFollowing:
    """Whether this daemon holds a feed, how long, and who holds one for it."""

    def __init__(
        self,
        table: peer_table.PeerTable,
        deadlines: store_deadlines.StoreDeadlines,
    ) -> None:
        self._table = table
        self._deadlines = deadlines

    @property
    def is_follower(self) -> bool:
        """Whether this daemon follows the feed of the store."""
        table = self._table
        return table.exchanges_all_work_reports or store_followers.is_follower(
            table.own_address, table.work_group()
        )

    def feed_wait_s(self, has_changed: bool) -> float:
        """Return how long the store may wait for a change.

        Args:
            has_changed: whether the last call of the feed, or a read of the
                table, has brought rows.
        """
        table = self._table
        follows_for_others = not table.exchanges_all_work_reports
        wait_s = self._deadlines.feed_wait_s(follows_for_others)
        if not has_changed:
            return wait_s
        following = table.work_group()
        if follows_for_others:
            following = frozenset(store_followers.followers(following))
        return wait_s * store_followers.first_wait_share(table.own_address, following)

    def followers_seen_s(self) -> float:
        """Return when a daemon that follows the store was heard last."""
        followers = store_followers.followers(self._table.work_group())
        peers = (self._table.get(address) for address in followers)
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
