"""Holds bytes until a transport takes them, without a copy of them."""

import collections

# A transport copies what the kernel does not take at once.
PART_BYTES = 64 * 1024


class UnwrittenParts:
    """Bytes to be written, in order; ``size_bytes`` counts them."""

    def __init__(self) -> None:
        self.size_bytes = 0
        self._waiting: collections.deque[memoryview] = collections.deque()

    def add(self, data: bytes) -> None:
        """Add bytes, which must not change until they are taken."""
        if data:
            self._waiting.append(memoryview(data))
            self.size_bytes += len(data)

    def take(self) -> memoryview:
        """Remove and return the next part; there must be one."""
        first = self._waiting.popleft()
        if len(first) > PART_BYTES:
            self._waiting.appendleft(first[PART_BYTES:])
            first = first[:PART_BYTES]
        self.size_bytes -= len(first)
        return first

    def clear(self) -> None:
        """Drop all bytes."""
        self._waiting.clear()
        self.size_bytes = 0
