"""Follows which plain services refuse requests for lack of room.

Each daemon places the requests of a plain service by its own counts, so that a service of 18 slots
refused one request in four although it had room for more. While a service refuses, its requests are
therefore granted by a dispatcher, which counts those of all daemons.
"""

from collections.abc import Collection

from skylarkmoor_core.ids import HostId, ServiceName

__all__ = ["CrowdedServices"]

# Time without a refusal after which daemons place the requests by themselves again.
_CROWDED_MS = 10_000


class CrowdedServices:
    """Plain services that have refused this daemon or a peer for lack of room."""

    def __init__(self) -> None:
        self._refused_ms: dict[ServiceName, int] = {}
        self._peer_services: dict[HostId, frozenset[ServiceName]] = {}

    def record_refusal(self, service: ServiceName, now_ms: int) -> bool:
        """Record a refusal and return whether the service was not known to be crowded."""
        is_new = not self.is_crowded(service, now_ms)
        self._refused_ms[service] = now_ms
        return is_new

    def set_peer(self, peer: HostId, services: Collection[str]) -> None:
        """Set the services that have refused a peer within the time, as its last state says."""
        if services:
            self._peer_services[peer] = frozenset(ServiceName(each) for each in services)
        else:
            self._peer_services.pop(peer, None)

    def is_crowded(self, service: ServiceName, now_ms: int) -> bool:
        """Return whether the requests of a service need a slot of a dispatcher."""
        if not self._refused_ms and not self._peer_services:
            return False
        refused_ms = self._refused_ms.get(service)
        if refused_ms is not None and now_ms - refused_ms < _CROWDED_MS:
            return True
        return any(service in services for services in self._peer_services.values())

    def crowded(self, now_ms: int) -> frozenset[ServiceName]:
        """Return all services that are crowded."""
        return frozenset(self.own(now_ms)).union(*self._peer_services.values())

    def own(self, now_ms: int) -> tuple[ServiceName, ...]:
        """Return the services that have refused this daemon, to be reported to peers."""
        return tuple(
            sorted(
                service
                for service, refused_ms in self._refused_ms.items()
                if now_ms - refused_ms < _CROWDED_MS
            )
        )
