"""What the daemon's drivers need of the platform's table service."""

from typing import Protocol

from lacewingdrum_state import rows
from lacewingdrum_transport import table_client


class Table(Protocol):
    """The calls of ``table_client.TableClient`` that drivers make."""

    async def write(
        self, writes: tuple[rows.RowWrite, ...]
    ) -> table_client.WriteResult:
        """Write rows by compare-and-set, each for itself."""

    async def read(self, keys: tuple[rows.RowKey, ...]) -> table_client.RowsResult:
        """Read rows; an absent one has version 0."""

    async def scan(self, table: str, prefix: str) -> table_client.RowsResult:
        """Read the rows of a table whose keys start with ``prefix``."""


def may_have_applied(error: table_client.TableError) -> bool:
    """Args: error: of a write. Returns: whether it may be in force."""
    return error.reason is not table_client.TableErrorReason.NOT_APPLIED
