"""Registers this daemon in the platform's store and finds others there.

Each daemon writes a row under its peer address. The row is written again if
the store has lost it, which happens when the store returns from an older copy.
"""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_coordination import daemon_rows
from lacewingdrum_gateway import store_client
from lacewingdrum_gateway.peers import candidate_addresses, peering
from lacewingdrum_platform import store_calls
from lacewingdrum_protocol import daemon_row_values
from lacewingdrum_runtime import tasks
from lacewingdrum_state import ids

DAEMONS_TABLE = "daemons"
TABLE_READ_INTERVAL_S = 10.0
RETRY_S = 0.7
DIAL_INTERVAL_S = 1.0


class DaemonRegistry:
    """Keeps the row of this daemon and reads those of the others.

    Args:
        store: the platform's store.
        peers: learns the addresses that are found.
        incarnation: the value of the row.
        clock: the time of the peer table.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        peers: peering.Peering,
        incarnation: int,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._peers = peers
        self._value = str(incarnation).encode("ascii")
        self._clock = clock
        self._registration_due = asyncio.Event()
        self._rows = daemon_rows.DaemonRows()
        self._candidates = candidate_addresses.CandidateAddresses(peers.table)
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Begin to write the row and to read the table."""
        self._store.on_new_era(self._registration_due.set)
        self._registration_due.set()
        self._tasks.spawn_loop(self._register)
        self._tasks.spawn_loop(self._poll_table)
        self._tasks.spawn_loop(self._dial)

    async def close(self) -> None:
        """Stop writing and reading; the row stays."""
        await self._tasks.close()

    async def _register(self) -> None:
        """Write the row whenever it is due."""
        while True:
            await self._registration_due.wait()
            self._registration_due.clear()
            written = await self._store.put(
                DAEMONS_TABLE, self._peers.own_address, self._value
            )
            if isinstance(written, Err):
                self._registration_due.set()
                await asyncio.sleep(RETRY_S * self._peers.table.fleet_size_factor)

    async def _poll_table(self) -> None:
        while True:
            rows = await self._store.read(DAEMONS_TABLE)
            if isinstance(rows, Ok):
                self._apply(rows.ok_value)
            wait_s = TABLE_READ_INTERVAL_S if isinstance(rows, Ok) else RETRY_S
            await asyncio.sleep(wait_s * self._peers.table.fleet_size_factor)

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

    async def _dial(self) -> None:
        while True:
            self._peers.dial(self._candidates.take_turn(self._clock()))
            await asyncio.sleep(DIAL_INTERVAL_S)
