"""Guards against eviction of recently used blocks, early events and events that are never lost."""

import random

from skylarkmoor_standins.engine_cache import EventKind, PrefixCache
from skylarkmoor_standins.engine_text import block_hashes


def make_cache(capacity=3, gap_rate=0.0):
    return PrefixCache(capacity, event_delay_ms=100, event_gap_rate=gap_rate, rng=random.Random(1))


def test_least_recently_used_blocks_are_evicted_first():
    cache = make_cache()
    cache.store((1, 2), 0)
    cache.store((8,), 0)
    assert cache.match((1, 2)) == 2
    cache.store((9,), 0)
    assert (1 in cache, 2 in cache, 8 in cache, 9 in cache) == (True, True, False, True)


def test_events_are_published_after_the_delay():
    cache = make_cache()
    cache.store((1, 2), 0)
    assert cache.events(0, 99, incarnation=7).events == []
    page = cache.events(0, 100, incarnation=7)
    assert [(event.kind, event.blocks) for event in page.events] == [(EventKind.STORED, (1, 2))]
    assert (page.next, page.incarnation) == (1, 7)


def test_lost_events_leave_gaps_in_sequence_numbers():
    cache = make_cache(capacity=100, gap_rate=0.5)
    for block in range(20):
        cache.store((block,), 0)
    numbers = [event.seq for event in cache.events(0, 1000, incarnation=1).events]
    assert 0 < len(numbers) < 20
    assert numbers == sorted(numbers)


def test_only_full_blocks_are_hashed_and_hashes_are_chained():
    words = [f"w{i}" for i in range(40)]
    hashes = block_hashes(words)
    assert len(hashes) == 2
    assert block_hashes(words[:16]) == hashes[:1]
    assert block_hashes(["other", *words[1:]])[1] != hashes[1]
