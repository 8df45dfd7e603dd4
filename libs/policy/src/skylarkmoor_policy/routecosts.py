"""Average request cost of each route and service."""

from skylarkmoor_core.ids import RouteName, ServiceName

__all__ = ["RouteCosts"]

# Weight of a new value in the moving averages, which cover about the last 20 requests.
_AVERAGE_WEIGHT = 0.05
# A route is small if its average cost is below this fraction of the service's.
_SMALL_FRACTION = 0.5


class RouteCosts:
    """Exponential moving averages of the cost of requests, in prompt tokens.

    Notes
    -----
    Routes are classified rather than requests. Ranking single requests by size would starve the
    largest requests of a route under overload.
    """

    def __init__(self) -> None:
        self._service_means: dict[ServiceName, float] = {}
        self._route_means: dict[tuple[ServiceName, RouteName], float] = {}

    def observe_and_classify(
        self, service: ServiceName, route: RouteName, work_tokens: float
    ) -> bool:
        """Record a request and return whether its route is small compared with the service."""
        service_mean = self._service_means.get(service, work_tokens)
        self._service_means[service] = service_mean + _AVERAGE_WEIGHT * (work_tokens - service_mean)
        key = (service, route)
        route_mean = self._route_means.get(key, work_tokens)
        self._route_means[key] = route_mean + _AVERAGE_WEIGHT * (work_tokens - route_mean)
        return self._route_means[key] < _SMALL_FRACTION * self._service_means[service]
