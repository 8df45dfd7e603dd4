"""Guards against exceeded fleet-wide limits, and refusals of customers within their limits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkmoor_policy.fleetlimits import FleetQuotas, FleetRetryBudget, PeerCounters
from skylarkmoor_policy.limitshares import limit_group
from skylarkmoor_policy.routetable import CustomerPolicy

CUSTOMER = CustomerPolicy(
    "depots", ("k",), units_per_s=1_000, burst_units=1_000, limits_tokens=True
)


def test_growth_counts_only_what_is_new():
    counts = PeerCounters()
    assert counts.increments("peer", 1, {"a": 5}) == {}
    assert counts.increments("peer", 1, {"a": 7}) == {"a": 2}
    # An older report that arrives late changes nothing.
    assert counts.increments("peer", 1, {"a": 6}) == {}


def test_growth_of_a_restarted_peer_counts_from_zero():
    """Otherwise its requests would not count until they exceed the count before its restart."""
    counts = PeerCounters()
    counts.increments("peer", 1, {"a": 100})
    assert counts.increments("peer", 2, {"a": 3}) == {"a": 3}


def test_a_quota_is_shared_with_the_peers():
    quotas = FleetQuotas()
    assert quotas.admit(CUSTOMER, 400, 0) is None
    quotas.deduct_peer_units("depots", 600, 0)
    assert quotas.admit(CUSTOMER, 100, 0) == 100
    assert quotas.admit(CUSTOMER, 100, 100) is None


def test_a_part_of_the_tolerance_is_admitted():
    """An exact bucket refuses requests within the limit if daemons see them in another order."""
    quotas = FleetQuotas(window_ms=8_000, overshoot_fraction=0.1, slack_units=100)
    # The tolerance is 0.1 * (8 * 1000 + 1000) + 100 = 1000, of which 600 enlarge the bucket.
    assert quotas.admit(CUSTOMER, 1_600, 0) is None
    assert quotas.admit(CUSTOMER, 1, 0) is not None


@given(
    st.lists(st.tuples(st.integers(0, 900), st.integers(1, 900)), max_size=120),
    st.integers(0, 120),
)
def test_no_window_admits_more_than_the_platform_allows(steps, restart):
    """Buckets that restart full exceed the limit when all daemons are killed during a flood.

    One run admitted 600,717 tokens where 571,160 were allowed.
    """
    quotas = FleetQuotas(window_ms=8_000, overshoot_fraction=0.1, slack_units=100)
    now_ms, admitted = 0, []
    for number, (pause_ms, units) in enumerate(steps):
        if number == restart:
            quotas = FleetQuotas(8_000, 0.1, 100, first_start=False)
        now_ms += pause_ms
        if quotas.admit(CUSTOMER, units, now_ms) is None:
            admitted.append((now_ms, units))
        window = [u for at_ms, u in admitted if at_ms > now_ms - 8_000]
        assert sum(window) <= (8 * 1_000 + 1_000) * 1.1 + 100


def test_customers_within_their_limit_are_served_after_a_restart():
    """Empty buckets after a restart of all daemons gave 429 to four customers within limits."""
    quotas = FleetQuotas(8_000, 0.1, 100, first_start=False)
    assert quotas.admit(CUSTOMER, 200, 0) is None


def test_a_request_above_the_bucket_passes_when_it_is_full():
    """Otherwise a request larger than the bucket would never be admitted."""
    quotas = FleetQuotas()
    assert quotas.admit(CUSTOMER, 5_000, 0) is None
    assert quotas.admit(CUSTOMER, 1, 1_000) is not None


def test_a_daemon_admits_only_its_share_of_the_limit():
    """Otherwise both sides of a partition would admit the whole limit."""
    quotas = FleetQuotas()
    quotas.admit(CUSTOMER, 200, 0)
    quotas.set_shares({limit_group("depots"): 0.25}, 0)
    assert quotas.admit(CUSTOMER, 300, 0) is not None
    assert quotas.admit(CUSTOMER, 200, 0) is None
    assert quotas.admit(CUSTOMER, 300, 1_000) is not None
    assert quotas.admit(CUSTOMER, 250, 1_000) is None


def test_a_share_without_requests_refills_at_the_lower_rate():
    """Otherwise the first request after a quiet time would get units of the whole fleet."""
    quotas = FleetQuotas()
    quotas.admit(CUSTOMER, 1_000, 0)
    quotas.set_shares({limit_group("depots"): 0.25}, 0)
    assert quotas.admit(CUSTOMER, 126, 500) is not None
    assert quotas.admit(CUSTOMER, 125, 500) is None
    # A share holds its part of the burst, too.
    assert quotas.admit(CUSTOMER, 251, 4_000) is not None
    assert quotas.admit(CUSTOMER, 250, 4_000) is None


def test_customers_without_a_rate_have_no_limit():
    assert FleetQuotas().admit(CustomerPolicy("a", ()), 10**9, 0) is None


def test_retries_stay_within_the_budget_of_the_fleet():
    retries = FleetRetryBudget(ratio=0.2, window_ms=10_000, slack=10)
    for _ in range(100):
        retries.count_request("orders", 0)
    taken = sum(retries.try_acquire("orders", 0) for _ in range(100))
    assert taken == 30
    assert not retries.try_acquire("orders", 9_000)


def test_retries_of_peers_count_against_the_budget():
    retries = FleetRetryBudget(ratio=0.2, window_ms=10_000, slack=10)
    retries.set_fleet_state(10, True, 100)
    retries.add_peer_counts("orders", 0, 5, 0)
    # The usable half of the shared budget is spent, so only the share of this daemon is left.
    assert sum(retries.try_acquire("orders", 0) for _ in range(10)) == 1


def test_a_partitioned_daemon_keeps_to_its_own_retry_share():
    retries = FleetRetryBudget(ratio=0.0, window_ms=10_000, slack=100)
    retries.set_fleet_state(10, False, 100)
    assert sum(retries.try_acquire("orders", 0) for _ in range(100)) == 10


def test_the_retry_budget_is_restored_after_the_window():
    retries = FleetRetryBudget(ratio=0.0, window_ms=10_000, slack=1)
    assert retries.try_acquire("orders", 0)
    assert not retries.try_acquire("orders", 9_999)
    assert retries.try_acquire("orders", 10_000)


def test_the_first_requests_of_a_customer_at_a_peer_count():
    """The first report of each customer was dropped, which 33 gateways did 33 times."""
    counts = PeerCounters(complete=True)
    assert counts.increments("peer", 1, {"a": 5}) == {}
    assert counts.increments("peer", 1, {"a": 5, "b": 3}) == {"b": 3}
    assert counts.increments("peer", 2, {"c": 4}) == {"c": 4}


def test_counts_of_reports_that_are_not_complete_start_at_the_first_one():
    counts = PeerCounters()
    counts.increments("peer", 1, {"a": 5})
    assert counts.increments("peer", 1, {"b": 3}) == {}


@pytest.mark.parametrize("is_known", [True, False])
def test_what_peers_admit_counts_before_the_first_request_here(is_known):
    """A bucket began full at each gateway that a customer came to."""
    quotas = FleetQuotas()
    if is_known:
        quotas.set_customers([CUSTOMER], 0)
    quotas.deduct_peer_units("depots", 900, 0)
    quotas.set_customers([CUSTOMER], 0)
    assert quotas.admit(CUSTOMER, 101, 0) is not None
    assert quotas.admit(CUSTOMER, 100, 0) is None


def test_what_peers_admit_is_refilled_like_own_units():
    quotas = FleetQuotas()
    quotas.set_customers([CUSTOMER], 0)
    quotas.deduct_peer_units("depots", 900, 0)
    assert quotas.admit(CUSTOMER, 600, 500) is None


def test_units_that_peers_admit_while_a_bucket_is_full_are_not_refilled_at_once():
    quotas = FleetQuotas()
    quotas.set_customers([CUSTOMER], 0)
    quotas.deduct_peer_units("depots", 900, 10_000)
    assert quotas.admit(CUSTOMER, 101, 10_000) is not None


def test_a_new_customer_of_a_later_configuration_has_its_whole_burst():
    """Only the first configuration of a process may follow requests of an earlier one."""
    quotas = FleetQuotas(first_start=False)
    quotas.set_customers([CUSTOMER], 0)
    later = CustomerPolicy("hubs", ("h",), units_per_s=1_000, burst_units=1_000)
    quotas.set_customers([CUSTOMER, later], 1_000)
    assert quotas.admit(later, 1_000, 1_000) is None


def test_a_lower_limit_applies_at_once():
    quotas = FleetQuotas()
    quotas.set_customers([CUSTOMER], 0)
    lower = CustomerPolicy("depots", ("k",), units_per_s=100, burst_units=100)
    quotas.set_customers([lower], 1_000)
    assert quotas.admit(lower, 100, 1_000) is None
    assert quotas.admit(lower, 100, 1_500) is not None


def test_a_share_that_was_taken_over_begins_empty():
    """Its last holder may have granted all of it."""
    group = limit_group("depots")
    quotas = FleetQuotas()
    quotas.set_customers([CUSTOMER], 0)
    quotas.set_shares({}, 0)
    assert quotas.take(CUSTOMER, 100, 5_000) == 0
    quotas.set_shares({group: 0.5}, 10_000)
    assert quotas.take(CUSTOMER, 100, 10_000) == 0
    assert quotas.take(CUSTOMER, 100, 10_100) == 50


def test_a_share_that_was_given_up_is_not_kept():
    quotas = FleetQuotas()
    quotas.set_shares({limit_group("depots"): 0.5}, 0)
    assert quotas.take(CUSTOMER, 100, 0) == 100
    quotas.set_shares({}, 0)
    assert quotas.take(CUSTOMER, 100, 0) == 0


def test_units_of_an_unused_grant_are_available_again():
    quotas = FleetQuotas()
    assert quotas.take(CUSTOMER, 1_500, 0) == 1_000
    quotas.give_back("depots", 400, 0)
    assert quotas.left("depots", 0) == 400
    quotas.give_back("depots", 5_000, 0)
    assert quotas.left("depots", 0) == 1_000
    quotas.give_back("depots", -1_200, 0)
    assert quotas.left("depots", 0) == -200
