"""Index of the runners whose prefix caches hold the start of a prompt.

The index is built from cache events, which arrive with delays and gaps. A
missed event leaves a wrong entry for a while. A wrong entry only costs time
on the engine, and is dropped once its runner has stored enough newer blocks.
"""

import dataclasses
import types
from collections.abc import Mapping, Sequence

from lacewingdrum_state import ids

BLOCK_TOKENS = 256
MAX_BLOCKS_PER_RUNNER = 1_024
MAX_SENT_BLOCKS = 256
_NO_BITS: Mapping[ids.RunnerId, int] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class BlockChange:
    """A block that was stored in or evicted from a runner's cache."""

    block_hash: int
    is_stored: bool


class Hits:
    """Runners that hold a part of one prompt's prefix.

    A step is a prefix length and the bit set of the runners that hold it; the
    longest prefix is first. A prefix that all prompts share may be held by
    every runner, and lists of runners would make the cost of a lookup grow
    with the fleet.
    """

    __slots__ = ("_steps", "_bits", "_runner_of_bit")

    def __init__(
        self,
        steps: Sequence[tuple[int, int]] = (),
        bits: Mapping[ids.RunnerId, int] = _NO_BITS,
        runner_of_bit: Sequence[ids.RunnerId | None] = (),
    ):
        """Store the result of a lookup.

        Args:
            steps: prefix lengths in tokens, and the runners that hold them
                as bit sets.
            bits: each runner's bit.
            runner_of_bit: the runner at each bit position.
        """
        self._steps = steps
        self._bits = bits
        self._runner_of_bit = runner_of_bit

    def tokens(self, runner_id: ids.RunnerId) -> int:
        """Return the tokens of the prompt that a runner probably holds."""
        if not self._steps:
            return 0
        bit = self._bits.get(runner_id, 0)
        for tokens, holders in self._steps:
            if holders & bit:
                return tokens
        return 0

    def best(self, limit: int) -> list[ids.RunnerId]:
        """Return up to ``limit`` runners that hold the longest prefixes."""
        found: list[ids.RunnerId] = []
        for _, holders in self._steps:
            while holders and len(found) < limit:
                lowest = holders & -holders
                runner_id = self._runner_of_bit[lowest.bit_length() - 1]
                if runner_id is not None and runner_id not in found:
                    found.append(runner_id)
                holders ^= lowest
        return found


NO_HITS = Hits()


class PrefixIndex:
    """Block hashes and the runners that hold these blocks.

    The runners of a block are stored as the bits of one integer, so that the
    cost of a lookup grows with the prompt's blocks and not with the number
    of runners.
    """

    def __init__(self) -> None:
        """Start with an empty index."""
        self._holders: dict[int, int] = {}
        self._bits: dict[ids.RunnerId, int] = {}
        self._runner_of_bit: list[ids.RunnerId | None] = []
        self._blocks: dict[ids.RunnerId, dict[int, None]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def __bool__(self) -> bool:
        # Without this, __len__ would make an empty index false.
        return True

    def observe(self, runner_id: ids.RunnerId, changes: Sequence[BlockChange]) -> None:
        """Apply the cache events of a runner in order.

        Args:
            runner_id: the runner whose cache changed.
            changes: blocks stored and evicted.
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
                self._remove_block(runner_id, bit, change.block_hash)
        while len(blocks) > MAX_BLOCKS_PER_RUNNER:
            self._remove_block(runner_id, bit, next(iter(blocks)))

    def sent(self, runner_id: ids.RunnerId, block_hashes: Sequence[int]) -> None:
        """Assume that the blocks of a sent prompt are stored.

        The cache events that confirm it arrive later.

        Args:
            runner_id: the runner that the prompt was sent to.
            block_hashes: the hashes of the prompt's blocks, each of which
                covers its block and all blocks before it.
        """
        changes = [
            BlockChange(block_hash, True)
            for block_hash in block_hashes[:MAX_SENT_BLOCKS]
        ]
        self.observe(runner_id, changes)

    def forget(self, runner_id: ids.RunnerId) -> None:
        """Remove all entries of a runner that ended or restarted."""
        bit = self._bits.pop(runner_id, None)
        if bit is None:
            return
        for block_hash in list(self._blocks.pop(runner_id, {})):
            self._clear_holder(bit, block_hash)
        self._runner_of_bit[bit.bit_length() - 1] = None

    def lookup(self, block_hashes: Sequence[int]) -> Hits:
        """Find the runners that hold a part of a prompt's prefix.

        Args:
            block_hashes: the hashes of the prompt's blocks, each of which
                covers its block and all blocks before it.

        Returns:
            The prefix lengths that the runners probably hold.
        """
        steps: list[tuple[int, int]] = []
        holding = -1  # All bits are set, for all runners.
        for depth, block_hash in enumerate(block_hashes):
            still_holding = holding & self._holders.get(block_hash, 0)
            if depth and still_holding != holding:
                steps.append((depth * BLOCK_TOKENS, holding))
            holding = still_holding
            if not holding:
                break
        if holding and block_hashes:
            steps.append((len(block_hashes) * BLOCK_TOKENS, holding))
        if not steps:
            return NO_HITS
        return Hits(steps[::-1], self._bits, self._runner_of_bit)

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

    def _remove_block(self, runner_id: ids.RunnerId, bit: int, block_hash: int) -> None:
        self._blocks[runner_id].pop(block_hash, None)
        self._clear_holder(bit, block_hash)

    def _clear_holder(self, bit: int, block_hash: int) -> None:
        remaining = self._holders.get(block_hash, 0) & ~bit
        if remaining:
            self._holders[block_hash] = remaining
        else:
            self._holders.pop(block_hash, None)
