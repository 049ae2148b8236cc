"""Collects test functions for unittest, with fixtures by parameter name.

Tests are plain functions ``test_*`` in ``*_test.py`` files. A parameter of
such a function names a fixture: a generator function of that name in the
test's own module or in ``tests.fixtures``. It yields the value and then cleans
up. Each coroutine function runs on an event loop of its own.
"""

import asyncio
import contextlib
import importlib.util
import inspect
import pathlib
import sys
import types
import unittest
from collections.abc import Callable, Iterator

from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEST_FOLDERS = ("packages", "platform", "standins", "tests")


def test_files(folders: tuple[str, ...] = TEST_FOLDERS) -> list[pathlib.Path]:
    """Find the test files in the given folders of the workspace.

    Args:
        folders: folders or files relative to the workspace root.

    Returns:
        Paths in a fixed order.
    """
    found: list[pathlib.Path] = []
    for folder in folders:
        path = ROOT / folder
        if path.is_file():
            found.append(path)
        else:
            found.extend(sorted(path.rglob("*_test.py")))
    return found


def load_module(path: pathlib.Path) -> types.ModuleType:
    """Import one test file under a module name derived from its path."""
    relative = path.relative_to(ROOT).with_suffix("")
    name = ".".join(relative.parts)
    spec = importlib.util.spec_from_file_location(name, path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


def _fixture(module: types.ModuleType, name: str) -> Callable[[], Iterator]:
    found = getattr(module, name, None) or getattr(fixtures, name, None)
    if found is None:
        raise LookupError(f"{module.__name__}: no fixture named {name!r}")
    return found


def _bind_fixtures(module: types.ModuleType, function: Callable) -> Callable[[], None]:
    names = tuple(inspect.signature(function).parameters)

    def run() -> None:
        with contextlib.ExitStack() as stack:
            values = {}
            for name in names:
                manager = contextlib.contextmanager(_fixture(module, name))
                values[name] = stack.enter_context(manager())
            outcome = function(**values)
            if inspect.iscoroutine(outcome):
                asyncio.run(outcome)

    run.__name__ = function.__name__
    run.__qualname__ = f"{module.__name__}.{function.__name__}"
    return run


class FunctionCase(unittest.FunctionTestCase):
    """A test case for one function, shown as ``module.function``."""

    def id(self) -> str:
        """Return the name that ``python -m tests --only`` matches."""
        return self._testFunc.__qualname__  # type: ignore[attr-defined]

    def __str__(self) -> str:
        return self.id()


def module_suite(module: types.ModuleType) -> unittest.TestSuite:
    """Build a suite of a module's test functions, in source order."""
    suite = unittest.TestSuite()
    for name, value in vars(module).items():
        if not name.startswith("test_") or not callable(value):
            continue
        if getattr(value, "__module__", None) != module.__name__:
            continue
        suite.addTest(FunctionCase(_bind_fixtures(module, value)))
    return suite


def load_tests(
    loader: unittest.TestLoader,
    standard_tests: unittest.TestSuite,
    pattern: str | None,
) -> unittest.TestSuite:
    """Return all test functions of the workspace to unittest's loader."""
    suite = unittest.TestSuite()
    for path in test_files():
        suite.addTest(module_suite(load_module(path)))
    return suite
