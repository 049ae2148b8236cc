import asyncio
import time

from result import Ok

from lacewingdrum_gateway.serving import answer_memory, attempt

ALWAYS = answer_memory.ALWAYS_HELD_BYTES


def test_small_answers_are_held_whatever_large_ones_occupy():
    memory = answer_memory.AnswerMemory(3 * ALWAYS)
    large = memory.hold()
    assert large.resize(3 * ALWAYS) and memory.held_bytes == 3 * ALWAYS
    assert memory.hold().resize(ALWAYS)
    assert not memory.hold().resize(ALWAYS + 1)


def test_memory_is_given_back_when_an_answer_shrinks_or_ends():
    memory = answer_memory.AnswerMemory(3 * ALWAYS)
    first, second = memory.hold(), memory.hold()
    assert first.resize(2 * ALWAYS) and not second.resize(2 * ALWAYS)
    assert first.resize(10) and memory.held_bytes == 0
    assert second.resize(2 * ALWAYS)
    second.close()
    second.close()
    assert memory.held_bytes == 0


def test_one_answer_has_a_limit_of_its_own():
    memory = answer_memory.AnswerMemory(4 * answer_memory.ANSWER_MAX_BYTES)
    held = memory.hold()
    assert held.resize(answer_memory.ANSWER_MAX_BYTES)
    assert not held.resize(answer_memory.ANSWER_MAX_BYTES + 1)
    assert memory.held_bytes == answer_memory.ANSWER_MAX_BYTES


def test_parts_occupy_more_than_their_bytes():
    memory = answer_memory.AnswerMemory(4 * answer_memory.ANSWER_MAX_BYTES)
    held = memory.hold()
    assert held.resize(2 * ALWAYS, part_count=100)
    assert memory.held_bytes == 2 * ALWAYS + 100 * answer_memory.PART_OVERHEAD_BYTES
    part_count = answer_memory.ANSWER_MAX_BYTES // answer_memory.PART_OVERHEAD_BYTES
    assert not held.resize(1, part_count)


class StalledFailure:
    """A failure whose body begins and does not go on."""

    status = 500
    headers = ()
    clock = staticmethod(time.monotonic)

    def __init__(self):
        self.parts = [b"x" * 2 * ALWAYS]

    async def read(self, timeout_s):
        if self.parts:
            return Ok(self.parts.pop())
        return await asyncio.sleep(timeout_s)

    async def close(self):
        pass


async def test_memory_is_given_back_when_the_caller_leaves_within_a_failure():
    memory = answer_memory.AnswerMemory(4 * ALWAYS)
    sender = attempt.AttemptSender(
        None, None, None, None, None, memory, time.monotonic, None, None
    )
    reading = asyncio.ensure_future(sender._read_failure(StalledFailure()))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert memory.held_bytes == 2 * ALWAYS
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    assert memory.held_bytes == 0
