"""Tokens and block hashes of prompts, as the engines count them."""

from collections.abc import Sequence

from skylarkmoor_core.hashing import hash64

__all__ = ["BLOCK_TOKENS", "block_hashes", "count_tokens"]

# Tokens in one block of an engine's prefix cache.
BLOCK_TOKENS = 16
# More blocks cost hashing time and change no routing decision.
_MAX_BLOCKS = 512


def count_tokens(text: str) -> int:
    """Return the number of tokens of `text`; tokens are whitespace-separated words."""
    return len(text.split())


def block_hashes(words: Sequence[str]) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks of `words`, the shortest prefix first.

    Notes
    -----
    Engines name blocks in their cache events by the same hashes: each covers the hash before
    it as text, 0 for the first, and the block's words joined by spaces.
    """
    hashes: list[int] = []
    previous = 0
    blocks = min(len(words) // BLOCK_TOKENS, _MAX_BLOCKS)
    for i in range(0, blocks * BLOCK_TOKENS, BLOCK_TOKENS):
        previous = hash64(str(previous), " ".join(words[i : i + BLOCK_TOKENS]))
        hashes.append(previous)
    return tuple(hashes)
