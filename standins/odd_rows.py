"""Entries that writers other than runners leave in the store's tables."""

import json

from hypothesis import strategies

NESTED = b"[" * 100_000 + b"]" * 100_000
# Nothing listens there.
ENTRY: dict[str, object] = {
    "service": "ledger",
    "address": "127.0.0.1:1",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1,
}
NUMBERS = (
    strategies.integers()
    | strategies.sampled_from((2**53, 2**63, 2**64, 2**70, -(2**63) - 1, 10**400))
    | strategies.floats()
)
VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | NUMBERS | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)
ADDRESSES = strategies.sampled_from(
    ("0.0.0.0:80", "255.255.255.255:1", "[::1]:1", "127.0.0.1:70000", "127.0.0.1:0")
)


def _encoded(fields: object) -> bytes:
    return json.dumps(fields).encode()


@strategies.composite
def changed_entries(draw) -> bytes:  # type: ignore[no-untyped-def]
    """Return an entry with some fields changed, added or missing."""
    changes = draw(
        strategies.dictionaries(
            strategies.sampled_from((*ENTRY, "phase", "models")), VALUES, max_size=2
        )
    )
    missing = draw(strategies.sets(strategies.sampled_from(tuple(ENTRY)), max_size=1))
    entry = {name: item for name, item in ENTRY.items() if name not in missing}
    if draw(strategies.booleans()):
        entry["address"] = draw(ADDRESSES)
    return _encoded({**entry, **changes})


@strategies.composite
def damaged_entries(draw) -> bytes:  # type: ignore[no-untyped-def]
    """Return the bytes of an entry with some replaced, and perhaps cut off."""
    data = bytearray(_encoded(ENTRY))
    for _ in range(draw(strategies.integers(0, 4))):
        position = draw(strategies.integers(0, len(data) - 1))
        data[position] = draw(strategies.integers(0, 255))
    return bytes(data[: draw(strategies.integers(0, len(data)))])


ROW_VALUES = (
    strategies.binary(max_size=60)
    | VALUES.map(_encoded)
    | changed_entries()
    | damaged_entries()
    | strategies.just(_encoded(ENTRY)[:-1] + b',"extra":' + NESTED + b"}")
)
# A prefix keeps the keys apart from the ids of the runners.
KEYS = strategies.text(max_size=20).map(lambda text: f"odd{text}") | strategies.just("")
TABLES = strategies.dictionaries(KEYS, ROW_VALUES, min_size=1, max_size=30)
