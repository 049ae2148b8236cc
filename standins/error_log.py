"""Collects what a process logs as an error."""

import contextlib
import logging
from collections.abc import Iterator


class _Collector(logging.Handler):
    def __init__(self, found: list[str]) -> None:
        super().__init__(logging.ERROR)
        self._found = found

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        self._found.append(f"{record.name}: {record.getMessage()}: {error!r}")


@contextlib.contextmanager
def collected_errors() -> Iterator[list[str]]:
    """Yield a list to which each error that is logged meanwhile is added."""
    found: list[str] = []
    collector = _Collector(found)
    logging.getLogger().addHandler(collector)
    try:
        yield found
    finally:
        logging.getLogger().removeHandler(collector)
