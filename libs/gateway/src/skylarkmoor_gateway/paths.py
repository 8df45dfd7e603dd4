"""Connections to the upstreams, direct ones and those through peers, and which of them work."""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.ids import FailureDomain, HostId, ServiceName, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.settings import Address
from skylarkmoor_gateway.readpacing import ReadPacer
from skylarkmoor_gateway.tunnels import TunnelEndpoint, TunnelServerFactory
from skylarkmoor_gateway.upstreams import ConnectionLimits, UpstreamConnection, UpstreamPool
from skylarkmoor_policy.memorybounds import MemoryBounds
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.reachability import DirectPath, Path, PeerPath, Reachability

__all__ = ["UpstreamPaths"]

_log = part_logger("paths")


@dataclass(frozen=True, slots=True)
class _Observer:
    """Records what the direct connections to an upstream show of its path."""

    paths: "UpstreamPaths"
    upstream: UpstreamId

    def connected(self) -> None:
        self.paths._connected(self.upstream)

    def failed(self, reason: str) -> None:
        self.paths._failed(self.upstream, reason)

    def heard(self) -> None:
        self.paths._heard(self.upstream)


class UpstreamPaths:
    """Connection pools of all upstreams, by path, and the tunnels that peers have asked for.

    Parameters
    ----------
    reactor : reactor
        Twisted's reactor.
    clock : Clock
        Time source.
    rng : random.Random
        Draws the peers that are compared.
    placement : Placement
        The listed upstreams.
    failure_domain : FailureDomain
        Failure domain of this host.
    bounds : MemoryBounds, optional
        Bounds of the connections.

    Attributes
    ----------
    reachability : Reachability
        What is known of the paths; the peers are set by the fleet.
    limits : ConnectionLimits
        Bounds of the connections to upstreams.
    tunnels : TunnelServerFactory
        Accepts connections of peers that are passed on to upstreams.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        placement: Placement,
        failure_domain: FailureDomain,
        bounds: MemoryBounds | None = None,
    ) -> None:
        bounds = bounds or MemoryBounds()
        self.reachability = Reachability(failure_domain, rng)
        self.tunnels = TunnelServerFactory(
            reactor,
            self._tunnel_refusal,
            self._connected,
            self._failed,
            self._is_evacuated,
            bounds.max_tunnels,
            bounds.kernel_buffer_bytes,
        )
        self.limits = ConnectionLimits(bounds.max_idle_upstreams, bounds.kernel_buffer_bytes)
        self._reactor = reactor
        self._pacer = ReadPacer(reactor)
        self._clock = clock
        self._placement = placement
        self._direct_pools: dict[UpstreamId, UpstreamPool] = {}
        self._peer_pools: dict[tuple[UpstreamId, HostId], UpstreamPool] = {}
        # Services of which no upstream is reached from here, although peers reach some.
        self._services_cut_off: set[ServiceName] = set()

    def set_upstream(
        self, upstream: UpstreamId, address: tuple[str, int], *, started_again: bool
    ) -> None:
        """Add an upstream or update its address; a restart ends its connections as well."""
        pool = self._direct_pools.get(upstream)
        if pool is None or pool.address != address or started_again:
            self.remove_upstream(upstream)
            observer = _Observer(self, upstream)
            self._direct_pools[upstream] = UpstreamPool(
                self._reactor,
                self._clock,
                address,
                observer,
                pacer=self._pacer,
                limits=self.limits,
            )

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Close the idle connections to an upstream, and forget its path."""
        self.reachability.forget(upstream)
        pool = self._direct_pools.pop(upstream, None)
        if pool is not None:
            pool.close()
        for key in [each for each in self._peer_pools if each[0] == upstream]:
            self._peer_pools.pop(key).close()

    def pool(self, upstream: UpstreamId, peer: HostId | None = None) -> UpstreamPool | None:
        """Return the connections to an upstream, direct or through a peer; None if unknown."""
        direct = self._direct_pools.get(upstream)
        if peer is None or direct is None:
            return direct
        known = self._peer_pools.get((upstream, peer))
        if known is not None:
            return known
        address = self.reachability.peer_address(peer)
        if address is None:
            return None
        endpoint = TunnelEndpoint(self._reactor, address, upstream, direct.address)
        pool = UpstreamPool(
            self._reactor,
            self._clock,
            direct.address,
            endpoint=endpoint,
            pacer=self._pacer,
            limits=self.limits,
        )
        self._peer_pools[upstream, peer] = pool
        return pool

    def path(self, upstream: UpstreamId, exclude: Collection[HostId] = ()) -> Path:
        """Return the path on which a request is to be sent to an upstream.

        Parameters
        ----------
        exclude : collection of HostId
            Peers that have been tried for the request.
        """
        return self.reachability.path(upstream, self._clock.now_ms(), exclude)

    def barred_peers(self, regions: frozenset[str]) -> set[HostId]:
        """Return the peers that the body of a request with home regions may not pass."""
        domains = self.reachability.peer_domains()
        return {
            host
            for host, domain in domains.items()
            if not self._placement.regions.may_pass(domain, regions)
        }

    def working_pool(self, upstream: UpstreamId) -> UpstreamPool | None:
        """Return the connections on the path to an upstream; None if it is unknown."""
        match self.path(upstream):
            case PeerPath(host=host):
                return self.pool(upstream, host)
            case DirectPath():
                return self.pool(upstream)

    def peer_failed(self, peer: HostId, upstream: UpstreamId | None = None) -> None:
        """Record that a peer could not be reached, or could not reach an upstream."""
        self.reachability.peer_failed(peer, self._clock.now_ms(), upstream)

    def is_lost(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is not reached from here although a peer reaches it."""
        return self.reachability.is_path_lost(upstream, self._clock.now_ms())

    def is_silent(self, service: ServiceName) -> bool:
        """Return whether no upstream of a service has sent anything here lately."""
        upstreams = self._placement.upstreams_of(service)
        return self.reachability.is_silent(upstreams, self._clock.now_ms())

    def check(self, awaited: Mapping[ServiceName, Collection[UpstreamId]]) -> None:
        """Try the paths that are down, and those on which answers are awaited in vain.

        Parameters
        ----------
        awaited : mapping
            Upstreams that are silent although they have been sent requests, by service.

        Notes
        -----
        Without peers that could be asked, the requests themselves are sufficient.
        """
        if not self.reachability.has_peers():
            return
        now_ms = self._clock.now_ms()
        for upstream in self.reachability.due_probes(now_ms):
            self._probe(upstream)
        for service, upstreams in awaited.items():
            if self.is_silent(service):
                self._probe_suspects(upstreams, now_ms)

    def maintain(self) -> None:
        """Close connections that have been idle for long, and log cuts that begin or end."""
        for pool in self._direct_pools.values():
            pool.close_expired()
        for (upstream, peer), pool in list(self._peer_pools.items()):
            pool.close_expired()
            if not self.reachability.has_peer(peer):
                self._peer_pools.pop((upstream, peer)).close()
        for service in self._services():
            self._check_service(service)

    def close(self) -> None:
        """Close all idle connections, and reset the tunnels."""
        for pool in (*self._direct_pools.values(), *self._peer_pools.values()):
            pool.close()
        self.tunnels.close()

    def _services(self) -> set[ServiceName]:
        return {each.registration.service for each in self._placement.upstreams.values()}

    def _tunnel_refusal(self, upstream: UpstreamId, address: Address) -> str | None:
        """Return why no connection of a peer is passed on to an upstream, None if it may be."""
        known = self._placement.upstreams.get(upstream)
        if known is None or known.registration.address != (address.host, address.port):
            return "the upstream is unknown or has another address"
        if known.leaving or known.replaced:
            return "the upstream is leaving or was replaced"
        if known.evacuated:
            return "the failure domain of the upstream is evacuated"
        if self.reachability.is_down(upstream):
            return "the upstream is not reached from here either"
        return None

    def _is_evacuated(self, upstream: UpstreamId) -> bool:
        known = self._placement.upstreams.get(upstream)
        return known is not None and known.evacuated

    def _connected(self, upstream: UpstreamId) -> None:
        if self.reachability.connected(upstream, self._clock.now_ms()):
            _log.info("path to an upstream is up again", extra={"upstream": upstream})

    def _failed(self, upstream: UpstreamId, reason: str) -> None:
        now_ms = self._clock.now_ms()
        if not self.reachability.failed(upstream, now_ms):
            return
        _log.warning(
            "path to an upstream is down",
            extra={
                "upstream": upstream,
                "why": reason,
                "reached_by_peers": self.reachability.is_path_lost(upstream, now_ms),
            },
        )
        pool = self._direct_pools.get(upstream)
        if pool is not None:
            pool.close()
        if self.reachability.has_peers():
            for service in self._services():
                if self.is_silent(service):
                    self._probe_suspects(self._placement.upstreams_of(service), now_ms)

    def _heard(self, upstream: UpstreamId) -> None:
        self.reachability.heard(upstream, self._clock.now_ms())

    def _probe_suspects(self, upstreams: Collection[UpstreamId], now_ms: int) -> None:
        for upstream in self.reachability.suspects(sorted(upstreams), now_ms):
            self._probe(upstream)

    def _probe(self, upstream: UpstreamId) -> None:
        """Connect to an upstream to find out whether it is reached; the connection is kept."""
        pool = self._direct_pools.get(upstream)
        if pool is None:
            return

        def keep(connection: UpstreamConnection) -> None:
            if self._direct_pools.get(upstream) is pool:
                pool.release(connection)
            else:
                connection.abort()

        # The observer of the pool has recorded a failure.
        pool.connect().addCallbacks(keep, lambda failure: None)

    def _check_service(self, service: ServiceName) -> None:
        """Log when this gateway begins or ceases to depend on peers for a whole service."""
        upstreams = self._placement.upstreams_of(service)
        lost = [upstream for upstream in upstreams if self.is_lost(upstream)]
        is_cut_off = bool(lost) and all(map(self.reachability.is_down, upstreams))
        if is_cut_off and service not in self._services_cut_off:
            self._services_cut_off.add(service)
            _log.warning(
                "cut off from a service; sending through peers",
                extra={"service": service, "upstreams": len(upstreams), "lost": len(lost)},
            )
        elif service in self._services_cut_off and len(lost) < len(upstreams):
            self._services_cut_off.discard(service)
            _log.info("no longer cut off from a service", extra={"service": service})
