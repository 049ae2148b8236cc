"""Runs test functions: ``python -m tests [PATH ...] [--only NAME]``.

Tests listed in KNOWN-RED.txt run and are printed, whether they fail or pass,
but do not affect the exit code. The last line counts the tests.
"""

import argparse
import sys
import unittest

from tests import collection

KNOWN_RED = collection.ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the ids of tests that are listed as failing for a real fault."""
    if not KNOWN_RED.exists():
        return set()
    entries = set()
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("test: "):
            entries.add(line.removeprefix("test: ").strip())
    return entries


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
    listed = known_red()
    for name in sorted(listed & ran_ids):
        status = "failed, passed over" if name in failed else "passes now: unlist it"
        print(f"KNOWN-RED {name}: {status}")
    unlisted = failed - listed
    print(f"{result.testsRun - len(failed)} passed, {len(unlisted)} failed")
    return 1 if unlisted else 0


def _flat(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    return list(suite)  # type: ignore[arg-type]


if __name__ == "__main__":
    sys.exit(main())
