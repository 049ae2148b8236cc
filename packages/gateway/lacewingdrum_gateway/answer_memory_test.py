from lacewingdrum_gateway import answer_memory

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
