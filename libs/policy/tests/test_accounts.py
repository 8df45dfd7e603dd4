"""Guards a daemon's credit against late grants, a silent owner and needless preemption."""

import pytest

from skylarkmoor_core.messages import Grant
from skylarkmoor_policy.accounts import CreditAccount, fallback_share
from skylarkmoor_policy.capacity import Bounds
from skylarkmoor_policy.credit import LEASE_MS


def _account(members=("a", "b")) -> CreditAccount:
    account = CreditAccount("u", 2, Bounds(20, 1))
    account.set_members("b", "a", members)
    return account


def _grant(seq: int, allowed, answers: int, room=(0, 0)) -> Grant:
    return Grant("u", seq, allowed, LEASE_MS, answers, 20, room)


def test_fallback_shares_fit_the_capacity():
    for live in (1, 3, 7, 50):
        shares = [fallback_share(100, 10, live, rank) for rank in range(live)]
        assert sum(shares) <= 100


def test_lease_runs_from_the_demand_and_not_from_the_grant():
    account = _account()
    demand = account.demand(0, 100)
    # The grant waited in the buffer of a paused daemon.
    account.accept("b", _grant(1, (0, 20), demand.seq), 100 + LEASE_MS)
    assert not account.leased(100 + LEASE_MS)
    assert account.room(0, 100 + LEASE_MS) == 0


def test_fallback_share_needs_a_silent_owner():
    account = _account()
    assert account.room(0, 0) == 0
    account.demand(0, 0)
    assert account.room(0, 100) == 0
    assert account.room(0, 300) == 10


def test_older_grant_and_grant_of_another_daemon_are_ignored():
    account = _account()
    demand = account.demand(0, 0)
    assert account.accept("b", _grant(5, (0, 20), demand.seq), 1)
    assert not account.accept("b", _grant(4, (0, 1), demand.seq), 2)
    assert not account.accept("c", _grant(6, (0, 1), demand.seq), 2)
    assert account.room(1, 2) == 20


def test_higher_tier_uses_credit_of_lower_tiers_but_not_the_reverse():
    account = _account()
    account.accept("b", _grant(1, (5, 3), account.demand(0, 0).seq), 1)
    assert account.room(0, 1) == 8
    assert account.room(1, 1) == 3


def test_kept_work_of_a_lower_tier_does_not_use_up_credit_of_a_higher_one():
    account = _account()
    account.accept("b", _grant(1, (0, 8), account.demand(0, 0).seq), 1)
    account.start(1, 8, 1)
    grant = Grant("u", 2, (2, 3), LEASE_MS, account.demand(0, 20).seq, 20, (0, 0), (2, 8))
    account.accept("b", grant, 21)
    assert account.room(0, 21) == 2
    assert account.room(1, 21) == -5
    assert account.excess(21) == []


def test_work_unknown_to_the_owner_is_not_cut_before_it_is_told():
    account = _account()
    account.accept("b", _grant(1, (0, 10), account.demand(0, 0).seq), 1)
    account.start(1, 8, 2)
    account.accept("b", _grant(2, (0, 2), 0), 20)
    assert account.excess(20) == []
    assert account.due(20)
    told = account.demand(0, 20)
    assert told.running == (0, 8)
    account.accept("b", _grant(3, (0, 4), told.seq), 22)
    assert account.excess(22) == [(1, 4), (0, 4)]


def test_higher_tier_displaces_own_work_while_the_owner_is_silent():
    account = _account()
    account.accept("b", _grant(1, (0, 10), account.demand(0, 0).seq), 1)
    account.start(1, 10, 1)
    account.wait((4, 0), (1, 1))
    account.demand(0, 50)
    assert account.excess(100) == []
    assert account.excess(400) == [(1, 4)]


@pytest.mark.parametrize(
    ("waiting", "due"), [((0, 0), False), ((4, 0), False), ((6, 0), True), ((4, 1), True)]
)
def test_owner_hears_of_new_needs_only(waiting, due):
    account = _account()
    account.wait((4, 0), (1, 1))
    account.demand(0, 0)
    account.wait(waiting, (1, 1))
    assert account.due(20) is due
