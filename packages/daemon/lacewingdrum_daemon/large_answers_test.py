"""Tests of answers that do not fit into their rows."""

import asyncio

from result import Err, Ok

from lacewingdrum_coordination import orders
from lacewingdrum_daemon import large_answers
from lacewingdrum_state import ids, orders as order_rows
from lacewingdrum_transport import objects_client

ATTEMPT = ids.AttemptId("req.1")
DOWN = Err(objects_client.ObjectsError(objects_client.ObjectsErrorReason.UNKNOWN, ""))
LARGE = order_rows.OrderAnswer(
    200, "text/plain", b"x" * (orders.MAX_STORED_ANSWER_BYTES + 1)
)
SMALL = order_rows.OrderAnswer(200, "text/plain", b"x")


class FakeObjects:
    def __init__(self, is_down=False):
        self.is_down = is_down
        self.objects = {}

    async def put(self, key, data):
        if self.is_down:
            return DOWN
        self.objects[key] = data
        return Ok(None)

    async def get(self, key):
        return DOWN if self.is_down else Ok(self.objects[key])


def test_a_large_answer_comes_back_whole():
    async def main():
        keeper = large_answers.LargeAnswerStore(FakeObjects())
        stored = await keeper.put(ATTEMPT, LARGE)
        assert stored.body == b"" and stored.object_key
        assert (await keeper.get(stored)).body == LARGE.body

    asyncio.run(main())


def test_a_small_answer_stays_in_its_row():
    async def main():
        objects = FakeObjects()
        keeper = large_answers.LargeAnswerStore(objects)
        assert await keeper.put(ATTEMPT, SMALL) is SMALL
        assert await keeper.get(SMALL) is SMALL
        assert objects.objects == {}

    asyncio.run(main())


def test_with_the_store_down_nothing_is_passed_off_as_the_answer():
    async def main():
        objects = FakeObjects()
        keeper = large_answers.LargeAnswerStore(objects)
        stored = await keeper.put(ATTEMPT, LARGE)
        objects.is_down = True
        assert await keeper.get(stored) is None
        assert await keeper.put(ATTEMPT, LARGE) is LARGE

    asyncio.run(main())
