"""Tests of the messages between callers and a daemon."""

from hypothesis import given, settings, strategies as st

from lacewingdrum_protocol import callers_api
from lacewingdrum_state import states

FIXED = settings(derandomize=True, deadline=None, database=None)


@FIXED
@given(st.binary(max_size=200))
def test_any_body_gives_a_request_or_a_typed_failure(body):
    parsed = callers_api.parse_completion(body)
    assert parsed.is_ok() or parsed.err().code is callers_api.ErrorCode.MALFORMED


def test_failure_for_max_tokens_out_of_bounds_names_the_key():
    body = b'{"model":"m","prompt":"p","max_tokens":0}'
    failure = callers_api.parse_completion(body).err()
    assert "max_tokens: found 0" in failure.message


def test_block_hashes_are_equal_up_to_the_first_different_block():
    first = b"a" * 4096
    second = b"a" * 2048 + b"b" * 2048
    ours = callers_api.block_hashes(first)
    theirs = callers_api.block_hashes(second)
    assert len(ours) == 4
    assert ours[:2] == theirs[:2]
    assert not set(ours[2:]) & set(theirs[2:])


def test_retry_after_is_whole_seconds_rounded_up():
    failure = callers_api.Failure(
        callers_api.ErrorCode.OVERLOADED, "busy", states.Ran.NO, 1_200
    )
    headers = dict(callers_api.failure_headers(failure, "r"))
    assert headers["Retry-After"] == "2"
    assert headers["Lacewingdrum-Ran"] == "no"


def test_every_code_has_a_status():
    assert set(callers_api.HTTP_STATUS_BY_CODE) == set(callers_api.ErrorCode)
