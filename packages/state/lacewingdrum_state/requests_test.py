"""Tests of request types."""

from lacewingdrum_state import requests, states


def test_length_class_changes_just_above_each_bound():
    assert requests.length_class(4_000) is states.LengthClass.SHORT
    assert requests.length_class(4_001) is states.LengthClass.MID
    assert requests.length_class(100_000) is states.LengthClass.MID
    assert requests.length_class(100_001) is states.LengthClass.LONG
