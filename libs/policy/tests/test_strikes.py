"""Guards upstreams against a request that crashes each of them."""

from skylarkmoor_policy.strikes import CrashStrikes


def test_a_request_is_blocked_after_four_broken_runs_anywhere():
    strikes = CrashStrikes()
    strikes.strike(1, 0)
    strikes.strike(1, 10)
    strikes.set_peer("peer", {1: 1})
    assert not strikes.is_blocked(1)
    strikes.set_peer("other", {1: 1})
    assert strikes.is_blocked(1)


def test_a_success_clears_the_own_strikes():
    strikes = CrashStrikes()
    for _ in range(4):
        strikes.strike(1, 0)
    strikes.clear(1)
    assert not strikes.is_blocked(1)


def test_strikes_expire():
    strikes = CrashStrikes()
    for _ in range(4):
        strikes.strike(1, 0)
    strikes.expire(60_001)
    assert not strikes.is_blocked(1)
    assert strikes.own() == {}


def test_the_state_is_bounded():
    strikes = CrashStrikes()
    for fingerprint in range(1_000):
        strikes.strike(fingerprint, 0)
    assert len(strikes.own()) == 256
