"""The durable record of a non-idempotent order."""

import dataclasses

from lacewingdrum_state import ids, states


@dataclasses.dataclass(frozen=True, slots=True)
class OrderId:
    """Identifies an order: two requests with equal ids are the same order."""

    service: ids.ServiceName
    customer: ids.CustomerId
    key: ids.IdempotencyKey


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The runner's answer to an order, returned again to retries.

    A body that is too large for the row is in the object store under
    ``object_key``, and ``body`` is empty.
    """

    status: int
    content_type: str
    body: bytes
    object_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRow:
    """One row of the orders table.

    ``fingerprint`` is the hex SHA-256 digest of method, path and body. It
    detects a key that is reused for a different order.
    """

    order_id: OrderId
    state: states.OrderState
    attempt_id: ids.AttemptId
    fingerprint: str
    answer: OrderAnswer | None = None
