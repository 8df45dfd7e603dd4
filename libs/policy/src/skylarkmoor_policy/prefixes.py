"""Approximate index of the prompt prefixes in each upstream's KV cache."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from skylarkmoor_core.ids import UpstreamId

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """Hashes of cached prompt blocks by upstream.

    Parameters
    ----------
    max_blocks : int
        Maximum number of hashes for each upstream; the least recently used are evicted.

    Notes
    -----
    The index is approximate, because cache events arrive late and can be lost. A prefix that
    this daemon sent to an upstream counts as cached there until an event reports its removal.
    """

    def __init__(self, max_blocks: int = 4_096) -> None:
        self._max_blocks = max_blocks
        self._blocks: dict[UpstreamId, OrderedDict[int, None]] = {}

    def add(self, upstream: UpstreamId, hashes: Iterable[int]) -> None:
        """Record blocks that an upstream has cached."""
        blocks = self._blocks.setdefault(upstream, OrderedDict())
        for block in hashes:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > self._max_blocks:
            blocks.popitem(last=False)

    def remove(self, upstream: UpstreamId, hashes: Iterable[int]) -> None:
        """Record blocks that an upstream has evicted."""
        blocks = self._blocks.get(upstream, OrderedDict())
        for block in hashes:
            blocks.pop(block, None)

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Remove all blocks of an upstream, for instance after it has restarted."""
        self._blocks.pop(upstream, None)

    def cached_tokens(self, upstream: UpstreamId, hashes: Sequence[int], prompt_tokens: int) -> int:
        """Return the estimated number of a prompt's tokens that an upstream has cached.

        Parameters
        ----------
        upstream : UpstreamId
            The upstream to look up.
        hashes : sequence of int
            Hashes of the prompt's leading blocks, the shortest prefix first.
        prompt_tokens : int
            Length of the prompt; the blocks are assumed to be of equal length.
        """
        blocks = self._blocks.get(upstream)
        if not blocks or not hashes:
            return 0
        matched = 0
        for block in hashes:
            if block not in blocks:
                break
            matched += 1
        return prompt_tokens * matched // len(hashes)
