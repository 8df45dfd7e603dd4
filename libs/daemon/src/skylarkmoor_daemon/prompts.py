"""Token counts and prefix-cache block hashes of prompts, computed as the engines do."""

from collections.abc import Sequence

from skylarkmoor_core.hashing import hash64

__all__ = ["BLOCK_TOKENS", "block_hashes", "count_tokens"]

# Tokens in each block of an engine's prefix cache.
BLOCK_TOKENS = 16
# Further blocks would cost hashing time without changing a routing decision.
_MAX_HASHED_BLOCKS = 512


def count_tokens(text: str) -> int:
    """Return the number of tokens of `text`; tokens are whitespace-separated words."""
    return len(text.split())


def block_hashes(words: Sequence[str]) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks in `words`, in prompt order.

    Notes
    -----
    Engines identify blocks by the same hashes in their cache events. Each hash covers the
    parent block's hash as decimal text (0 for the first block) and the block's words joined
    by spaces. A partial last block is not hashed.
    """
    hashes: list[int] = []
    parent_hash = 0
    block_count = min(len(words) // BLOCK_TOKENS, _MAX_HASHED_BLOCKS)
    for i in range(0, block_count * BLOCK_TOKENS, BLOCK_TOKENS):
        parent_hash = hash64(str(parent_hash), " ".join(words[i : i + BLOCK_TOKENS]))
        hashes.append(parent_hash)
    return tuple(hashes)
