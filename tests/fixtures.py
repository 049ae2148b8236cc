"""Fixtures shared by test functions; see ``tests.collection``."""

import pathlib
import tempfile
from collections.abc import Iterator

from standins import loop_turns


def folder() -> Iterator[pathlib.Path]:
    """Yield an empty folder that is removed after the test."""
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def ticks() -> Iterator[loop_turns.WorkTicks]:
    """Yield a count of the time that the test works."""
    with loop_turns.work_ticks() as counted:
        yield counted
