"""Whole-system runs and the collection of all test functions."""

from tests.collection import load_tests

__all__ = ["load_tests"]
