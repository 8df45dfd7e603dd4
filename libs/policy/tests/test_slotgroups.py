"""Guards large services against a single overloaded dispatcher and against uneven groups."""

import random
from collections import Counter

import pytest

from skylarkmoor_core.hashing import hash64
from skylarkmoor_policy.slotgroups import SlotGroup, emptier_group, group_count


@pytest.mark.parametrize(("upstreams", "expected"), [(0, 1), (6, 1), (9, 1), (10, 2), (45, 8)])
def test_small_services_stay_whole(upstreams, expected):
    """Few engines in a group leave slots free while requests wait in another group."""
    assert group_count(upstreams) == expected


def test_one_engine_more_or_less_seldom_changes_the_groups():
    """With each change two dispatchers may hand out the same slots for a moment."""
    counts = [group_count(upstreams) for upstreams in range(601)]
    assert sum(a != b for a, b in zip(counts, counts[1:], strict=False)) == 6


def test_each_upstream_belongs_to_one_group():
    hashes = [hash64(f"engine-{number}") for number in range(100)]
    groups = [SlotGroup("assistant", number, 4) for number in range(4)]
    assert all(sum(group.holds(each) for group in groups) == 1 for each in hashes)


def test_a_group_without_slots_is_not_asked():
    rng = random.Random(1)
    assert {emptier_group([(0, 0), (9, 9), (0, 0)], rng) for _ in range(100)} == {1}
    assert emptier_group([(0, 0)], rng) == 0


def test_old_loads_do_not_send_all_daemons_to_one_group():
    """If all took the emptiest group, it would get every request until the next states arrive."""
    rng = random.Random(1)
    loads = [(40, 50), (45, 50), (45, 50), (10, 50)]
    drawn = Counter(emptier_group(loads, rng) for _ in range(4_000))
    assert max(drawn.values()) < 2_000
    assert drawn[3] == max(drawn.values())
    assert drawn[0] > drawn[1] > 0
