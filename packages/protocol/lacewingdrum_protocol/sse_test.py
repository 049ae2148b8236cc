"""Tests of the parsing of server-sent events."""

import hypothesis
from hypothesis import strategies

from lacewingdrum_protocol import sse


def test_events_are_parsed_for_any_chunk_size_and_line_ending():
    events = [b"one", b"", b"two\nlines", b"[DONE]", b'{"a": 1}']
    for end in (b"\n", b"\r\n", b"\r"):
        wire = b"".join(sse.encode(event) for event in events).replace(b"\n", end)
        for size in range(1, len(wire) + 1):
            parser = sse.SseParser()
            found = []
            for at in range(0, len(wire), size):
                found += parser.feed(wire[at : at + size])
            # A bare carriage return ends a line only when more data follows.
            found += parser.feed(b": end")
            assert found == events


def test_other_fields_and_comments_are_skipped():
    parser = sse.SseParser()
    assert parser.feed(b": hi\nevent: x\nid: 1\ndata:a\ndata: b\n\n\n\n") == [b"a\nb"]
    assert parser.feed(b"data: cut") == []
    assert parser.has_partial_event


def test_event_over_the_limit_raises_an_error():
    parser = sse.SseParser(max_event_bytes=100)
    failed = False
    try:
        for _ in range(20):
            parser.feed(b"data: 0123456789\n")
    except sse.SseError:
        failed = True
    assert failed


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(strategies.lists(strategies.binary(max_size=50), max_size=8))
def check_chunked_parse_equals_whole_parse(pieces):
    parser = sse.SseParser()
    split = [event for piece in pieces for event in parser.feed(piece)]
    whole = sse.SseParser().feed(b"".join(pieces))
    assert split == whole


def test_arbitrary_bytes_parse_the_same_for_any_chunk_boundaries():
    check_chunked_parse_equals_whole_parse()
