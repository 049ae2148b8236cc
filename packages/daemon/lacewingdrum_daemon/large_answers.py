"""Keeps orders' answers that are too large for their rows.

They go to the platform's object store before the row is recorded, so that a
row never names an object that is not there.
"""

import dataclasses
from typing import Protocol

from result import Err, Result

from lacewingdrum_coordination import orders
from lacewingdrum_state import ids, orders as order_rows
from lacewingdrum_transport import objects_client

KEY_PREFIX = "order-answers/"


class Objects(Protocol):
    """The calls of ``objects_client.ObjectsClient`` that are made here."""

    async def put(
        self, key: str, data: bytes
    ) -> Result[None, objects_client.ObjectsError]:
        """Store an object."""

    async def get(self, key: str) -> Result[bytes, objects_client.ObjectsError]:
        """Read an object."""


class LargeAnswerStore:
    """Moves large bodies out of rows and back.

    Args:
        objects: the object store.
    """

    def __init__(self, objects: Objects) -> None:
        self._objects = objects

    async def put(
        self, attempt_id: ids.AttemptId, answer: order_rows.OrderAnswer
    ) -> order_rows.OrderAnswer:
        """Make an answer fit into its row.

        Args:
            attempt_id: names the object.
            answer: as the runner gave it.

        Returns:
            The answer without its body once that is stored; as it was where
            it is small, or where the store does not take it.
        """
        if len(answer.body) <= orders.MAX_STORED_ANSWER_BYTES:
            return answer
        key = KEY_PREFIX + attempt_id
        stored = await self._objects.put(key, answer.body)
        if isinstance(stored, Err):
            return answer
        return dataclasses.replace(answer, body=b"", object_key=key)

    async def get(
        self, answer: order_rows.OrderAnswer
    ) -> order_rows.OrderAnswer | None:
        """Bring an answer's body back.

        Args:
            answer: as its row has it.

        Returns:
            The whole answer; ``None`` where its body cannot be read now.
        """
        if not answer.object_key:
            return answer
        body = await self._objects.get(answer.object_key)
        if isinstance(body, Err):
            return None
        return dataclasses.replace(answer, body=body.ok_value)
