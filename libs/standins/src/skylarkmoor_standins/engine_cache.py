"""Prefix cache of the stand-in engine, with its late and incomplete events."""

import random
from collections import OrderedDict
from collections.abc import Sequence
from enum import Enum

import msgspec

__all__ = ["CacheEvent", "EventKind", "EventPage", "PrefixCache"]

_KEPT_EVENTS = 1_000


class EventKind(Enum):
    """What happened to blocks of the cache."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks were stored or removed; a number missing in `seq` is an event that was lost."""

    seq: int
    at_ms: float
    kind: EventKind
    blocks: tuple[int, ...]


class EventPage(msgspec.Struct, frozen=True):
    """Answer to a reader of events; `next` is the number from which the reader goes on."""

    incarnation: int
    events: list[CacheEvent]
    next: int


class PrefixCache:
    """Blocks of prompts, of which the least recently used go first.

    Parameters
    ----------
    capacity : int
        Blocks that fit.
    event_delay_ms : int
        Age at which an event is published.
    event_gap_rate : float
        Share of the events that are never published.
    rng : random.Random
        Decides which events are lost.
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
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        # The last block is touched first, so that a prefix outlives its continuations.
        for block in reversed(hashes[:count]):
            self._blocks.move_to_end(block)
        return count

    def store(self, hashes: Sequence[int], now_ms: float) -> None:
        """Store blocks and remove the least recently used ones that no longer fit."""
        kept = hashes[: self._capacity]
        new = tuple(block for block in kept if block not in self._blocks)
        for block in reversed(kept):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed: list[int] = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        self._record(EventKind.STORED, new, now_ms)
        self._record(EventKind.REMOVED, tuple(removed), now_ms)

    def events(self, start: int, now_ms: float, incarnation: int) -> EventPage:
        """Return the published events from number `start` on."""
        latest_ms = now_ms - self._event_delay_ms
        events = [
            event for event in self._events if event.seq >= start and event.at_ms <= latest_ms
        ]
        return EventPage(incarnation, events, events[-1].seq + 1 if events else start)

    def _record(self, kind: EventKind, blocks: tuple[int, ...], now_ms: float) -> None:
        if not blocks:
            return
        if self._rng.random() >= self._event_gap_rate:
            self._events.append(CacheEvent(self._next_seq, now_ms, kind, blocks))
            del self._events[:-_KEPT_EVENTS]
        self._next_seq += 1
