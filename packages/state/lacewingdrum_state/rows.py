"""Rows of the platform's table service and writes to them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """The table and key of one row."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read; ``row_version`` is 0 if the row does not exist."""

    row_key: RowKey
    row_version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A compare-and-set: applied only if the row has version ``if_version``.

    An ``if_version`` of 0 means that the row must not exist.
    """

    row_key: RowKey
    if_version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Whether a write was applied, and the row after it."""

    applied: bool
    row: Row
