"""Checks that imports point only down the layers.

Run as ``python -m tests.layers``; each import that points up is printed.
"""

import ast
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
ALLOWED["lacewingdrum_daemon"] = set(ALLOWED)
ALLOWED["lacewingdrum_cli"] = set(ALLOWED) - {"lacewingdrum_daemon"}
SOCKET_MODULES = {"asyncio", "socket", "zmq", "h11"}
WITHOUT_SOCKETS = {
    "lacewingdrum_state",
    "lacewingdrum_coordination",
    "lacewingdrum_protocol",
}


def imported_names(source: str) -> list[tuple[int, str]]:
    """Returns: line and top-level name of each import in ``source``."""
    names: list[tuple[int, str]] = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.extend((node.lineno, alias.name) for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.append((node.lineno, node.module))
    return [(line, name.split(".")[0]) for line, name in names]


def errors() -> list[str]:
    """Returns: one line for each import that a layer may not make."""
    found = []
    for path in sorted((collection.ROOT / "packages").rglob("lacewingdrum_*/*.py")):
        package = path.parent.name
        if path.name.endswith("_test.py"):
            continue
        for line, name in imported_names(path.read_text()):
            ours = name.startswith("lacewingdrum_") or name in ("standins", "tests")
            upward = ours and name != package and name not in ALLOWED[package]
            does_io = package in WITHOUT_SOCKETS and name in SOCKET_MODULES
            if upward or does_io:
                relative = path.relative_to(collection.ROOT)
                found.append(f"{relative}:{line}: {package} may not import {name}")
    return found


def main() -> int:
    """Returns: 0 when every import points down."""
    found = errors()
    print("\n".join(found) or "layers: every import points down")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
