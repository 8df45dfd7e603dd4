"""Orders that bring upstreams to the versions wanted."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from skylarkmoor_core.ids import Offset, UpstreamId, VersionId
from skylarkmoor_policy.movefollower import Wanted

__all__ = ["Order", "OrderAction", "ReportedVersions", "reconcile"]

# The weight store's rate is limited; more loads at once would all end later.
_MAX_LOADS = 4


class OrderAction(Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class ReportedVersions:
    """What an upstream reports, and the loads ordered that it has not completed."""

    loaded: frozenset[VersionId]
    loading: frozenset[VersionId] = frozenset()


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an upstream; its report is to be read back afterwards."""

    upstream: UpstreamId
    action: OrderAction
    version: VersionId
    fencing: Offset


def reconcile(
    reported: Mapping[UpstreamId, ReportedVersions],
    wanted: Wanted,
    max_loads: int = _MAX_LOADS,
) -> list[Order]:
    """Return the orders that are due.

    Parameters
    ----------
    reported : mapping
        Upstreams that are not leaving, each with its latest report.
    max_loads : int
        Largest number of loads under way at once.

    Notes
    -----
    Orders follow from the difference between report and wish alone. Calling this with each
    report therefore also repairs what a late order did to an upstream that ignores fencing
    tokens. A version is unloaded only where all versions wanted are loaded, so that the
    upstream always has one to run.
    """
    orders: list[Order] = []
    loads = sum(len(versions.loading) for versions in reported.values())
    for upstream in sorted(reported):
        versions = reported[upstream]
        missing = [each for each in wanted.versions if each not in versions.loaded]
        for version in missing:
            if version not in versions.loading and loads < max_loads:
                loads += 1
                orders.append(Order(upstream, OrderAction.LOAD, version, wanted.fencing))
        if missing:
            continue
        unwanted = versions.loaded - {*wanted.versions, *wanted.tolerated}
        orders += [
            Order(upstream, OrderAction.UNLOAD, version, wanted.fencing)
            for version in sorted(unwanted)
        ]
    return orders
