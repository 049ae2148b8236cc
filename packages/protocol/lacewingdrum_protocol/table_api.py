"""Messages of the HTTP interface of the platform's transactional table.

=============  ========================================================
POST /write    takes ``WriteCall``, returns ``WriteAnswer``. Each write
               of the batch is applied independently.
POST /read     takes ``ReadCall``, returns ``RowsAnswer``
POST /scan     takes ``ScanCall``, returns ``RowsAnswer`` ordered by key
=============  ========================================================

A status of 503 means that nothing was applied. If no reply arrives, it is
unknown whether the call was applied.
"""

import msgspec

WRITE_PATH = "/write"
READ_PATH = "/read"
SCAN_PATH = "/scan"


class WriteEntry(msgspec.Struct, frozen=True, array_like=True):
    """A compare-and-set; ``if_version`` 0 requires that no row exists."""

    table: str
    key: str
    if_version: int
    value: bytes


class WriteCall(msgspec.Struct, frozen=True):
    """Writes that the service applies independently of each other."""

    writes: tuple[WriteEntry, ...]


class RowEntry(msgspec.Struct, frozen=True, array_like=True):
    """A row; a ``row_version`` of 0 means that it does not exist."""

    table: str
    key: str
    row_version: int
    value: bytes


class WriteResult(msgspec.Struct, frozen=True, array_like=True):
    """Whether a write was applied, and the row after it."""

    applied: bool
    row: RowEntry


class WriteAnswer(msgspec.Struct, frozen=True):
    """One result for each write, in the order of the writes."""

    results: tuple[WriteResult, ...]


class ReadCall(msgspec.Struct, frozen=True):
    """Requests rows by pairs of table and key."""

    keys: tuple[tuple[str, str], ...]


class ScanCall(msgspec.Struct, frozen=True):
    """Requests the rows of a table whose keys start with ``prefix``."""

    table: str
    prefix: str = ""
    limit: int = 1000


class RowsAnswer(msgspec.Struct, frozen=True):
    """The rows of a read in the order of its keys, or of a scan by key."""

    rows: tuple[RowEntry, ...]
