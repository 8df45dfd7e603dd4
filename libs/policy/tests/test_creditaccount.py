"""Tests a daemon's credit: late grants, unresponsive owners and needless preemption."""

import pytest

from skylarkmoor_core.messages import Grant
from skylarkmoor_policy.capacity import CostBounds
from skylarkmoor_policy.credit import LEASE_MS
from skylarkmoor_policy.creditaccount import CreditAccount, fallback_share


def _make_account(members=("a", "b")) -> CreditAccount:
    account = CreditAccount("u", 2, CostBounds(20, 1))
    account.set_members("b", "a", members)
    return account


def _make_grant(seq: int, allowed, answers: int, room=(0, 0)) -> Grant:
    return Grant("u", seq, allowed, LEASE_MS, answers, 20, room)


def test_fallback_shares_fit_the_capacity():
    for live in (1, 3, 7, 50):
        shares = [fallback_share(100, 10, live, rank) for rank in range(live)]
        assert sum(shares) <= 100


def test_lease_starts_when_the_demand_was_sent():
    account = _make_account()
    demand = account.next_demand(0, 100)
    # A grant may wait in the receive buffer of a paused daemon.
    account.apply_grant("b", _make_grant(1, (0, 20), demand.seq), 100 + LEASE_MS)
    assert not account.has_valid_lease(100 + LEASE_MS)
    assert account.startable_cost(0, 100 + LEASE_MS) == 0


def test_fallback_share_is_used_only_after_the_owner_times_out():
    account = _make_account()
    assert account.startable_cost(0, 0) == 0
    account.next_demand(0, 0)
    assert account.startable_cost(0, 100) == 0
    assert account.startable_cost(0, 300) == 10


def test_stale_grant_and_grant_from_a_non_owner_are_ignored():
    account = _make_account()
    demand = account.next_demand(0, 0)
    assert account.apply_grant("b", _make_grant(5, (0, 20), demand.seq), 1)
    assert not account.apply_grant("b", _make_grant(4, (0, 1), demand.seq), 2)
    assert not account.apply_grant("c", _make_grant(6, (0, 1), demand.seq), 2)
    assert account.startable_cost(1, 2) == 20


def test_higher_tier_uses_credit_of_lower_tiers_but_not_the_reverse():
    account = _make_account()
    account.apply_grant("b", _make_grant(1, (5, 3), account.next_demand(0, 0).seq), 1)
    assert account.startable_cost(0, 1) == 8
    assert account.startable_cost(1, 1) == 3


def test_credit_of_the_lowest_tier_is_not_used_twice():
    account = CreditAccount("u", 3, CostBounds(20, 1))
    account.set_members("b", "a", ("a", "b"))
    account.apply_grant("b", _make_grant(1, (0, 0, 10), account.next_demand(0, 0).seq), 1)
    account.record_start(1, 6, 1)
    account.record_start(2, 4, 1)
    assert account.startable_cost(0, 1) == 0


def test_kept_work_of_a_lower_tier_does_not_use_credit_of_a_higher_tier():
    account = _make_account()
    account.apply_grant("b", _make_grant(1, (0, 8), account.next_demand(0, 0).seq), 1)
    account.record_start(1, 8, 1)
    grant = Grant("u", 2, (2, 3), LEASE_MS, account.next_demand(0, 20).seq, 20, (0, 0), (2, 8))
    account.apply_grant("b", grant, 21)
    assert account.startable_cost(0, 21) == 2
    assert account.startable_cost(1, 21) == -5
    assert account.excess(21) == []


def test_work_unknown_to_the_owner_is_not_preempted_before_it_is_reported():
    account = _make_account()
    account.apply_grant("b", _make_grant(1, (0, 10), account.next_demand(0, 0).seq), 1)
    account.record_start(1, 8, 2)
    account.apply_grant("b", _make_grant(2, (0, 2), 0), 20)
    assert account.excess(20) == []
    assert account.is_demand_due(20)
    second_demand = account.next_demand(0, 20)
    assert second_demand.running == (0, 8)
    account.apply_grant("b", _make_grant(3, (0, 4), second_demand.seq), 22)
    assert account.excess(22) == [(1, 4), (0, 4)]


def test_higher_tier_preempts_work_of_this_daemon_while_the_owner_is_unresponsive():
    account = _make_account()
    account.apply_grant("b", _make_grant(1, (0, 10), account.next_demand(0, 0).seq), 1)
    account.record_start(1, 10, 1)
    account.set_waiting((4, 0), (1, 1))
    account.next_demand(0, 50)
    assert account.excess(100) == []
    assert account.excess(400) == [(1, 4)]


@pytest.mark.parametrize(
    ("waiting", "due"), [((0, 0), False), ((4, 0), False), ((6, 0), True), ((4, 1), True)]
)
def test_demand_is_due_only_when_needs_grew(waiting, due):
    account = _make_account()
    account.set_waiting((4, 0), (1, 1))
    account.next_demand(0, 0)
    account.set_waiting(waiting, (1, 1))
    assert account.is_demand_due(20) is due
