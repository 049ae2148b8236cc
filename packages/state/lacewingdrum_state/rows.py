"""Rows of the platform's table service and writes to them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Names one row."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read; ``row_version`` is 0 where no such row exists."""

    row_key: RowKey
    row_version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A compare-and-set: applied only if the row is at ``if_version``.

    ``if_version`` 0 means that the row must not exist.
    """

    row_key: RowKey
    if_version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcome:
    """What the table did with a write, and the row as it stands now."""

    applied: bool
    row: Row
