"""Which prompt prefixes each upstream probably has in its cache."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from skylarkmoor_core.ids import UpstreamId

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """Hashes of cached prompt blocks by upstream.

    Parameters
    ----------
    max_blocks : int
        Most hashes kept for an upstream; the least recently used are dropped first.

    Notes
    -----
    Cache events come late and with gaps, so the index is a guess. A prefix that this daemon
    sent to an upstream is taken to be cached there until an event says otherwise.
    """

    def __init__(self, max_blocks: int = 4_096) -> None:
        self._max_blocks = max_blocks
        self._blocks: dict[UpstreamId, OrderedDict[int, None]] = {}

    def add(self, upstream: UpstreamId, hashes: Iterable[int]) -> None:
        """Note blocks that an upstream has cached."""
        blocks = self._blocks.setdefault(upstream, OrderedDict())
        for each in hashes:
            blocks[each] = None
            blocks.move_to_end(each)
        while len(blocks) > self._max_blocks:
            blocks.popitem(last=False)

    def remove(self, upstream: UpstreamId, hashes: Iterable[int]) -> None:
        """Note blocks that an upstream has dropped."""
        blocks = self._blocks.get(upstream, OrderedDict())
        for each in hashes:
            blocks.pop(each, None)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop all blocks of an upstream, for instance after it started again."""
        self._blocks.pop(upstream, None)

    def cached_tokens(self, upstream: UpstreamId, hashes: Sequence[int], prompt_tokens: int) -> int:
        """Return how many tokens of a prompt an upstream probably has cached.

        Parameters
        ----------
        upstream : UpstreamId
            Where the prompt would run.
        hashes : sequence of int
            Hashes of the prompt's leading blocks, the shortest prefix first.
        prompt_tokens : int
            Length of the prompt, over which the blocks are taken to be spread evenly.
        """
        blocks = self._blocks.get(upstream)
        if not blocks or not hashes:
            return 0
        matched = 0
        for each in hashes:
            if each not in blocks:
                break
            matched += 1
        return prompt_tokens * matched // len(hashes)
