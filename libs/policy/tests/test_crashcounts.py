"""Guards upstreams against a request that crashes each of them."""

from skylarkmoor_policy.crashcounts import CrashCounts


def test_a_request_is_blocked_after_four_broken_runs_anywhere():
    counts = CrashCounts()
    counts.add(1, 0)
    counts.add(1, 10)
    counts.set_peer("peer", {1: 1})
    assert not counts.is_blocked(1)
    counts.set_peer("other", {1: 1})
    assert counts.is_blocked(1)


def test_a_success_clears_the_own_counts():
    counts = CrashCounts()
    for _ in range(4):
        counts.add(1, 0)
    counts.clear(1)
    assert not counts.is_blocked(1)


def test_crashcounts_expire():
    counts = CrashCounts()
    for _ in range(4):
        counts.add(1, 0)
    counts.expire(60_001)
    assert not counts.is_blocked(1)
    assert counts.own() == {}


def test_the_state_is_bounded():
    counts = CrashCounts()
    for fingerprint in range(1_000):
        counts.add(fingerprint, 0)
    assert len(counts.own()) == 256
