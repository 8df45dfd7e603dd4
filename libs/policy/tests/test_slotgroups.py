"""Guards against slots granted twice, free slots left unused and requests crowded in one group."""

import random
from collections import Counter

import pytest

from skylarkmoor_core.hashing import hash64
from skylarkmoor_policy.slotgroups import SlotGroup, group_count, less_loaded_group


@pytest.mark.parametrize(("upstreams", "expected"), [(0, 1), (6, 1), (9, 1), (10, 2), (45, 8)])
def test_group_count_by_number_of_upstreams(upstreams, expected):
    """With few upstreams per group, slots stay free while requests wait in another group."""
    assert group_count(upstreams) == expected


def test_group_count_rarely_changes_with_the_number_of_upstreams():
    """After each change two dispatchers may briefly grant the same slots."""
    counts = [group_count(upstreams) for upstreams in range(601)]
    assert (
        sum(previous != current for previous, current in zip(counts, counts[1:], strict=False)) == 6
    )


def test_each_upstream_belongs_to_exactly_one_group():
    """An upstream in no group would get no requests; in two, its slots would be granted twice."""
    hashes = [hash64(f"engine-{number}") for number in range(100)]
    groups = [SlotGroup("assistant", number, 4) for number in range(4)]
    assert all(sum(group.holds(upstream_hash) for group in groups) == 1 for upstream_hash in hashes)


def test_group_without_slots_is_never_selected():
    """Requests to that group would wait although other groups have slots."""
    rng = random.Random(1)
    assert {less_loaded_group([(0, 0), (9, 9), (0, 0)], rng) for _ in range(100)} == {1}
    assert less_loaded_group([(0, 0)], rng) == 0


def test_outdated_loads_do_not_send_all_requests_to_one_group():
    """The least loaded group would get all requests until the next load reports arrive."""
    rng = random.Random(1)
    loads = [(40, 50), (45, 50), (45, 50), (10, 50)]
    chosen = Counter(less_loaded_group(loads, rng) for _ in range(4_000))
    assert max(chosen.values()) < 2_000
    assert chosen[3] == max(chosen.values())
    assert chosen[0] > chosen[1] > 0


def test_a_request_that_comes_again_draws_the_same_two_groups():
    """Otherwise its dispatcher could not know that it was refused before."""
    rng = random.Random(1)
    for request_hash in (hash64(f"r{number}") for number in range(50)):
        calm = {less_loaded_group([(0, 9)] * 8, rng, request_hash) for _ in range(4)}
        assert len(calm) == 1
        # The other one of the two, while the first is loaded.
        loads = [(9 * (number in calm), 9) for number in range(8)]
        other = less_loaded_group(loads, rng, request_hash)
        loads[other] = (18, 9)
        assert less_loaded_group(loads, rng, request_hash) in calm


def test_hashes_draw_groups_in_proportion_to_their_slots():
    loads = [(0, 10), (0, 0), (0, 30)]
    drawn = Counter(less_loaded_group(loads, None, hash64(f"r{n}")) for n in range(4_000))
    assert drawn[1] == 0
    assert drawn[2] == pytest.approx(3_000, rel=0.05)
