"""LRU prefix cache of the simulated engine, with a delayed and lossy event feed."""

import random
from collections import OrderedDict
from collections.abc import Sequence
from enum import Enum

import msgspec

__all__ = ["CacheEvent", "EventKind", "EventPage", "PrefixCache"]

_MAX_EVENTS = 1_000


class EventKind(Enum):
    """Kind of change to the cached blocks."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(msgspec.Struct, frozen=True):
    """Storage or removal of blocks; a gap in `seq` means that events were lost."""

    seq: int
    at_ms: float
    kind: EventKind
    blocks: tuple[int, ...]


class EventPage(msgspec.Struct, frozen=True):
    """Result of reading events; `next` is the sequence number to read from next."""

    incarnation: int
    events: list[CacheEvent]
    next: int


class PrefixCache:
    """Set of prefix block hashes with least-recently-used eviction.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    event_delay_ms : int
        Delay between a change and the publication of its event.
    event_gap_rate : float
        Fraction of the events that are never published.
    rng : random.Random
        Selects the events that are lost.
    """

    def __init__(
        self, capacity: int, event_delay_ms: int, event_gap_rate: float, rng: random.Random
    ) -> None:
        self._capacity = capacity
        self._event_delay_ms = event_delay_ms
        self._event_gap_rate = event_gap_rate
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._next_seq = 0

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, hashes: Sequence[int]) -> int:
        """Return the number of leading blocks that are cached, and mark them as recently used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        # Reversed, so that a prefix is evicted after the blocks that extend it.
        for block in reversed(hashes[:count]):
            self._blocks.move_to_end(block)
        return count

    def store(self, hashes: Sequence[int], now_ms: float) -> None:
        """Store blocks and evict the least recently used ones above the capacity."""
        fitting = hashes[: self._capacity]
        added = tuple(block for block in fitting if block not in self._blocks)
        for block in reversed(fitting):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed: list[int] = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        self._record_event(EventKind.STORED, added, now_ms)
        self._record_event(EventKind.REMOVED, tuple(removed), now_ms)

    def events(self, start: int, now_ms: float, incarnation: int) -> EventPage:
        """Return the published events with sequence numbers from `start` on."""
        published_until_ms = now_ms - self._event_delay_ms
        events = [
            event
            for event in self._events
            if event.seq >= start and event.at_ms <= published_until_ms
        ]
        return EventPage(incarnation, events, events[-1].seq + 1 if events else start)

    def _record_event(self, kind: EventKind, blocks: tuple[int, ...], now_ms: float) -> None:
        if not blocks:
            return
        if self._rng.random() >= self._event_gap_rate:
            self._events.append(CacheEvent(self._next_seq, now_ms, kind, blocks))
            del self._events[:-_MAX_EVENTS]
        self._next_seq += 1
