"""Limits the memory that unfinished answers of runners occupy.

An answer is held until it can be forwarded: a whole one until its end, a
stream until the end of each event. Runners may send more than that, or bytes
without end.
"""

from lacewingdrum_transport import byte_budget

# Answers up to this size are always held, whatever other answers occupy.
ALWAYS_HELD_BYTES = 64 * 1024
ANSWER_MAX_BYTES = 8 * 1024 * 1024
# What each part after the first occupies beside its bytes.
PART_OVERHEAD_BYTES = 64


class HeldAnswer:
    """The memory of one answer; it must be closed."""

    def __init__(self, budget: byte_budget.ByteBudget) -> None:
        self._budget = budget
        self._counted_bytes = 0

    def resize(self, size_bytes: int, part_count: int = 0) -> bool:
        """Change what the answer occupies.

        Args:
            size_bytes: the bytes held from now on.
            part_count: the number of parts after the first.

        Returns:
            False if an answer may not occupy so much; nothing is changed then.
        """
        size_bytes += part_count * PART_OVERHEAD_BYTES
        counted_bytes = size_bytes if size_bytes > ALWAYS_HELD_BYTES else 0
        added_bytes = counted_bytes - self._counted_bytes
        if size_bytes > ANSWER_MAX_BYTES:
            return False
        if added_bytes > 0 and not self._budget.acquire(added_bytes):
            return False
        if added_bytes < 0:
            self._budget.release(-added_bytes)
        self._counted_bytes = counted_bytes
        return True

    def close(self) -> None:
        """Give the memory back."""
        self._budget.release(self._counted_bytes)
        self._counted_bytes = 0


class AnswerMemory:
    """Limits what all unfinished answers occupy together.

    Args:
        limit_bytes: for all answers over ``ALWAYS_HELD_BYTES`` together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._budget = byte_budget.ByteBudget(limit_bytes)

    @property
    def held_bytes(self) -> int:
        """What answers over ``ALWAYS_HELD_BYTES`` occupy now."""
        return self._budget.held_bytes

    def hold(self) -> HeldAnswer:
        """Return the memory of an answer that begins, which is empty."""
        return HeldAnswer(self._budget)
