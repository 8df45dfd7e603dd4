"""Guards grants against lost and duplicated demands and against priority inversion."""

from skylarkmoor_core.messages import Demand
from skylarkmoor_policy.credit import LEASE_MS, CreditTable

SETTLED_MS = 1_000


def _demand(seq: int, running=(0, 0), waiting=(0, 0)) -> Demand:
    return Demand("u", seq, running, waiting, 0, (1, 1))


def _table() -> CreditTable:
    return CreditTable("u", 2, SETTLED_MS)


def _grants(table: CreditTable, now_ms: int, answer=None):
    return {host: grant.allowed for host, grant in table.grants(10, 10, 1, now_ms, answer)}


def test_older_and_repeated_demands_are_ignored():
    table = _table()
    assert table.update_demand("a", _demand(2, waiting=(5, 0)), SETTLED_MS)
    assert not table.update_demand("a", _demand(2), SETTLED_MS)
    assert not table.update_demand("a", _demand(1), SETTLED_MS)
    assert _grants(table, SETTLED_MS, "a") == {"a": (5, 5)}


def test_higher_tier_of_one_daemon_displaces_lower_tier_of_another():
    table = _table()
    table.update_demand("a", _demand(1, running=(0, 10)), SETTLED_MS)
    _grants(table, SETTLED_MS, "a")
    table.update_demand("b", _demand(1, waiting=(4, 0)), SETTLED_MS)
    grants = dict(table.grants(10, 10, 1, SETTLED_MS, "b"))
    # At first, the attempts of daemon a may complete, but it may start no new ones.
    assert (grants["a"].allowed, grants["a"].keep) == ((0, 6), (0, 10))
    assert grants["b"].allowed == (0, 0)
    grants = dict(table.grants(10, 10, 1, SETTLED_MS + 200))
    assert grants["a"].keep == (0, 6)
    assert grants["b"].allowed == (4, 0)


def test_higher_tier_starts_as_soon_as_lower_tier_work_ends():
    table = _table()
    table.update_demand("a", _demand(1, running=(0, 10)), SETTLED_MS)
    table.update_demand("b", _demand(1, waiting=(4, 0)), SETTLED_MS)
    assert _grants(table, SETTLED_MS, "b")["b"] == (0, 0)
    table.update_demand("a", _demand(2, running=(0, 8)), SETTLED_MS + 10)
    assert _grants(table, SETTLED_MS + 10, "a")["b"] == (2, 0)


def test_credit_of_a_silent_daemon_is_reassigned_after_its_lease():
    table = _table()
    table.update_demand("a", _demand(1, running=(10, 0)), SETTLED_MS)
    later_ms = SETTLED_MS + LEASE_MS - 1
    table.update_demand("b", _demand(1, waiting=(10, 0)), later_ms)
    assert _grants(table, later_ms, "b")["b"] == (0, 0)
    assert _grants(table, later_ms + 1)["b"] == (10, 0)


def test_new_owner_grants_nothing_before_the_settling_time():
    table = _table()
    table.update_demand("a", _demand(1, waiting=(10, 0)), 10)
    assert _grants(table, 10, "a") == {}
