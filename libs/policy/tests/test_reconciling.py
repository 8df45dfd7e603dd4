"""Guards upstreams against staying at versions that nobody wants, whatever late orders did."""

from skylarkmoor_policy.movefollower import Wanted
from skylarkmoor_policy.reconciling import Order, OrderAction, ReportedVersions, reconcile

BOTH = Wanted(("v1", "v2"), (), 9)


def reported(*loaded, loading=()):
    return ReportedVersions(frozenset(loaded), frozenset(loading))


def test_missing_version_is_loaded_with_the_steps_offset():
    assert reconcile({"u1": reported("v1")}, BOTH) == [Order("u1", OrderAction.LOAD, "v2", 9)]


def test_nothing_is_ordered_twice_or_without_need():
    assert reconcile({"u1": reported("v1", loading=["v2"])}, BOTH) == []
    assert reconcile({"u1": reported("v1", "v2")}, BOTH) == []


def test_late_order_that_was_not_fenced_off_is_repaired():
    # An upstream that ignores tokens unloaded the version in service and loaded another one.
    wanted = Wanted(("v2",), (), 12)
    assert reconcile({"u1": reported("v1")}, wanted) == [Order("u1", OrderAction.LOAD, "v2", 12)]
    assert reconcile({"u1": reported("v1", "v2")}, wanted) == [
        Order("u1", OrderAction.UNLOAD, "v1", 12)
    ]


def test_last_version_is_not_unloaded_while_the_wanted_one_is_missing():
    wanted = Wanted(("v2",), (), 12)
    assert reconcile({"u1": reported("v1", loading=["v2"])}, wanted) == []


def test_stopped_version_stays_until_the_log_authorises_its_removal():
    assert reconcile({"u1": reported("v1", "v2")}, Wanted(("v1",), ("v2",), 9)) == []


def test_loads_at_once_are_bounded():
    upstreams = {f"u{i}": reported("v1") for i in range(6)}
    upstreams["u0"] = reported("v1", loading=["v2"])
    orders = reconcile(upstreams, BOTH, max_loads=3)
    assert [order.upstream for order in orders] == ["u1", "u2"]
