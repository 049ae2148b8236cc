from hypothesis import given, strategies

from lacewingdrum_protocol import event_stream

WHOLE = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def test_events_pass_on_only_when_whole():
    stream = event_stream.EventStream()
    assert stream.feed(b"id: 1\nda") == b""
    assert stream.feed(b"ta: a\n\nid: 2") == b"id: 1\ndata: a\n\n"
    assert stream.last_event_id == "1" and stream.partial_event == b"id: 2"
    stream.discard_partial_event()
    assert stream.feed(b"id: 2\r\ndata: b\r\n\r\n").endswith(b"\r\n\r\n")
    assert stream.last_event_id == "2" and stream.event_count == 2


def test_first_line_of_another_name_is_no_id():
    stream = event_stream.EventStream("7")
    stream.feed(b"weight-versions: 3\ndata: id: 9\n\n")
    assert stream.last_event_id == "7"
    stream.feed(b"weight-versions: 3\nid: 8\ndata: x\n\n")
    assert stream.last_event_id == "8"


def test_event_without_end_is_bounded():
    stream = event_stream.EventStream()
    stream.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
    assert stream.is_event_too_large


@given(strategies.lists(strategies.integers(0, len(WHOLE)), max_size=6))
def test_cuts_anywhere_change_nothing(cuts):
    stream = event_stream.EventStream()
    places = [0, *sorted(cuts), len(WHOLE)]
    passed = b"".join(
        stream.feed(WHOLE[start:end])
        for start, end in zip(places, places[1:], strict=False)
    )
    assert passed == WHOLE and stream.last_event_id == "2" and not stream.partial_event
