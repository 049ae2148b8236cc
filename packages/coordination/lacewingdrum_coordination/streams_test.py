"""Property tests of the assembly of a streamed answer."""

from hypothesis import given, settings, strategies as st

from lacewingdrum_coordination import streams
from lacewingdrum_state import ids

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=400)
TOKEN_COUNT = 12


def part(attempt, offset, count=1, end=False):
    text = "".join(f"{i} " for i in range(offset, offset + count))
    reason = "stop" if end else ""
    return streams.Part(ids.AttemptId(attempt), offset, count, text, reason)


def answer_of(attempt):
    return [part(attempt, i, 1, i == TOKEN_COUNT - 1) for i in range(TOKEN_COUNT)]


def foreign(offset):
    return streams.Part(ids.AttemptId("other"), offset, 1, "FOREIGN", "stop")


events = st.one_of(
    st.tuples(st.just("part"), st.integers(0, TOKEN_COUNT - 1)),
    st.tuples(st.just("former"), st.integers(0, TOKEN_COUNT - 1)),
    st.tuples(st.just("foreign"), st.integers(0, TOKEN_COUNT)),
    st.tuples(st.just("resume"), st.just(0)),
)


@FIXED
@given(st.lists(events, max_size=80))
def test_no_interleaving_passes_on_a_wrong_or_gapped_answer(script):
    number = 1
    stream = streams.begin(ids.AttemptId("a1"))
    passed = []
    for name, offset in script:
        if name == "resume":
            number += 1
            stream = streams.resume(stream, ids.AttemptId(f"a{number}"))
            continue
        attempt = f"a{number}" if name == "part" else f"a{number - 1}"
        found = foreign(offset) if name == "foreign" else answer_of(attempt)[offset]
        stream, now, _ = streams.take(stream, found)
        passed.extend(now)
        assert [p.offset for p in passed] == list(range(len(passed)))
        assert all(p.text == f"{p.offset} " for p in passed)
        assert stream.is_whole == (len(passed) == TOKEN_COUNT)


@FIXED
@given(st.permutations(range(TOKEN_COUNT)), st.data())
def test_reordered_and_repeated_parts_give_the_whole_answer(order, data):
    repeats = data.draw(st.lists(st.sampled_from(range(TOKEN_COUNT))))
    stream = streams.begin(ids.AttemptId("a1"))
    text = ""
    for offset in [*repeats, *order]:
        stream, now, _ = streams.take(stream, answer_of("a1")[offset])
        text += "".join(p.text for p in now)
    assert stream.is_whole
    assert text == "".join(p.text for p in answer_of("a1"))


def test_a_cut_stream_is_not_whole():
    stream = streams.begin(ids.AttemptId("a1"))
    for found in answer_of("a1")[:-1]:
        stream, _, _ = streams.take(stream, found)
    assert not stream.is_whole


def test_early_parts_are_bounded():
    stream = streams.begin(ids.AttemptId("a1"))
    for offset in range(1, streams.MAX_EARLY_PARTS + 10):
        stream, _, _ = streams.take(stream, part("a1", offset))
    assert len(stream.early) == streams.MAX_EARLY_PARTS
