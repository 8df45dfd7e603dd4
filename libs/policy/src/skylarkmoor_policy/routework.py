"""How much work the requests of each route and service usually are."""

from skylarkmoor_core.ids import RouteName, ServiceName

__all__ = ["RouteWork"]

# Averages follow about the last 20 requests.
_WEIGHT = 0.05
# A route whose requests are less than this part of the service's usual work counts as small.
_SMALL_PART = 0.5


class RouteWork:
    """Moving means of the work of requests, in prompt tokens.

    Notes
    -----
    Whole routes are small or not. Ranking single requests by their size would leave the largest
    requests of a route unserved under overload.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceName, float] = {}
        self._routes: dict[tuple[ServiceName, RouteName], float] = {}

    def is_small(self, service: ServiceName, route: RouteName, work_tokens: float) -> bool:
        """Note a request and return whether its route's requests are small for the service."""
        usual = self._services.get(service, work_tokens)
        self._services[service] = usual + _WEIGHT * (work_tokens - usual)
        key = (service, route)
        mean = self._routes.get(key, work_tokens)
        self._routes[key] = mean + _WEIGHT * (work_tokens - mean)
        return self._routes[key] < _SMALL_PART * self._services[service]
