"""Registers this daemon in the platform's store and finds others there.

Each daemon writes a row under its peer address. The row is written again if
the store has lost it, which happens when the store returns from an older copy.
"""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from lacewingdrum_gateway import store_client
from lacewingdrum_gateway.peers import peering
from lacewingdrum_runtime import tasks
from lacewingdrum_state import ids

DAEMONS_TABLE = "daemons"
TABLE_READ_INTERVAL_S = 10.0
RETRY_S = 0.7


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
        self._tasks = tasks.TaskSet()

    def start(self) -> None:
        """Begin to write the row and to read the table."""
        self._store.on_new_era(self._registration_due.set)
        self._registration_due.set()
        self._tasks.spawn_loop(self._register)
        self._tasks.spawn_loop(self._poll_table)

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
                self._apply({row.key for row in rows.ok_value.rows})
            wait_s = TABLE_READ_INTERVAL_S if isinstance(rows, Ok) else RETRY_S
            await asyncio.sleep(wait_s * self._peers.table.fleet_size_factor)

    def _apply(self, addresses: set[str]) -> None:
        if self._peers.own_address not in addresses:
            self._registration_due.set()
        for address in sorted(addresses):
            if self._peers.table.may_retry(ids.VmId(address), self._clock()):
                self._peers.add_address(address)
