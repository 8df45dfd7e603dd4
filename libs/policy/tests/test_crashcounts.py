"""Tests that a request that crashes its upstreams is blocked, also across gateways."""

from skylarkmoor_policy.crashcounts import CrashCounts


def test_request_is_blocked_after_four_crashes_over_all_gateways():
    counts = CrashCounts()
    counts.add(1, 0)
    counts.add(1, 10)
    counts.set_peer_counts("peer", {1: 1})
    assert not counts.is_blocked(1)
    counts.set_peer_counts("other", {1: 1})
    assert counts.is_blocked(1)


def test_success_clears_the_local_count():
    counts = CrashCounts()
    for _ in range(4):
        counts.add(1, 0)
    counts.clear(1)
    assert not counts.is_blocked(1)


def test_crash_counts_expire():
    counts = CrashCounts()
    for _ in range(4):
        counts.add(1, 0)
    counts.expire(60_001)
    assert not counts.is_blocked(1)
    assert counts.local_counts() == {}


def test_number_of_fingerprints_is_bounded():
    counts = CrashCounts()
    for fingerprint in range(1_000):
        counts.add(fingerprint, 0)
    assert len(counts.local_counts()) == 256
