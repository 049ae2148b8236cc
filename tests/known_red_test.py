"""Tests of how tests listed in KNOWN-RED.txt are shown."""

from tests import __main__ as runner

LISTED = """test: a.always
command: python -m tests --only always
seen: fails

test: b.sometimes
fails: sometimes
seen: fails in one run of seven
"""


def test_only_a_listed_test_that_always_failed_is_to_be_unlisted_when_it_passes():
    listed = runner.parse_known_red(LISTED)
    shown = {name: runner.known_red_status(listed[name], False) for name in listed}
    assert shown == {
        "a.always": "passes now: unlist it",
        "b.sometimes": "passed this time, fails sometimes",
    }


def test_a_listed_test_that_fails_is_passed_over():
    for listed in runner.KnownRed:
        assert runner.known_red_status(listed, True) == "failed, passed over"
