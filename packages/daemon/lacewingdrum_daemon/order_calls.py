"""Carries out orders: the driver of ``coordination.orders``."""

import typing
from collections.abc import Awaitable, Callable

from lacewingdrum_coordination import orders
from lacewingdrum_state import ids, orders as order_rows

if typing.TYPE_CHECKING:
    from lacewingdrum_transport import table_client

Sender = Callable[[], Awaitable[orders.SendOutcome]]


class OrderCalls:
    """Runs each order to its end, whether or not its caller waits."""

    def __init__(
        self, table: "table_client.TableClient", clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._clock = clock

    async def run(
        self,
        order_id: order_rows.OrderId,
        fingerprint: str,
        attempt_id: ids.AttemptId,
        deadline_s: float,
        send: Sender,
    ) -> orders.OrderResult:
        """Run one order; answers at the deadline at the latest."""
        raise NotImplementedError

    async def close(self, grace_s: float) -> None:
        """Wait for what is still to be recorded, then end."""
