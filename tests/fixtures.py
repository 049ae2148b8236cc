"""Fixtures shared by test functions; see ``tests.collection``."""

import pathlib
import tempfile
from collections.abc import Iterator


def folder() -> Iterator[pathlib.Path]:
    """Yield an empty folder that is removed after the test."""
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)
