"""Tests of the splitting of event streams."""

import time

from hypothesis import given, strategies

from lacewingdrum_protocol import event_stream

WHOLE = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def test_only_complete_events_are_returned():
    stream = event_stream.EventStream()
    assert stream.feed(b"id: 1\nda") == b""
    assert stream.feed(b"ta: a\n\nid: 2") == b"id: 1\ndata: a\n\n"
    assert stream.last_event_id == "1" and stream.partial_event == b"id: 2"
    stream = stream.next_run()
    assert stream.feed(b"id: 2\r\ndata: b\r\n\r\n").endswith(b"\r\n\r\n")
    assert stream.last_event_id == "2" and stream.event_count == 2


def test_event_id_is_taken_only_from_an_id_field():
    stream = event_stream.EventStream("7")
    stream.feed(b"weight-versions: 3\nid: 8\ndata: x\n\n")
    assert stream.last_event_id == "8"
    stream.feed(b"weight-versions: 3\ndata: id: 9\n\n")
    assert stream.last_event_id == "8" and stream.event_count == 2


def test_only_fields_without_an_empty_line_after_them_are_inside_an_event():
    for rest in (b"id: 2", b"id: 2\n", b"id: 2\r\n\r", b": ping\nda"):
        stream = event_stream.EventStream()
        stream.feed(WHOLE + rest)
        assert stream.is_inside_event
    for rest in (b"", b"\n", b": ping", b": ping\n", b"\r\n: ping\r\n"):
        stream = event_stream.EventStream()
        stream.feed(WHOLE + rest)
        assert not stream.is_inside_event


def test_lines_that_are_no_event_are_returned_with_the_event_after_them():
    stream = event_stream.EventStream()
    assert stream.feed(b"\n\n: ping\n\n") == b""
    assert stream.feed(b"\n") == b"" and not stream.is_inside_event
    assert stream.partial_event == b"\n\n: ping\n\n\n"
    assert stream.feed(WHOLE + b": ping\n\n") == b"\n\n: ping\n\n\n" + WHOLE
    assert stream.partial_event == b": ping\n\n" and stream.event_count == 2
    assert stream.feed(b"id: 3") == b"" and stream.is_inside_event
    assert stream.feed(b"\n\n") == b": ping\n\nid: 3\n\n"


def test_bytes_of_an_incomplete_event_are_counted():
    stream = event_stream.EventStream()
    stream.feed(WHOLE + b"x" * 100)
    stream.feed(b"x" * 100)
    assert stream.partial_bytes == len(stream.partial_event) == 200


def test_event_in_small_pieces_takes_time_in_proportion_to_its_size():
    def elapsed_s(piece_count: int) -> float:
        stream = event_stream.EventStream()
        start_s = time.process_time()
        for _ in range(piece_count):
            stream.feed(b"x" * 100)
        return time.process_time() - start_s

    assert elapsed_s(40_000) < 12 * elapsed_s(5_000) + 0.05


@given(strategies.lists(strategies.integers(0, len(WHOLE)), max_size=6))
def test_events_are_the_same_for_any_chunk_boundaries(boundaries):
    stream = event_stream.EventStream()
    offsets = [0, *sorted(boundaries), len(WHOLE)]
    passed = b"".join(
        stream.feed(WHOLE[start:end])
        for start, end in zip(offsets, offsets[1:], strict=False)
    )
    assert passed == WHOLE and stream.last_event_id == "2" and not stream.partial_event
