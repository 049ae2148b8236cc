"""Runs test functions: ``python -m tests [PATH ...] [--only NAME]``.

Tests listed in KNOWN-RED.txt run and are printed, whether they fail or pass,
but do not affect the exit code. An entry with the line ``fails: sometimes`` is
not said to be mended when it passes. The last line counts the tests.
"""

import argparse
import enum
import sys
import unittest

from tests import collection

KNOWN_RED = collection.ROOT / "KNOWN-RED.txt"
_SOMETIMES_LINE = "fails: sometimes"


class KnownRed(enum.Enum):
    """How often a test that is listed as failing does fail."""

    ALWAYS = "always"
    SOMETIMES = "sometimes"


def parse_known_red(text: str) -> dict[str, KnownRed]:
    """Return the tests that are listed as failing for a real fault.

    Args:
        text: the content of KNOWN-RED.txt.

    Returns:
        How often each listed test fails, by its id.
    """
    entries: dict[str, KnownRed] = {}
    test_id = ""
    for line in text.splitlines():
        if line.startswith("test: "):
            test_id = line.removeprefix("test: ").strip()
            entries[test_id] = KnownRed.ALWAYS
        elif line.strip() == _SOMETIMES_LINE and test_id:
            entries[test_id] = KnownRed.SOMETIMES
    return entries


def known_red_status(listed: KnownRed, has_failed: bool) -> str:
    """Return what is printed of a listed test after its run."""
    if has_failed:
        return "failed, passed over"
    if listed is KnownRed.SOMETIMES:
        return "passed this time, fails sometimes"
    return "passes now: unlist it"


def select(paths: list[str], only: str) -> unittest.TestSuite:
    """Collect the tests below ``paths`` whose id contains ``only``."""
    folders = tuple(paths) or collection.TEST_FOLDERS
    suite = unittest.TestSuite()
    for path in collection.test_files(folders):
        module = collection.load_module(path)
        for test in _flat(collection.module_suite(module)):
            if only in test.id():
                suite.addTest(test)
    return suite


def main() -> int:
    """Return 0 if no test failed except those in KNOWN-RED.txt."""
    parser = argparse.ArgumentParser(prog="python -m tests")
    parser.add_argument("paths", nargs="*", help="files or folders")
    parser.add_argument("--only", default="", help="part of a test's id")
    arguments = parser.parse_args()
    suite = select(arguments.paths, arguments.only)
    ran_ids = {test.id() for test in _flat(suite)}
    result = unittest.TextTestRunner(stream=sys.stdout).run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    listed = parse_known_red(KNOWN_RED.read_text() if KNOWN_RED.exists() else "")
    for name in sorted(listed.keys() & ran_ids):
        print(f"KNOWN-RED {name}: {known_red_status(listed[name], name in failed)}")
    unlisted = failed - listed.keys()
    print(f"{result.testsRun - len(failed)} passed, {len(unlisted)} failed")
    return 1 if unlisted else 0


def _flat(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    return list(suite)  # type: ignore[arg-type]


if __name__ == "__main__":
    sys.exit(main())
