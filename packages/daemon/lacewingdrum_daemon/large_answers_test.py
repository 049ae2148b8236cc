"""Tests of storing answers that do not fit into their rows."""

import asyncio

from result import Err, Ok

from lacewingdrum_coordination import orders
from lacewingdrum_daemon import large_answers
from lacewingdrum_state import ids, orders as order_rows
from lacewingdrum_transport import objects_client

ATTEMPT = ids.AttemptId("req.1")
STORE_ERROR = Err(
    objects_client.ObjectsError(objects_client.ObjectsErrorReason.UNKNOWN, "")
)
LARGE_ANSWER = order_rows.OrderAnswer(
    200, "text/plain", b"x" * (orders.MAX_STORED_ANSWER_BYTES + 1)
)
SMALL_ANSWER = order_rows.OrderAnswer(200, "text/plain", b"x")


class FakeObjects:
    def __init__(self, is_down=False):
        self.is_down = is_down
        self.objects = {}

    async def put(self, key, data):
        if self.is_down:
            return STORE_ERROR
        self.objects[key] = data
        return Ok(None)

    async def get(self, key):
        return STORE_ERROR if self.is_down else Ok(self.objects[key])


def test_large_answer_is_stored_as_an_object_and_read_back():
    async def main():
        store = large_answers.LargeAnswerStore(FakeObjects())
        stored = await store.put(ATTEMPT, LARGE_ANSWER)
        assert stored.body == b"" and stored.object_key
        assert (await store.get(stored)).body == LARGE_ANSWER.body

    asyncio.run(main())


def test_small_answer_stays_in_its_row():
    async def main():
        objects = FakeObjects()
        store = large_answers.LargeAnswerStore(objects)
        assert await store.put(ATTEMPT, SMALL_ANSWER) is SMALL_ANSWER
        assert await store.get(SMALL_ANSWER) is SMALL_ANSWER
        assert objects.objects == {}

    asyncio.run(main())


def test_unavailable_store_returns_no_answer_and_leaves_a_new_one_unchanged():
    async def main():
        objects = FakeObjects()
        store = large_answers.LargeAnswerStore(objects)
        stored = await store.put(ATTEMPT, LARGE_ANSWER)
        objects.is_down = True
        assert await store.get(stored) is None
        assert await store.put(ATTEMPT, LARGE_ANSWER) is LARGE_ANSWER

    asyncio.run(main())
