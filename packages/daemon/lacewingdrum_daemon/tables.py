"""The interface of the platform's table service as the daemon uses it."""

from typing import Protocol

from lacewingdrum_state import rows
from lacewingdrum_transport import table_client


class Table(Protocol):
    """The calls of ``table_client.TableClient`` that the daemon makes."""

    async def write(
        self, writes: tuple[rows.RowWrite, ...]
    ) -> table_client.WriteResult:
        """Write rows by compare-and-set, each independently of the others."""

    async def read(self, keys: tuple[rows.RowKey, ...]) -> table_client.RowsResult:
        """Read rows; an absent row has version 0."""

    async def scan(self, table: str, prefix: str) -> table_client.RowsResult:
        """Read the rows of a table whose keys start with ``prefix``."""


def may_have_applied(error: table_client.TableError) -> bool:
    """Return whether a write with this error may have been applied."""
    return error.reason is not table_client.TableErrorReason.NOT_APPLIED
