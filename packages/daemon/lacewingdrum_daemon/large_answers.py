"""Stores order answers that are too large for their rows as objects.

An answer is written to the platform's object store before its row is
recorded, so that a row never refers to an object that does not exist.
"""

import dataclasses
from typing import Protocol

from result import Err, Result

from lacewingdrum_coordination import orders
from lacewingdrum_state import ids, orders as order_rows
from lacewingdrum_transport import objects_client

KEY_PREFIX = "order-answers/"


class Objects(Protocol):
    """The part of ``objects_client.ObjectsClient`` that is used here."""

    async def put(
        self, key: str, data: bytes
    ) -> Result[None, objects_client.ObjectsError]:
        """Store an object."""

    async def get(self, key: str) -> Result[bytes, objects_client.ObjectsError]:
        """Read an object."""


class LargeAnswerStore:
    """Moves the bodies of large answers to the object store and back.

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
            attempt_id: the id that the object is stored under.
            answer: the runner's answer.

        Returns:
            The answer with an object key in place of its body, or the
            unchanged answer if it is small or the object store fails.
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
        """Read an answer's body back.

        Args:
            answer: the answer from its row.

        Returns:
            The complete answer, or ``None`` if its body cannot be read now.
        """
        if not answer.object_key:
            return answer
        body = await self._objects.get(answer.object_key)
        if isinstance(body, Err):
            return None
        return dataclasses.replace(answer, body=body.ok_value)
