"""Property tests of the assembly of a streamed answer."""

from hypothesis import given, settings, strategies as st

from lacewingdrum_coordination import streams
from lacewingdrum_state import ids

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=400)
TOKEN_COUNT = 12


def make_part(attempt_id, offset, count=1, end=False):
    text = "".join(f"{i} " for i in range(offset, offset + count))
    reason = "stop" if end else ""
    return streams.Part(ids.AttemptId(attempt_id), offset, count, text, reason)


def answer_of(attempt_id):
    return [
        make_part(attempt_id, i, 1, i == TOKEN_COUNT - 1) for i in range(TOKEN_COUNT)
    ]


def part_of_another_request(offset):
    return streams.Part(ids.AttemptId("other"), offset, 1, "FOREIGN", "stop")


events = st.one_of(
    st.tuples(st.just("part"), st.integers(0, TOKEN_COUNT - 1)),
    st.tuples(st.just("former"), st.integers(0, TOKEN_COUNT - 1)),
    st.tuples(st.just("foreign"), st.integers(0, TOKEN_COUNT)),
    st.tuples(st.just("resume"), st.just(0)),
)


@FIXED
@given(st.lists(events, max_size=80))
def test_passed_parts_are_in_order_and_without_gaps_for_any_interleaving(script):
    number = 1
    stream = streams.begin(ids.AttemptId("a1"))
    passed = []
    for name, offset in script:
        if name == "resume":
            number += 1
            stream = streams.resume(stream, ids.AttemptId(f"a{number}"))
            continue
        attempt_id = f"a{number}" if name == "part" else f"a{number - 1}"
        part = (
            part_of_another_request(offset)
            if name == "foreign"
            else answer_of(attempt_id)[offset]
        )
        stream, passed_now, _ = streams.add_part(stream, part)
        passed.extend(passed_now)
        assert [p.offset for p in passed] == list(range(len(passed)))
        assert all(p.text == f"{p.offset} " for p in passed)
        assert stream.is_complete == (len(passed) == TOKEN_COUNT)


@FIXED
@given(st.permutations(range(TOKEN_COUNT)), st.data())
def test_reordered_and_repeated_parts_give_the_complete_answer(order, data):
    repeats = data.draw(st.lists(st.sampled_from(range(TOKEN_COUNT))))
    stream = streams.begin(ids.AttemptId("a1"))
    text = ""
    for offset in [*repeats, *order]:
        stream, passed_now, _ = streams.add_part(stream, answer_of("a1")[offset])
        text += "".join(p.text for p in passed_now)
    assert stream.is_complete
    assert text == "".join(p.text for p in answer_of("a1"))


def test_a_stream_without_its_final_part_is_not_complete():
    stream = streams.begin(ids.AttemptId("a1"))
    for part in answer_of("a1")[:-1]:
        stream, _, _ = streams.add_part(stream, part)
    assert not stream.is_complete


def test_early_parts_are_bounded():
    stream = streams.begin(ids.AttemptId("a1"))
    for offset in range(1, streams.MAX_EARLY_PARTS + 10):
        stream, _, _ = streams.add_part(stream, make_part("a1", offset))
    assert len(stream.early) == streams.MAX_EARLY_PARTS
