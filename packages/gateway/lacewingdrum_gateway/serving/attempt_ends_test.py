from lacewingdrum_gateway.serving import attempt_ends
from lacewingdrum_platform import headers
from lacewingdrum_state import states

NOT_EXECUTED = ("Not-Executed", "1")
REFUSED, UNKNOWN = states.AttemptState.REFUSED_BY_RUNNER, states.AttemptState.UNKNOWN
REFUSALS = ((503, NOT_EXECUTED), (429, NOT_EXECUTED), (421, ("At-Server", "x")))


def end_state(status, is_first, *fields):
    parsed = headers.parse_runner_headers(status, fields)
    end = attempt_ends.head_failure("a1", status, parsed, is_first)
    return end.state if end is not None else None


def test_refusal_without_an_id_is_believed_on_a_new_connection_only():
    for status, field in REFUSALS:
        assert end_state(status, True, field) is REFUSED, status
        assert end_state(status, False, field) is UNKNOWN, status


def test_refusal_is_believed_if_it_names_the_attempt_and_no_other():
    for status, field in REFUSALS:
        for is_first in (True, False):
            own = end_state(status, is_first, field, ("Attempt-Id", "a1"))
            other = end_state(status, is_first, field, ("Attempt-Id", "a2"))
            assert (own, other) == (REFUSED, UNKNOWN), (status, is_first)


def test_failure_without_an_id_is_passed_on_from_a_new_connection_only():
    assert end_state(500, True) is None and end_state(500, False) is UNKNOWN
