"""Routes, services and customers in force, and the choice of a request's route."""

from dataclasses import dataclass, field
from enum import Enum

from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import CustomerId, RequestId, RouteName, ServiceName

__all__ = ["ApiCustomer", "CallerLimits", "Repeat", "Route", "RouteTable"]


class Repeat(Enum):
    """What of a route's requests may run again."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes
    ----------
    timeout_ms : int
        A request without an answer by then gets an error.
    goal_ms : int
        Time to the first byte of a stream, or to the whole answer, that counts as on time.
    tier : int
        0 is the highest.
    split : tuple of (ServiceName, int)
        Services with the weights of their share of the requests.
    max_upstreams : int
        Most upstreams on which one request may run.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether a stream may go on at another upstream.
    max_gap_ms : int
        Longest pause between the events of a stream that counts as on time; 0 if not a stream.
    """

    name: RouteName
    host: str
    path_prefix: str
    repeat: Repeat
    timeout_ms: int
    goal_ms: int
    tier: int
    split: tuple[tuple[ServiceName, int], ...]
    max_upstreams: int
    public: bool = False
    resumable: bool = False
    max_gap_ms: int = 0

    @property
    def idempotent(self) -> bool:
        """Whether a request may run again after it was sent."""
        return self.repeat is Repeat.SAFE or self.resumable

    def service_for(self, request: RequestId) -> ServiceName:
        """Return the service that takes a request; the same request always gets the same one."""
        if len(self.split) == 1:
            return self.split[0][0]
        point = hash64(request) % sum(weight for _, weight in self.split)
        for service, weight in self.split:
            point -= weight
            if point < 0:
                return service
        return self.split[-1][0]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send, and on how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class ApiCustomer:
    """A customer with its API keys and its limit over all daemons.

    Attributes
    ----------
    tier : int or None
        Takes precedence over the route's tier.
    units_per_s, burst_units : float
        The limit; a rate of 0 means none.
    counts_tokens : bool
        Whether a unit is a token or a request.
    plain_tokens : int
        Tokens that a request without token counts stands for.
    """

    name: CustomerId
    keys: tuple[str, ...]
    tier: int | None = None
    units_per_s: float = 0.0
    burst_units: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1

    def units(self, tokens: int | None) -> int:
        """Return what a request counts, from its token counts if it has them."""
        if not self.counts_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclass(frozen=True)
class RouteTable:
    """Everything that one version of the configuration says."""

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    customers: tuple[ApiCustomer, ...] = ()
    needs_keys: bool = False
    _by_host: dict[str, list[Route]] = field(default_factory=dict, init=False, repr=False)
    _by_key: dict[str, ApiCustomer] = field(default_factory=dict, init=False, repr=False)

    def __post_init__(self) -> None:
        # Longest prefix first, so that the first match is the longest.
        for route in sorted(self.routes, key=lambda each: -len(each.path_prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for customer in self.customers:
            for key in customer.keys:
                self._by_key[key] = customer

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None if none matches.

        Parameters
        ----------
        host : str
            Value of the request's ``Host`` header; a port is ignored.
        path : str
            Path of the request, with or without its query.
        """
        name = host.lower().partition(":")[0]
        path = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def customer(self, key: str) -> ApiCustomer | None:
        """Return the customer that holds an API key."""
        return self._by_key.get(key)
