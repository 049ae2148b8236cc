"""The durable record of a non-idempotent order."""

import dataclasses

from lacewingdrum_state import ids, states


@dataclasses.dataclass(frozen=True, slots=True)
class OrderId:
    """What makes an order the same order: who asked, where, which key."""

    service: ids.ServiceName
    customer: ids.CustomerId
    key: ids.IdempotencyKey


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The runner's answer to an order, as repeats see it.

    A body too large for the row lies in the object store under
    ``object_key``; ``body`` is empty then.
    """

    status: int
    content_type: str
    body: bytes
    object_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRow:
    """One row of the orders table.

    ``fingerprint`` is the SHA-256 of method, path and body, in hex, so that
    a key used again for another order is found out.
    """

    order_id: OrderId
    state: states.OrderState
    attempt_id: ids.AttemptId
    fingerprint: str
    answer: OrderAnswer | None = None
