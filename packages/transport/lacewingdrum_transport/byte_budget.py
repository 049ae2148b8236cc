"""A limit on the memory that several bodies occupy together."""


class ByteBudget:
    """Limits the total size of bodies that are held at the same time."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def set_limit(self, limit_bytes: int) -> None:
        """Set the limit on the total size.

        Bodies that are already held count, but are not dropped.
        """
        self._limit_bytes = limit_bytes

    def acquire(self, size_bytes: int) -> bool:
        """Add ``size_bytes`` if within the limit; return whether it was."""
        if self.held_bytes + size_bytes > self._limit_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Subtract ``size_bytes`` that are no longer held."""
        self.held_bytes -= size_bytes
