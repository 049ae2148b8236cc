"""Tests of what a daemon still begins during a planned stop."""

from lacewingdrum_coordination import stop_admission
from lacewingdrum_coordination.route_table_test import route
from lacewingdrum_state import configurations

STREAM = configurations.RouteKind.STREAM
READ = configurations.RouteKind.IDEMPOTENT
ORDER = configurations.RouteKind.NON_IDEMPOTENT
BEGIN_S = 100.0
ABORT_S = 107.5
STOP = stop_admission.StopAdmission(BEGIN_S, ABORT_S)


def may_begin(kind, after_s, left_s, is_resumable=False):
    now_s = BEGIN_S + after_s
    of_kind = route("/x/", kind=kind, is_resumable=is_resumable)
    return STOP.may_begin(of_kind, now_s + left_s, now_s)


def test_requests_that_end_before_the_stop_begin_until_its_end():
    for kind in (STREAM, READ, ORDER):
        assert may_begin(kind, 7.0, 0.3)


def test_order_begins_only_if_its_deadline_is_before_the_end():
    assert may_begin(ORDER, 0.0, 7.3)
    assert not may_begin(ORDER, 0.0, 7.5)
    assert may_begin(ORDER, 5.4, 2.0)
    assert not may_begin(ORDER, 5.6, 2.0)


def test_read_begins_beyond_its_deadline_while_it_is_likely_to_end():
    assert may_begin(READ, 6.2, 4.0)
    assert not may_begin(READ, 6.4, 4.0)


def test_long_stream_begins_early_in_a_stop_and_only_if_it_may_be_repeated():
    assert may_begin(STREAM, 2.9, 10.0, is_resumable=True)
    assert not may_begin(STREAM, 3.1, 10.0, is_resumable=True)
    assert not may_begin(STREAM, 0.1, 10.0)


def test_long_stream_does_not_begin_late_in_a_long_stop():
    long_stop = stop_admission.StopAdmission(BEGIN_S, BEGIN_S + 30.0)
    of_kind = route("/x/", kind=STREAM, is_resumable=True)
    assert long_stop.may_begin(of_kind, BEGIN_S + 33.0, BEGIN_S + 2.9)
    assert not long_stop.may_begin(of_kind, BEGIN_S + 33.0, BEGIN_S + 3.1)
    assert long_stop.may_begin(of_kind, BEGIN_S + 25.0, BEGIN_S + 15.0)


def test_answer_to_a_stream_does_not_begin_just_before_it_would_be_broken_off():
    stream = route("/x/", kind=STREAM)
    assert STOP.may_answer(stream, ABORT_S + 1.0, ABORT_S - 0.3)
    assert not STOP.may_answer(stream, ABORT_S + 1.0, ABORT_S - 0.2)
    assert STOP.may_answer(stream, ABORT_S - 0.1, ABORT_S - 0.2)
    assert STOP.may_answer(route("/x/", kind=READ), ABORT_S + 1.0, ABORT_S - 0.2)
