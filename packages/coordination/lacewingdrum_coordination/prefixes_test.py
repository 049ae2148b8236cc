"""Tests of the prefix index."""

import random

from lacewingdrum_coordination import prefixes
from lacewingdrum_state import ids

A, B = ids.RunnerId("a"), ids.RunnerId("b")


def stored(*blocks):
    return [prefixes.BlockChange(block, True) for block in blocks]


def test_a_lookup_finds_the_longest_cached_prefix():
    index = prefixes.PrefixIndex()
    index.observe(A, stored(1, 2, 3))
    index.observe(B, stored(1, 3))
    hits = index.lookup((1, 2, 3, 4))
    assert hits.tokens(A) == 3 * prefixes.BLOCK_TOKENS
    assert hits.tokens(B) == prefixes.BLOCK_TOKENS
    assert hits.best(2) == [A, B]
    assert index.lookup((9,)).tokens(A) == 0


def test_evicted_blocks_and_forgotten_runners_are_removed():
    index = prefixes.PrefixIndex()
    index.observe(A, stored(1, 2))
    index.observe(B, stored(1, 2))
    index.observe(A, [prefixes.BlockChange(2, False)])
    assert index.lookup((1, 2)).tokens(A) == prefixes.BLOCK_TOKENS
    index.forget(B)
    assert index.lookup((1, 2)).tokens(B) == 0
    index.forget(A)
    assert len(index) == 0


def test_the_index_is_bounded_when_eviction_events_are_missed():
    index = prefixes.PrefixIndex()
    rng = random.Random(1)
    for _ in range(200):
        index.observe(A, stored(*(rng.getrandbits(60) for _ in range(100))))
    assert len(index) == prefixes.MAX_BLOCKS_PER_RUNNER


def test_a_forgotten_runners_bit_is_reused_without_its_blocks():
    index = prefixes.PrefixIndex()
    index.observe(A, stored(1))
    index.forget(A)
    index.observe(B, stored(2))
    assert index.lookup((1,)).tokens(B) == 0
    assert index.lookup((2,)).best(4) == [B]


def test_a_sent_prompt_counts_as_cached_until_it_is_evicted():
    index = prefixes.PrefixIndex()
    index.sent(A, (1, 2))
    assert index.lookup((1, 2)).tokens(A) == 2 * prefixes.BLOCK_TOKENS
    index.observe(A, [prefixes.BlockChange(2, False)])
    assert index.lookup((1, 2)).tokens(A) == prefixes.BLOCK_TOKENS
