"""Tests of the splitting of event streams."""

from hypothesis import given, strategies

from lacewingdrum_protocol import event_sequence, event_stream
from standins import loop_turns

PIECE_BYTES = 512
WHOLE = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def feed_all(data: bytes) -> event_stream.EventStream:
    """Return a stream that has received these bytes in pieces."""
    stream = event_stream.EventStream()
    for start in range(0, len(data), PIECE_BYTES):
        stream.feed(data[start : start + PIECE_BYTES])
    return stream


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
    # They preceded the events of another runner.
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


def test_event_in_small_pieces_takes_time_in_proportion_to_its_size(ticks):
    def worked_ms(piece_count: int) -> float:
        stream = event_stream.EventStream()
        ticks.take_ms()
        for _ in range(piece_count):
            stream.feed(b"x" * 100)
        return ticks.take_ms()

    assert worked_ms(40_000) < 12 * worked_ms(5_000) + 50


def test_end_of_an_event_of_megabytes_does_not_take_long(ticks):
    # All lines of the event were matched at once, for up to 0.2 s.
    size_bytes = 8_000_000
    for lines in (b"data: " + b"x" * size_bytes + b"\n", b"data: x\n" * 1_000_000):
        event = b"id: 1\n" + lines + b"\n"
        stream = event_stream.EventStream()
        for start in range(0, len(event), PIECE_BYTES):
            ticks.take_ms()
            complete = stream.feed(event[start : start + PIECE_BYTES])
            assert ticks.take_ms() < loop_turns.TURN_MAX_MS
        assert complete == event and stream.last_event_id == "1"


def test_large_events_are_judged_like_small_ones():
    large = b"data: " + b"x" * 40_000 + b"\n"
    for lines in (large * 3, b": ping\n" * 9_000, b"a-field: 1\n" * 4_000):
        for whole in (b"id: 3\n" + large, lines + b"data: a\nid: 3\n"):
            stream = feed_all(whole + b"\n")
            assert stream.last_event_id == "3" and stream.event_count == 1
        stream = feed_all(lines + b"data: a\nid: 3\nid: 4\n\n")
        assert stream.fault is event_sequence.StreamFault.FOREIGN
    assert feed_all(large + b"field: late\n" + large).fault is not None
    assert feed_all(b"id: " + b"3" * 40_000).fault is not None
    assert feed_all(b"name" * 10_000 + b"\n\n").fault is not None
    assert feed_all(b": ping\n" * 9_000 + b"\n").event_count == 0


@given(strategies.lists(strategies.integers(0, len(WHOLE)), max_size=6))
def test_events_are_the_same_for_any_chunk_boundaries(boundaries):
    stream = event_stream.EventStream()
    offsets = [0, *sorted(boundaries), len(WHOLE)]
    passed = b"".join(
        stream.feed(WHOLE[start:end])
        for start, end in zip(offsets, offsets[1:], strict=False)
    )
    assert passed == WHOLE and stream.last_event_id == "2" and not stream.partial_event
