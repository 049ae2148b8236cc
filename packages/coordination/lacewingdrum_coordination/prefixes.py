"""Which runners hold the start of a prompt in their prefix caches.

Built from cache events that come late and with gaps. A missed event leaves an
entry that is wrong for a while; it costs time on the engine and no more, and
goes when its runner has stored enough since.
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
    """One block that entered or left a runner's cache."""

    block_hash: int
    is_stored: bool


class Hits:
    """Who holds how much of one prompt's start.

    Kept as steps of bits, the deepest first: a start that all prompts share
    is held by every runner, and a list of them would cost by the fleet.
    """

    __slots__ = ("_steps", "_bits", "_runner_of_bit")

    def __init__(
        self,
        steps: Sequence[tuple[int, int]] = (),
        bits: Mapping[ids.RunnerId, int] = _NO_BITS,
        runner_of_bit: Sequence[ids.RunnerId | None] = (),
    ):
        """Keep what a lookup found.

        Args:
            steps: tokens and the runners that hold as many, as bits.
            bits: each runner's bit.
            runner_of_bit: the runner at each bit's position.
        """
        self._steps = steps
        self._bits = bits
        self._runner_of_bit = runner_of_bit

    def tokens(self, runner_id: ids.RunnerId) -> int:
        """Returns: tokens of the prompt that a runner is thought to hold."""
        if not self._steps:
            return 0
        bit = self._bits.get(runner_id, 0)
        for tokens, holders in self._steps:
            if holders & bit:
                return tokens
        return 0

    def best(self, limit: int) -> list[ids.RunnerId]:
        """Returns: some runners that hold the most, at most ``limit``."""
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

    def __bool__(self) -> bool:
        return True

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
                self._remove_block(runner_id, bit, change.block_hash)
        while len(blocks) > MAX_BLOCKS_PER_RUNNER:
            self._remove_block(runner_id, bit, next(iter(blocks)))

    def sent(self, runner_id: ids.RunnerId, block_hashes: Sequence[int]) -> None:
        """Take a sent prompt's blocks for stored, before events say so.

        Args:
            runner_id: where it was sent.
            block_hashes: chained fingerprints of the prompt's blocks.
        """
        changes = [
            BlockChange(block_hash, True)
            for block_hash in block_hashes[:MAX_SENT_BLOCKS]
        ]
        self.observe(runner_id, changes)

    def forget(self, runner_id: ids.RunnerId) -> None:
        """Drop all that is known of a runner that ended or started anew."""
        bit = self._bits.pop(runner_id, None)
        if bit is None:
            return
        for block_hash in list(self._blocks.pop(runner_id, {})):
            self._clear_holder(bit, block_hash)
        self._runner_of_bit[bit.bit_length() - 1] = None

    def lookup(self, block_hashes: Sequence[int]) -> Hits:
        """Find who holds how much of a prompt's start.

        Args:
            block_hashes: chained fingerprints of the prompt's blocks.

        Returns:
            What the runners are thought to hold.
        """
        steps: list[tuple[int, int]] = []
        holding = -1
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
