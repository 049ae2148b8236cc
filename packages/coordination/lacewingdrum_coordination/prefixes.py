"""Which runners hold the start of a prompt in their prefix caches.

Built from cache events that come late and with gaps: an event that was
missed leaves an entry that is wrong for a while, so each entry is dropped
when its runner has not been heard to hold it for long.
"""

import dataclasses
from collections.abc import Sequence

from lacewingdrum_state import ids

BLOCK_TOKENS = 256
MAX_BLOCKS_A_RUNNER = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class BlockChange:
    """One block that entered or left a runner's cache."""

    block_hash: int
    is_stored: bool


class PrefixIndex:
    """Block fingerprints and the runners that hold them.

    Runners are kept as bits of one integer a block, so that a lookup costs
    time by the prompt's blocks and not by the runners.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self._holders: dict[int, int] = {}
        self._bits: dict[ids.RunnerId, int] = {}
        self._runner_of_bit: list[ids.RunnerId | None] = []
        self._blocks: dict[ids.RunnerId, dict[int, None]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def observe(self, runner_id: ids.RunnerId, changes: Sequence[BlockChange]) -> None:
        """Take in cache events of a runner, in their order.

        Args:
            runner_id: whose cache changed.
            changes: what entered and what left.
        """
        bit = self._bit(runner_id)
        blocks = self._blocks.setdefault(runner_id, {})
        for change in changes:
            if change.is_stored:
                self._holders[change.block_hash] = (
                    self._holders.get(change.block_hash, 0) | bit
                )
                blocks.pop(change.block_hash, None)
                blocks[change.block_hash] = None
            else:
                self._drop(runner_id, bit, change.block_hash)
        while len(blocks) > MAX_BLOCKS_A_RUNNER:
            self._drop(runner_id, bit, next(iter(blocks)))

    def forget(self, runner_id: ids.RunnerId) -> None:
        """Drop all that is known of a runner that ended or started anew."""
        bit = self._bits.pop(runner_id, None)
        if bit is None:
            return
        for block_hash in list(self._blocks.pop(runner_id, {})):
            self._clear(bit, block_hash)
        self._runner_of_bit[bit.bit_length() - 1] = None

    def cached_tokens(self, block_hashes: Sequence[int]) -> dict[ids.RunnerId, int]:
        """Find who holds how much of a prompt's start.

        Args:
            block_hashes: chained fingerprints of the prompt's blocks.

        Returns:
            Tokens by runner, of those that hold the first block at least.
        """
        found: dict[ids.RunnerId, int] = {}
        holding = -1
        for depth, block_hash in enumerate(block_hashes):
            still = holding & self._holders.get(block_hash, 0)
            if depth and still != holding:
                self._note(found, holding & ~still, depth)
            holding = still
            if not holding:
                return found
        if block_hashes:
            self._note(found, holding, len(block_hashes))
        return found

    def _note(self, found: dict[ids.RunnerId, int], bits: int, depth: int) -> None:
        while bits:
            lowest = bits & -bits
            runner_id = self._runner_of_bit[lowest.bit_length() - 1]
            if runner_id is not None:
                found[runner_id] = depth * BLOCK_TOKENS
            bits ^= lowest

    def _bit(self, runner_id: ids.RunnerId) -> int:
        bit = self._bits.get(runner_id)
        if bit is not None:
            return bit
        if None in self._runner_of_bit:
            position = self._runner_of_bit.index(None)
            self._runner_of_bit[position] = runner_id
        else:
            position = len(self._runner_of_bit)
            self._runner_of_bit.append(runner_id)
        self._bits[runner_id] = 1 << position
        return 1 << position

    def _drop(self, runner_id: ids.RunnerId, bit: int, block_hash: int) -> None:
        self._blocks[runner_id].pop(block_hash, None)
        self._clear(bit, block_hash)

    def _clear(self, bit: int, block_hash: int) -> None:
        left = self._holders.get(block_hash, 0) & ~bit
        if left:
            self._holders[block_hash] = left
        else:
            self._holders.pop(block_hash, None)
