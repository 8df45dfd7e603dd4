"""Guards against customers that take the slots of others, saved-up claims and lost fleet counts."""

import pytest

from skylarkmoor_policy.fairshares import FairShares

EQUAL = {"a": 1.0, "b": 1.0, "c": 1.0, "d": 1.0}


def granted(now_ms=0, **work_tokens):
    shares = FairShares()
    for customer, tokens in work_tokens.items():
        shares.record_grant(customer, tokens, now_ms)
    return shares


def test_customers_above_their_share_have_a_level_by_their_excess():
    shares = granted(a=1_000, b=1_000, c=2_500, d=11_500)
    assert shares.levels(EQUAL) == {"a": 0, "b": 0, "c": 0, "d": 2}
    # Among a, b and c, c has had more than its part.
    assert shares.levels({"a": 1.0, "b": 1.0, "c": 1.0}) == {"a": 0, "b": 0, "c": 1}


@pytest.mark.parametrize("names", [(), ("a",), ("a", "b")])
def test_without_contention_nobody_is_above_its_share(names):
    shares = granted(a=9_000, b=9_000)
    assert shares.levels(dict.fromkeys(names, 1.0)) == dict.fromkeys(names, 0)


def test_what_customers_of_other_classes_have_had_does_not_count():
    """With a flood of a higher tier in the sum, all customers of a lower one seemed below share."""
    shares = granted(higher=90_000, a=1_000, b=3_000)
    assert shares.levels({"a": 1.0, "b": 1.0}) == {"a": 0, "b": 1}


def test_shares_follow_the_weights():
    shares = granted(a=1_000, b=3_000)
    assert shares.levels({"a": 1.0, "b": 3.0}) == {"a": 0, "b": 0}
    assert shares.levels({"a": 3.0, "b": 1.0}) == {"a": 0, "b": 2}


def test_a_weight_of_zero_stands_for_the_mean():
    """A division by the weight failed, or the customer was always last."""
    shares = granted(a=1_000, b=1_000)
    assert shares.levels({"a": 0.0, "b": 1.0}) == {"a": 0, "b": 0}
    assert shares.levels({"a": 0.0, "b": 0.0}) == {"a": 0, "b": 0}


def test_an_idle_customer_saves_up_no_claim():
    """After an hour without requests, a customer could have taken all slots for minutes."""
    lags = []
    for idle_ms in (30_000, 3_600_000):
        shares = FairShares()
        for now_ms in range(idle_ms, idle_ms + 30_000, 100):
            shares.record_grant("busy", 1_000, now_ms)
        end_ms = idle_ms + 30_000
        while shares.levels({"busy": 1.0, "idle": 1.0})["idle"] == 0:
            shares.record_grant("idle", 1_000, end_ms)
        lags.append(shares.recent_work("idle", end_ms))
    # 10,000 tokens a second for one mean lifetime, and the tolerance.
    assert lags[0] == lags[1]
    assert 43_000 < lags[0] < 55_000


def test_shares_do_not_depend_on_how_long_the_process_runs():
    """The growing scale of the sums must be reset before it overflows."""
    for start_ms in (0, 10**10):
        shares = granted(a=4_000, now_ms=0)
        for now_ms in range(start_ms, start_ms + 3_000_000, 30_000):
            shares.record_grant("b", 1_000, now_ms)
            assert shares.recent_work("b", now_ms) == pytest.approx(1_000, rel=0.01)
        assert shares.levels({"a": 1.0, "b": 1.0}) == {"a": 0, "b": 2}


def test_grants_of_peers_count_once():
    """A successor counts what the others report; a report that is repeated changes nothing."""
    shares = granted(a=1_000)
    shares.add_peer_counts("peer", 1, {"b": 50_000}, 0)
    assert shares.recent_work("b", 0) == 0
    for _ in range(2):
        shares.add_peer_counts("peer", 1, {"b": 53_000}, 0)
    assert shares.recent_work("b", 0) == 3_000
    assert shares.levels({"a": 1.0, "b": 1.0}) == {"a": 0, "b": 1}


def test_the_counts_of_a_restarted_peer_begin_from_zero():
    shares = FairShares()
    shares.add_peer_counts("peer", 1, {"a": 50_000}, 0)
    shares.add_peer_counts("peer", 2, {"a": 4_000}, 0)
    assert shares.recent_work("a", 0) == 4_000


def test_reports_have_the_customers_with_recent_grants_only():
    sender, receiver = granted(a=1_000, b=2_000), FairShares()
    receiver.add_peer_counts("peer", 1, sender.granted_work(0, 100), 0)
    sender.record_grant("a", 500, 2_000)
    assert sender.granted_work(2_000, 100) == {"a": 1_500}
    # A large fleet reports less often.
    assert sender.granted_work(2_000, 1_000) == {"a": 1_500, "b": 2_000}
    receiver.add_peer_counts("peer", 1, sender.granted_work(2_000, 100), 2_000)
    assert receiver.recent_work("a", 2_000) == 500


def test_a_report_is_short_in_a_large_fleet():
    """With all 1,800 customers, the states of one dispatcher would be 27 kB each."""
    shares = granted(**{f"customer-{number}": 100 + number for number in range(1_800)})
    assert set(shares.granted_work(0, 100)) == {f"customer-{n}" for n in range(1_768, 1_800)}


def test_customers_without_grants_are_removed():
    """Names of customers of earlier configurations would be kept for good."""
    sender, receiver = granted(a=1_000), FairShares()
    receiver.add_peer_counts("peer", 1, sender.granted_work(0, 100), 0)
    sender.expire(61_000)
    receiver.expire(61_000)
    assert not sender._scaled_work
    assert not sender._own
    assert not receiver._scaled_work
    assert not receiver._peers["peer"].counts
    # The count has begun again from zero, and the peer was heard all the time.
    sender.record_grant("a", 700, 61_000)
    receiver.add_peer_counts("peer", 1, sender.granted_work(61_000, 100), 61_000)
    assert receiver.recent_work("a", 61_000) == 700


def test_the_memory_is_bounded():
    shares = FairShares()
    for number in range(5_000):
        shares.record_grant(f"customer-{number}", 1_000 + number, 0)
    assert len(shares._scaled_work) == len(shares._own) == 4_096
