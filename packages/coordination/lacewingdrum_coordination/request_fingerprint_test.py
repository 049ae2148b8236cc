"""Tests of what makes two requests the same."""

from lacewingdrum_coordination import request_fingerprint


def fingerprint(**changes):
    request = {
        "method": "POST",
        "host": "a.example",
        "target": "/read/x?q=1",
        "customer": "alice",
        "body": b"x" * 1_000_000,
    }
    return request_fingerprint.compute(**{**request, **changes})


def test_requests_that_differ_in_one_thing_have_different_fingerprints():
    changes = (
        {},
        {"method": "GET"},
        {"host": "b.example"},
        {"target": "/read/x?q=2"},
        {"target": "/read/x"},
        {"customer": "bob"},
        {"body": b"x" * 999_999 + b"y"},
        {"body": b""},
    )
    assert len({fingerprint(**change) for change in changes}) == len(changes)


def test_fingerprint_does_not_depend_on_the_case_of_the_host():
    assert fingerprint() == fingerprint(host="A.Example")


def test_parts_of_a_fingerprint_are_not_taken_for_each_other():
    one = fingerprint(target="/read", customer="alice", body=b"\nx")
    assert one != fingerprint(target="/read", customer="alice\n", body=b"x")
