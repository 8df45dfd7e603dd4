"""Tests of the bounds of memory and connections, and of who gives way at them."""

import pytest

from skylarkmoor_policy.memorybounds import (
    FREE_BODY_BYTES,
    SMALL_BODY_BYTES,
    BodyGrants,
    GrantResult,
    Holding,
    choose_victims,
    derive_bounds,
    is_upload_too_slow,
)

MB = 1_048_576
MAX_BODY_BYTES = 4 * MB
WAITING_COST_BYTES = 98_304


def grants(held_mb=20):
    return BodyGrants(held_mb * MB, WAITING_COST_BYTES)


@pytest.mark.parametrize("memory_mb", [128, 152, 200, 552])
@pytest.mark.parametrize("max_fds", [1_535, 4_100, 8_192])
def test_bounds_leave_room_on_each_host(memory_mb, max_fds):
    """Bounds that fill the host would end the process."""
    bounds = derive_bounds(memory_mb, max_fds)
    assert 66 * MB + 2 * bounds.held_bytes < memory_mb * MB
    upstreams = bounds.max_connections + bounds.max_idle_upstreams
    assert bounds.max_connections + upstreams + 2 * bounds.max_tunnels < (max_fds - 200) * 0.8
    assert bounds.max_connections >= 300


def test_a_host_without_limits_bounds_nothing_that_callers_meet():
    """The defaults stand where the settings file names no limits."""
    bounds = derive_bounds(None, None)
    assert bounds.kernel_buffer_bytes is None
    assert bounds.held_bytes >= 20 * MAX_BODY_BYTES
    assert bounds.max_connections >= 8_000


@pytest.mark.parametrize("memory_mb", [1, 64, 128])
def test_a_single_body_of_the_largest_size_is_granted_on_the_smallest_host(memory_mb):
    """A reservation that exceeds its pool would be refused for ever."""
    bounds = derive_bounds(memory_mb, None)
    pool = BodyGrants(bounds.held_bytes, WAITING_COST_BYTES)
    assert pool.request("a", MAX_BODY_BYTES, 0) is GrantResult.GRANTED


def test_large_bodies_wait_in_order_and_are_granted_when_others_end():
    """Newcomers that take each free place would starve those that wait."""
    pool = grants()
    assert pool.request("a", MAX_BODY_BYTES, 0) is GrantResult.GRANTED
    assert pool.request("b", MAX_BODY_BYTES, 0) is GrantResult.WAITING
    assert pool.request("c", MB, 0) is GrantResult.WAITING
    pool.complete("a")
    assert pool.check(5_000).granted == []
    pool.release("a")
    assert pool.check(5_000).granted == ["b"]
    pool.release("b")
    assert pool.check(5_000).granted == ["c"]


def test_small_bodies_are_granted_beside_large_ones_that_wait():
    """Ordinary requests would wait behind a crowd of large ones."""
    pool = grants()
    for number in range(10):
        pool.request(number, MAX_BODY_BYTES, 0)
    assert pool.request("small", SMALL_BODY_BYTES, 0) is GrantResult.GRANTED


def test_a_stalled_upload_gives_way_only_to_one_that_waits():
    """Bodies that stop short would keep their grants for ever."""
    pool = grants()
    pool.request("a", MAX_BODY_BYTES, 0)
    assert pool.check(60_000).stalled == []
    pool.request("b", MAX_BODY_BYTES, 60_000)
    changes = pool.check(60_000)
    assert (changes.stalled, changes.granted) == (["a"], ["b"])


def test_an_upload_that_makes_progress_does_not_give_way():
    """A slow but well-behaved caller would be the first to be closed."""
    pool = grants()
    pool.request("slow", MAX_BODY_BYTES, 0)
    pool.request("next", MAX_BODY_BYTES, 0)
    for now_ms in range(100, 9_000, 100):
        pool.progress("slow", 8_192, now_ms)
        assert pool.check(now_ms).stalled == []


def test_a_trickling_upload_gives_way_after_a_while():
    """A byte now and then would keep a grant from those that wait."""
    pool = grants()
    pool.request("trickle", MAX_BODY_BYTES, 0)
    pool.request("next", MAX_BODY_BYTES, 0)
    granted_ms = []
    for now_ms in range(100, 9_000, 100):
        pool.progress("trickle", 1, now_ms)
        if pool.check(now_ms).granted:
            granted_ms.append(now_ms)
    assert granted_ms == [2_100]


def test_bodies_that_wait_are_bounded_in_number_and_time():
    """Each waiting body holds what it has sent, in the process and in the kernel."""
    pool = grants()
    pool.request("a", MAX_BODY_BYTES, 0)
    pool.complete("a")
    results = [pool.request(number, MAX_BODY_BYTES, 0) for number in range(100)]
    assert results.count(GrantResult.WAITING) == 32
    assert results[-1] is GrantResult.REFUSED
    assert pool.check(9_999).refused == []
    assert len(pool.check(10_000).refused) == 32
    assert pool.waiting() == 0


def test_a_body_that_grows_gives_its_small_grant_back():
    """Bodies without a length would keep the small ones waiting."""
    pool = grants(1)
    assert pool.request("a", SMALL_BODY_BYTES, 0) is GrantResult.GRANTED
    assert pool.request("b", SMALL_BODY_BYTES, 0) is GrantResult.WAITING
    assert pool.request("a", MAX_BODY_BYTES, 0) is GrantResult.GRANTED
    assert pool.check(0).granted == ["b"]


def holding(held_bytes, progress_ms=0, **values):
    return Holding(held_bytes, progress_ms, **values)


def test_nobody_gives_way_below_the_bound():
    assert choose_victims([holding(MB)], MB, MB, 1_000) == []


def test_those_that_held_most_for_longest_give_way_first():
    """A caller with a few bytes would be closed for the sake of one with megabytes."""
    small, recent, old = holding(1_000), holding(MB, 9_900), holding(MB, 1_000)
    assert choose_victims([small, recent, old], 2 * MB, int(1.5 * MB), 10_000) == [old]


def test_responses_give_way_after_requests_and_unread_ones_first():
    """A response that was cut off may have cost an execution."""
    request = holding(1_000, 9_000)
    unread = holding(MB, 1_000, has_response=True, is_working=True)
    read = holding(3 * MB, 9_900, has_response=True)
    working = holding(MB, 0, is_working=True)
    everyone = [working, read, unread, request]
    victims = choose_victims(everyone, 5 * MB, 1, 10_000)
    assert victims == [request, unread, read]


def test_an_upload_is_too_slow_only_below_the_rate_of_any_caller():
    """An upload of a byte now and then would stay open for days."""
    assert not is_upload_too_slow(0, 30_000)
    assert is_upload_too_slow(FREE_BODY_BYTES, 70_000)
    assert not is_upload_too_slow(2_000 * 70, 70_000)
