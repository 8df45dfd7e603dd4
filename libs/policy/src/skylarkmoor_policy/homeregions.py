"""Decides where requests with home regions may be sent."""

from collections.abc import Mapping

from skylarkmoor_core.ids import FailureDomain

__all__ = ["RegionMap", "home_regions"]


def home_regions(
    route_regions: frozenset[str], customer_regions: frozenset[str]
) -> frozenset[str] | None:
    """Return the regions that a request must not leave, None if it may be sent anywhere.

    Examples
    --------
    >>> home_regions(frozenset({"north", "south"}), frozenset({"south", "west"}))
    frozenset({'south'})
    >>> home_regions(frozenset(), frozenset()) is None
    True
    """
    if route_regions and customer_regions:
        return route_regions & customer_regions
    return route_regions or customer_regions or None


class RegionMap:
    """The regions of the failure domains.

    Parameters
    ----------
    regions : mapping
        Region of each failure domain.
    own_region : str
        Region of this host; empty if it is not known.

    Notes
    -----
    A failure domain without a region is in no home region.
    """

    def __init__(
        self, regions: Mapping[FailureDomain, str] | None = None, own_region: str = ""
    ) -> None:
        self._regions = dict(regions or {})
        self._own_region = own_region

    def is_home(self, domain: FailureDomain, regions: frozenset[str] | None) -> bool:
        """Return whether a request may run in a failure domain."""
        return regions is None or self._regions.get(domain, "") in regions - {""}

    def may_pass(self, domain: FailureDomain, regions: frozenset[str] | None) -> bool:
        """Return whether the body of a request may pass a gateway of a failure domain.

        Notes
        -----
        It has been in the region of this host already, which holds the caller's connection.
        """
        region = self._regions.get(domain, "")
        is_own = bool(region) and region == self._own_region
        return is_own or self.is_home(domain, regions)
