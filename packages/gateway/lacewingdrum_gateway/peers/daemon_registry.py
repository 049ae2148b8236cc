"""Registers this daemon in the platform's store and finds others there.

Each daemon writes a row under its peer address, which states its term, and
renews it several times within that. The row is written again if the store has
lost it, which happens when the store returns from an older copy. One of the
daemons that hear each other removes rows that have outlived their daemons.
"""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import daemon_rows, retry_pauses
from lacewingdrum_gateway import store_client
from lacewingdrum_gateway.peers import candidate_addresses, peering
from lacewingdrum_platform import store_calls
from lacewingdrum_protocol import daemon_row_values
from lacewingdrum_runtime import metrics, tasks
from lacewingdrum_state import ids

DAEMONS_TABLE = "daemons"
# These intervals grow with the number of daemons that are heard.
TABLE_READ_INTERVAL_S = 13.0
RENEWAL_INTERVAL_S = 60.0
RENEWALS_A_TERM = 4
RETRY_S = 0.7
DIAL_INTERVAL_S = 1.0
REMOVAL_PAUSE_S = 1.0
# A wait follows the number of daemons that are heard this often.
GROWTH_CHECK_S = 1.0


class DaemonRegistry:
    """Keeps the row of this daemon and reads those of the others.

    Args:
        store: the platform's store.
        peers: learns the addresses that are found.
        incarnation: stands in the row.
        rng: spreads the calls of daemons.
        clock: the time of the peer table.
        counts: the metrics.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        peers: peering.Peering,
        incarnation: int,
        rng: random.Random,
        clock: Callable[[], float],
        counts: metrics.Metrics,
    ) -> None:
        self._store = store
        self._peers = peers
        self._incarnation = incarnation
        self._value = b""
        self._renewal_s = RENEWAL_INTERVAL_S
        self._rng = rng
        self._clock = clock
        self._counts = counts
        self._registration_due = asyncio.Event()
        self._is_leaving = False
        self._rows = daemon_rows.DaemonRows()
        self._candidates = candidate_addresses.CandidateAddresses(peers.table)
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Begin to write the row, to read the table and to dial others."""
        self._store.on_new_era(self._registration_due.set)
        self._registration_due.set()
        self._tasks.spawn_loop(self._keep_row)
        self._tasks.spawn_loop(self._poll_table)
        self._tasks.spawn_loop(self._dial)

    async def close(self) -> None:
        """Stop writing and reading; the row stays for its term."""
        await self._tasks.close()

    def set_leaving(self) -> None:
        """Remove the row of this daemon, because it leaves."""
        self._is_leaving = True
        self._tasks.spawn(self._remove_own_row())

    async def _keep_row(self) -> None:
        """Write the row whenever it is due, or has to be renewed."""
        while True:
            await self._write_row()
            with contextlib.suppress(TimeoutError):
                wait_s = retry_pauses.spread_s(self._renewal_s, self._rng)
                async with asyncio.timeout(wait_s):
                    await self._registration_due.wait()

    async def _write_row(self) -> None:
        self._registration_due.clear()
        pauses = retry_pauses.RetryPauses(RETRY_S, self._rng)
        while not self._is_leaving:
            renewal_s = RENEWAL_INTERVAL_S * self._peers.table.fleet_size_factor
            term_s = RENEWALS_A_TERM * renewal_s
            self._value = daemon_row_values.encode(self._incarnation, term_s)
            own = self._peers.own_address
            if isinstance(await self._store.put(DAEMONS_TABLE, own, self._value), Ok):
                self._renewal_s = renewal_s
                return
            await asyncio.sleep(pauses.take_s(self._pause_limit_s()))

    def _pause_limit_s(self) -> float:
        factor = self._peers.table.fleet_size_factor
        return retry_pauses.limit_s(factor, TABLE_READ_INTERVAL_S * factor)

    async def _poll_table(self) -> None:
        pauses = retry_pauses.RetryPauses(RETRY_S, self._rng)
        while True:
            match await self._store.read(DAEMONS_TABLE):
                case Ok(rows):
                    pauses.reset()
                    self._apply(rows)
                    await self._remove_expired()
                    await self._wait_for_next_read()
                case Err(_):
                    self._rows.record_failure()
                    await asyncio.sleep(pauses.take_s(self._pause_limit_s()))

    async def _wait_for_next_read(self) -> None:
        """Wait a part of the interval, which grows as more daemons are heard.

        A daemon hears few at its first read, when a whole fleet starts.
        """
        start_s = self._clock()
        share_s = retry_pauses.spread_s(TABLE_READ_INTERVAL_S, self._rng)
        while True:
            end_s = start_s + share_s * self._peers.table.fleet_size_factor
            left_s = end_s - self._clock()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, GROWTH_CHECK_S))

    def _apply(self, rows: store_calls.Rows) -> None:
        found = tuple(
            daemon_rows.DaemonRow(
                ids.VmId(row.key), row.version, daemon_row_values.term_s(row.value)
            )
            for row in rows.rows
            if row.value is not None
        )
        own = self._peers.own_address
        if all(row.address != own for row in found):
            self._registration_due.set()
        heard = (own, *(peer.address for peer in self._peers.table.live))
        self._rows.record_read(rows.version.era, found, heard, self._clock())
        self._candidates.set_rows(self._rows.newest_first())
        self._dial_next()

    async def _dial(self) -> None:
        while True:
            await asyncio.sleep(DIAL_INTERVAL_S)
            self._dial_next()

    def _dial_next(self) -> None:
        self._peers.dial(self._candidates.take_turn(self._clock()))

    async def _remove_expired(self) -> None:
        """Remove expired rows, unless that is the part of another daemon."""
        staying = (
            peer.address for peer in self._peers.table.live if not peer.is_leaving
        )
        if self._is_leaving or not daemon_rows.is_remover(
            self._peers.own_address, staying
        ):
            return
        rows = iter(self._rows.expired())
        while batch := tuple(itertools.islice(rows, store_calls.REMOVALS_MAX)):
            versions = [(row.address, row.version) for row in batch]
            if isinstance(await self._store.remove(DAEMONS_TABLE, versions), Err):
                # The next read shows which rows are left.
                return
            self._counts.count("daemon_rows_removed", len(batch))
            await asyncio.sleep(REMOVAL_PAUSE_S)

    async def _remove_own_row(self) -> None:
        """Remove the own row, but not that of a later daemon in its place."""
        found = await self._store.read_row(DAEMONS_TABLE, self._peers.own_address)
        if isinstance(found, Err):
            return
        own = [
            (row.key, row.version)
            for row in found.ok_value.rows
            if row.value == self._value
        ]
        if own:
            await self._store.remove(DAEMONS_TABLE, own)
