"""Reconciliation of the model versions loaded on upstreams with the versions wanted."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from skylarkmoor_core.ids import Offset, UpstreamId, VersionId
from skylarkmoor_policy.movefollower import DesiredVersions

__all__ = ["ReportedVersions", "VersionOrder", "VersionOrderAction", "reconcile"]

# The weight store limits the download rate, so more concurrent loads would all take longer.
_MAX_CONCURRENT_LOADS = 4


class VersionOrderAction(Enum):
    """Whether an order loads or unloads a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class ReportedVersions:
    """Versions that an upstream reports as loaded, and ordered loads that are not complete."""

    loaded: frozenset[VersionId]
    loading: frozenset[VersionId] = frozenset()


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load or unload a version on an upstream.

    The sender of the order reads the upstream's report again afterwards.
    """

    upstream: UpstreamId
    action: VersionOrderAction
    version: VersionId
    fencing: Offset


def reconcile(
    reported: Mapping[UpstreamId, ReportedVersions],
    wanted: DesiredVersions,
    max_concurrent_loads: int = _MAX_CONCURRENT_LOADS,
) -> list[VersionOrder]:
    """Return the load and unload orders to send now.

    Parameters
    ----------
    reported : mapping
        The newest report of each upstream that is not leaving.
    wanted : DesiredVersions
        Versions to load, versions to tolerate and the fencing token of the orders.
    max_concurrent_loads : int
        Maximum number of loads in progress on all upstreams.

    Notes
    -----
    Orders depend only on the difference between the reported and the wanted versions. Calling
    this function for each report therefore also repairs the effects of a delayed order on an
    upstream that ignores fencing tokens. A version is unloaded only from an upstream that has
    loaded all wanted versions, so that the upstream always has one to run.
    """
    orders: list[VersionOrder] = []
    loads_in_progress = sum(len(versions.loading) for versions in reported.values())
    for upstream in sorted(reported):
        versions = reported[upstream]
        missing = [each for each in wanted.versions if each not in versions.loaded]
        for version in missing:
            if version not in versions.loading and loads_in_progress < max_concurrent_loads:
                loads_in_progress += 1
                orders.append(
                    VersionOrder(upstream, VersionOrderAction.LOAD, version, wanted.fencing)
                )
        if missing:
            continue
        unwanted = versions.loaded - {*wanted.versions, *wanted.tolerated}
        orders += [
            VersionOrder(upstream, VersionOrderAction.UNLOAD, version, wanted.fencing)
            for version in sorted(unwanted)
        ]
    return orders
