"""Tests of the decision whether an event goes on with a stream."""

import re

from hypothesis import given, strategies

from lacewingdrum_protocol import event_sequence, event_stream
from lacewingdrum_protocol.event_sequence import StreamFault

ERROR_HEAD = b"HTTP/1.1 500 Oops\r\ncontent-type: text/plain\r\n\r\n"


def events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece\n\n" % number for number in numbers)


FRAGMENTS = (
    b"id: 2",
    b"data: x",
    b"\n",
    b"\r",
    b"\r\n",
    b"\n\n",
    b": c",
    b"HTTP",
    events(2),
)


def run_after(*numbers: int) -> event_stream.EventStream:
    """Return the run that follows one which broke off after these events."""
    broken = event_stream.EventStream()
    broken.feed(events(*numbers))
    return broken.next_run()


def test_run_that_goes_on_after_the_last_event_is_passed_on():
    run = run_after(1, 2)
    assert run.feed(b": ping\n\n" + events(3, 4)) == b": ping\n\n" + events(3, 4)
    assert run.fault is None and (run.run_event_count, run.event_count) == (2, 4)


def test_run_that_does_not_go_on_after_the_last_event_is_not_joined():
    for data, fault in (
        (events(1, 2, 3), StreamFault.REPEATED),
        (events(2, 3), StreamFault.REPEATED),
        (events(4, 5), StreamFault.GAP),
        (b"data: piece\n\n", StreamFault.UNNUMBERED),
        (b"error: failed\n\n", StreamFault.UNNUMBERED),
        (b"id: x\ndata: piece\n\n", StreamFault.UNNUMBERED),
        (b"upstream failed\n\n", StreamFault.FOREIGN),
        (ERROR_HEAD, StreamFault.FOREIGN),
        (b"id: 3\ndata: pie" + ERROR_HEAD, StreamFault.FOREIGN),
        (b"id: 3\ndata: a\nid: 4\ndata: b\n\n", StreamFault.FOREIGN),
    ):
        run = run_after(1, 2)
        assert run.feed(data + events(3)) == b"" and run.fault is fault, data
        assert run.feed(events(3)) == b"" and run.last_event_id == "2"
        assert run.find_end_fault(True) is fault


def test_events_before_a_faulty_one_are_passed_on():
    for faulty in (events(3), events(1), ERROR_HEAD):
        run = run_after(1, 2)
        assert run.feed(events(3) + faulty + events(4)) == events(3)
        assert run.fault is not None


def test_numbers_with_gaps_need_only_rise():
    run = run_after(5, 9)
    assert run.feed(events(14, 15)) == events(14, 15)
    first = event_stream.EventStream()
    assert first.feed(events(1, 2, 5)) == events(1, 2, 5) and first.fault is None


def test_stream_is_not_resumable_after_an_event_without_a_number():
    run = event_stream.EventStream()
    run.feed(b": ping\n\n" + events(1))
    assert run.is_resumable
    run.feed(b"data: piece\n\n")
    assert run.fault is None and not run.is_resumable


def test_end_without_events_counts_if_it_is_stated_and_no_event_had_begun():
    assert run_after(1, 2).find_end_fault(True) is None
    before_events = StreamFault.ENDED_BEFORE_EVENTS
    assert run_after(1, 2).find_end_fault(False) is before_events
    assert event_stream.EventStream("2").find_end_fault(False) is before_events
    broken = event_stream.EventStream()
    broken.feed(events(1, 2) + b"id: 3")
    assert broken.find_end_fault(True) is StreamFault.ENDED_INSIDE_EVENT
    run = broken.next_run()
    assert run.find_end_fault(True) is before_events
    assert run.next_run().find_end_fault(True) is before_events
    run.feed(events(3))
    assert run.find_end_fault(False) is None
    assert run.next_run().find_end_fault(True) is None


def test_event_of_many_lines_takes_time_in_proportion_to_its_size(ticks):
    def worked_ms(line_count: int) -> float:
        block = b"data: x\n" * line_count + b"Bad\n\n"
        ticks.take_ms()
        position = event_sequence.start_after("")
        assert event_sequence.advance(position, block, True).is_err()
        return ticks.take_ms()

    assert worked_ms(80_000) < 12 * worked_ms(10_000) + 50


@given(strategies.lists(strategies.lists(strategies.integers(1, 6), max_size=5)))
def test_numbers_rise_and_no_join_leaves_one_out(runs):
    stream, passed = event_stream.EventStream(), []
    for numbers in runs:
        stream = stream.next_run()
        joined = stream.feed(events(*numbers))
        joined_numbers = [int(text) for text in re.findall(rb"id: (\d+)", joined)]
        had_no_gap = passed == list(range(1, len(passed) + 1))
        if passed and joined_numbers and had_no_gap:
            assert joined_numbers[0] == passed[-1] + 1
        passed += joined_numbers
    assert passed == sorted(set(passed)) and stream.event_count == len(passed)


@given(strategies.lists(strategies.sampled_from(FRAGMENTS), max_size=12))
def test_bytes_are_passed_on_unchanged_up_to_a_fault(fragments):
    data = b"".join(fragments)
    run, run_of_bytes = run_after(1), run_after(1)
    passed = run.feed(data)
    assert data.startswith(passed)
    single_bytes = (data[number : number + 1] for number in range(len(data)))
    assert passed == b"".join(map(run_of_bytes.feed, single_bytes))
    assert run.fault is run_of_bytes.fault
    assert run.fault is not None or passed + run.partial_event == data
