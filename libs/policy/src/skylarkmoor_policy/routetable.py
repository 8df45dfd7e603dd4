"""Routes, limits and customers of one configuration version, and route matching."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import CustomerId, RequestId, RouteName, ServiceName
from skylarkmoor_policy.coldstarts import ColdStartLimit

__all__ = ["CallerLimits", "CustomerPolicy", "RetrySafety", "Route", "RouteTable"]


class RetrySafety(Enum):
    """Whether requests of a route may be retried after they were sent."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """How requests with a given HTTP host and path prefix are handled.

    Attributes
    ----------
    timeout_ms : int
        Time after which a request without an answer fails.
    goal_ms : int
        Target for the time to the first byte of a stream, or to the complete answer.
    tier : int
        Priority; 0 is the highest.
    split : tuple of (ServiceName, int)
        Services with their traffic weights.
    max_upstreams : int
        Maximum number of upstreams on which one request may run.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether a broken stream may be resumed at another upstream.
    max_event_gap_ms : int
        Target for the longest gap between the events of a stream; 0 for other routes.
    home_regions : frozenset of str
        Regions that its requests must not leave; empty for none.
    """

    name: RouteName
    host: str
    path_prefix: str
    retry_safety: RetrySafety
    timeout_ms: int
    goal_ms: int
    tier: int
    split: tuple[tuple[ServiceName, int], ...]
    max_upstreams: int
    public: bool = False
    resumable: bool = False
    max_event_gap_ms: int = 0
    home_regions: frozenset[str] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Whether a request may be retried after it was sent."""
        return self.retry_safety is RetrySafety.SAFE or self.resumable

    def service_for(self, request: RequestId) -> ServiceName:
        """Return the service of a request, chosen by weight; the same id gives the same service."""
        if len(self.split) == 1:
            return self.split[0][0]
        position = hash64(request) % sum(weight for _, weight in self.split)
        for service, weight in self.split:
            position -= weight
            if position < 0:
                return service
        return self.split[-1][0]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class CustomerPolicy:
    """A customer with its API keys and its fleet-wide rate limit.

    Attributes
    ----------
    tier : int or None
        Priority; overrides the tier of the route if set.
    units_per_s, burst_units : float
        Rate and burst of the limit; a rate of 0 means no limit.
    limits_tokens : bool
        Whether the limit counts tokens; otherwise it counts requests.
    default_tokens : int
        Tokens charged for a request without token counts.
    home_regions : frozenset of str
        Regions that its requests must not leave; empty for none.
    """

    name: CustomerId
    keys: tuple[str, ...]
    tier: int | None = None
    units_per_s: float = 0.0
    burst_units: float = 0.0
    limits_tokens: bool = False
    default_tokens: int = 1
    home_regions: frozenset[str] = frozenset()

    def units(self, tokens: int | None) -> int:
        """Return the units charged for a request; `tokens` is None if it has no token counts."""
        if not self.limits_tokens:
            return 1
        return max(0, self.default_tokens if tokens is None else tokens)


@dataclass(frozen=True)
class RouteTable:
    """The routes, limits and customers of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    customers: tuple[CustomerPolicy, ...] = ()
    requires_api_keys: bool = False
    # Limits of cold upstreams, by service.
    cold_starts: Mapping[ServiceName, ColdStartLimit] = field(default_factory=dict)
    _routes_by_host: dict[str, list[Route]] = field(default_factory=dict, init=False, repr=False)
    _customers_by_key: dict[str, CustomerPolicy] = field(
        default_factory=dict, init=False, repr=False
    )

    def __post_init__(self) -> None:
        # Longest prefix first, so that the first match is the longest.
        for route in sorted(self.routes, key=lambda each: -len(each.path_prefix)):
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for customer in self.customers:
            for key in customer.keys:
                self._customers_by_key[key] = customer

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Value of the request's ``Host`` header; a port is ignored.
        path : str
            Path of the request; a query string is ignored.
        """
        name = host.lower().partition(":")[0]
        path = path.partition("?")[0]
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def customer(self, key: str) -> CustomerPolicy | None:
        """Return the customer with the given API key, or None."""
        return self._customers_by_key.get(key)
