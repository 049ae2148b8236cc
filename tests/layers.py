"""Checks imports between layers, and that only the adapter has platform names.

``python -m tests.layers`` prints each offending line.
"""

import ast
import pathlib
import re
import sys

from tests import collection

ALLOWED: dict[str, set[str]] = {
    "lacewingdrum_state": set(),
    "lacewingdrum_coordination": {"lacewingdrum_state"},
    "lacewingdrum_protocol": {"lacewingdrum_coordination", "lacewingdrum_state"},
    "lacewingdrum_transport": {
        "lacewingdrum_protocol",
        "lacewingdrum_coordination",
        "lacewingdrum_state",
    },
}
ALLOWED["lacewingdrum_runtime"] = {"lacewingdrum_protocol", "lacewingdrum_state"}
ALLOWED["lacewingdrum_daemon"] = set(ALLOWED)
ALLOWED["lacewingdrum_cli"] = set(ALLOWED) - {"lacewingdrum_daemon"}
# The adapter translates names and formats. It may import types but no
# decision logic.
ALLOWED["lacewingdrum_platform"] = {"lacewingdrum_state"}
ALLOWED["lacewingdrum_gateway"] = set(ALLOWED) - {
    "lacewingdrum_cli",
    "lacewingdrum_daemon",
}
PLATFORM_WORDS = (
    "attempt-id",
    "deadline-ms",
    "expect-instance",
    "response-seal",
    "not-executed",
    "at-server",
    "server-leaving",
    "server-limit",
    "store-era",
    "token-count",
    "prompt-prefix",
    "length-hint",
    "request-priority",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "/-/order",
    "/-/report",
    "desired state",
    "traffic_split",
    "target_latency",
    "gap_target",
    "pairs_per_m",
    "kv_token_bytes",
)
SOCKET_MODULES = {"asyncio", "socket", "zmq", "h11"}
PACKAGES_WITHOUT_SOCKETS = {
    "lacewingdrum_platform",
    "lacewingdrum_state",
    "lacewingdrum_coordination",
    "lacewingdrum_protocol",
}


def imported_names(source: str) -> list[tuple[int, str]]:
    """Return the line and top-level name of each import in ``source``."""
    names: list[tuple[int, str]] = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.extend((node.lineno, alias.name) for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.append((node.lineno, node.module))
    return [(line, name.split(".")[0]) for line, name in names]


def source_files() -> list[pathlib.Path]:
    """Return the modules of all packages without their tests."""
    found: list[pathlib.Path] = []
    for folder in ("packages", "platform"):
        found.extend((collection.ROOT / folder).rglob("lacewingdrum_*/*.py"))
    return [path for path in sorted(found) if not path.name.endswith("_test.py")]


def platform_words() -> list[str]:
    """Return a line for each platform name outside the adapter."""
    found: list[str] = []
    for path in source_files():
        if path.parent.name == "lacewingdrum_platform":
            continue
        relative = path.relative_to(collection.ROOT)
        for number, text in enumerate(path.read_text().splitlines(), 1):
            found.extend(
                f"{relative}:{number}: {word} is a name of the platform"
                for word in PLATFORM_WORDS
                if re.search(rf"(?<![\w-]){word}", text.lower())
            )
    return found


def errors() -> list[str]:
    """Return a line for each import that is not allowed in its layer."""
    found = []
    for path in source_files():
        package = path.parent.name
        for line, name in imported_names(path.read_text()):
            is_own_package = name.startswith("lacewingdrum_") or name in (
                "standins",
                "tests",
            )
            is_upward = (
                is_own_package and name != package and name not in ALLOWED[package]
            )
            does_io = package in PACKAGES_WITHOUT_SOCKETS and name in SOCKET_MODULES
            if is_upward or does_io:
                relative = path.relative_to(collection.ROOT)
                found.append(f"{relative}:{line}: {package} may not import {name}")
    return found


def main() -> int:
    """Return 0 if there is no offending line."""
    found = errors() + platform_words()
    print("\n".join(found) or "layers: every import points down")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
