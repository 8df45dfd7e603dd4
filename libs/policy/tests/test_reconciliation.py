"""Guards upstreams against keeping unwanted versions, also after delayed orders."""

from skylarkmoor_policy.movefollower import DesiredVersions
from skylarkmoor_policy.reconciliation import (
    ReportedVersions,
    VersionOrder,
    VersionOrderAction,
    reconcile,
)

BOTH_VERSIONS = DesiredVersions(("v1", "v2"), (), 9)


def reported(*loaded, loading=()):
    return ReportedVersions(frozenset(loaded), frozenset(loading))


def test_missing_version_is_loaded_with_the_fencing_token():
    assert reconcile({"u1": reported("v1")}, BOTH_VERSIONS) == [
        VersionOrder("u1", VersionOrderAction.LOAD, "v2", 9)
    ]


def test_no_order_for_a_version_that_is_loading_or_loaded():
    assert reconcile({"u1": reported("v1", loading=["v2"])}, BOTH_VERSIONS) == []
    assert reconcile({"u1": reported("v1", "v2")}, BOTH_VERSIONS) == []


def test_effect_of_a_delayed_order_without_fencing_is_repaired():
    # An upstream that ignores fencing tokens has unloaded the version in service, v2, and has
    # loaded v1.
    wanted = DesiredVersions(("v2",), (), 12)
    assert reconcile({"u1": reported("v1")}, wanted) == [
        VersionOrder("u1", VersionOrderAction.LOAD, "v2", 12)
    ]
    assert reconcile({"u1": reported("v1", "v2")}, wanted) == [
        VersionOrder("u1", VersionOrderAction.UNLOAD, "v1", 12)
    ]


def test_last_version_is_not_unloaded_while_the_wanted_one_is_missing():
    wanted = DesiredVersions(("v2",), (), 12)
    assert reconcile({"u1": reported("v1", loading=["v2"])}, wanted) == []


def test_tolerated_version_is_not_unloaded():
    assert reconcile({"u1": reported("v1", "v2")}, DesiredVersions(("v1",), ("v2",), 9)) == []


def test_concurrent_loads_are_limited():
    upstreams = {f"u{i}": reported("v1") for i in range(6)}
    upstreams["u0"] = reported("v1", loading=["v2"])
    orders = reconcile(upstreams, BOTH_VERSIONS, max_concurrent_loads=3)
    assert [order.upstream for order in orders] == ["u1", "u2"]
