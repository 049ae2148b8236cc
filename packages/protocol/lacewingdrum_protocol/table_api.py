"""Messages of the platform's transactional table service over HTTP.

=============  ========================================================
POST /write    ``WriteCall``; answers ``WriteAnswer``. Each write of the
               batch stands for itself.
POST /read     ``ReadCall``; answers ``RowsAnswer``
POST /scan     ``ScanCall``; answers ``RowsAnswer``, ordered by key
=============  ========================================================

503 means that nothing was applied; a reply that never comes says nothing.
"""

import msgspec

WRITE_PATH = "/write"
READ_PATH = "/read"
SCAN_PATH = "/scan"


class WriteEntry(msgspec.Struct, frozen=True, array_like=True):
    """A compare-and-set of one row; ``if_version`` 0 means absent."""

    table: str
    key: str
    if_version: int
    value: bytes


class WriteCall(msgspec.Struct, frozen=True):
    """Writes that the service applies one by one."""

    writes: tuple[WriteEntry, ...]


class RowEntry(msgspec.Struct, frozen=True, array_like=True):
    """A row as it stands; ``row_version`` 0 means absent."""

    table: str
    key: str
    row_version: int
    value: bytes


class WriteResult(msgspec.Struct, frozen=True, array_like=True):
    """Whether a write was applied, and the row as it now stands."""

    applied: bool
    row: RowEntry


class WriteAnswer(msgspec.Struct, frozen=True):
    """One result for each write, in order."""

    results: tuple[WriteResult, ...]


class ReadCall(msgspec.Struct, frozen=True):
    """Names rows, as pairs of table and key."""

    keys: tuple[tuple[str, str], ...]


class ScanCall(msgspec.Struct, frozen=True):
    """Asks for the rows of a table whose keys start with ``prefix``."""

    table: str
    prefix: str = ""
    limit: int = 1000


class RowsAnswer(msgspec.Struct, frozen=True):
    """Rows found, in the order asked for or by key."""

    rows: tuple[RowEntry, ...]
