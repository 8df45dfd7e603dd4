"""Tells upstreams that are down from upstreams that only this host does not reach.

A host that loses its links sees the same as one whose upstreams have failed: connections that are
refused, reset or never open. What its peers reach tells the two apart, and who can send a request
in its place.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from skylarkmoor_core.ids import FailureDomain, HostId, UpstreamId
from skylarkmoor_core.settings import Address

__all__ = ["DirectPath", "Path", "PeerPath", "Reachability", "RelayPeer"]

# Interval at which a path that is down is tried again.
_PROBE_INTERVAL_MS = 1_000
# Paths that are tried again at once at most.
_MAX_PROBES = 8
# Without a byte from any upstream of a service for this long, although requests are there, the
# path to them may be down. The upstreams answer several requests in this time.
SILENCE_MS = 300
# A peer that could not be reached, or that has failed to reach an upstream, is not asked again for
# this long. Its next states tell what it reaches.
_PEER_FAILURE_MS = 1_000


@dataclass(frozen=True, slots=True)
class DirectPath:
    """The request is sent to the upstream itself."""


@dataclass(frozen=True, slots=True)
class PeerPath:
    """The request is sent through a peer, which connects to the upstream."""

    host: HostId
    address: Address


Path = DirectPath | PeerPath


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """What a peer has reported about its own paths.

    Attributes
    ----------
    address : Address
        Where it accepts connections to be passed on to upstreams.
    unreachable : frozenset of UpstreamId
        Upstreams that it does not reach.
    relayed : int
        Connections that it passes on now.
    """

    address: Address
    failure_domain: FailureDomain
    unreachable: frozenset[UpstreamId]
    relayed: int


@dataclass(slots=True)
class _PathState:
    # When a connection was made last, and when one failed last.
    connected_ms: int | None = None
    failed_ms: int | None = None
    # When a connection was last begun to find out.
    probed_ms: int = 0
    # When anything was received last.
    heard_ms: int = 0

    @property
    def is_down(self) -> bool:
        if self.failed_ms is None:
            return False
        return self.connected_ms is None or self.connected_ms < self.failed_ms


@dataclass(slots=True)
class _PeerFailures:
    host_failed_ms: int | None = None
    upstreams_failed_ms: dict[UpstreamId, int] = field(default_factory=dict)


class Reachability:
    """Paths of this host to the upstreams, and those of its peers.

    Parameters
    ----------
    failure_domain : FailureDomain
        Failure domain of this host, whose peers are preferred.
    rng : random.Random
        Draws the peers that are compared.

    Notes
    -----
    Only new connections tell that a path is up or down. Open ones may work on while new ones are
    refused, and may be silent while new ones work.
    """

    def __init__(self, failure_domain: FailureDomain, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._paths: dict[UpstreamId, _PathState] = {}
        self._peers: dict[HostId, RelayPeer] = {}
        self._failures: dict[HostId, _PeerFailures] = {}

    def connected(self, upstream: UpstreamId, now_ms: int) -> bool:
        """Record a connection to an upstream, and return whether its path was down before."""
        path = self._path(upstream)
        was_down = path.is_down
        path.connected_ms = path.heard_ms = now_ms
        path.failed_ms = None
        return was_down

    def failed(self, upstream: UpstreamId, now_ms: int) -> bool:
        """Record that a connection failed, and return whether the path was not down before."""
        path = self._path(upstream)
        was_down = path.is_down
        path.failed_ms = path.probed_ms = now_ms
        path.connected_ms = None
        return not was_down

    def heard(self, upstream: UpstreamId, now_ms: int) -> None:
        """Record that an upstream has sent something over a direct connection."""
        self._path(upstream).heard_ms = now_ms

    def is_down(self, upstream: UpstreamId) -> bool:
        """Return whether new connections from here to an upstream fail."""
        path = self._paths.get(upstream)
        return path is not None and path.is_down

    def is_silent(self, upstreams: Iterable[UpstreamId], now_ms: int) -> bool:
        """Return whether none of the upstreams has sent anything lately."""
        heard_ms = (self._path(upstream).heard_ms for upstream in upstreams)
        return all(now_ms - each > SILENCE_MS for each in heard_ms)

    def unreachable(self) -> tuple[UpstreamId, ...]:
        """Return the upstreams whose path is down, to be told to peers."""
        return tuple(sorted(name for name, path in self._paths.items() if path.is_down))

    def due_probes(self, now_ms: int) -> list[UpstreamId]:
        """Return upstreams whose path is down and has to be tried again; they count as tried."""
        due = [
            name
            for name, path in self._paths.items()
            if path.is_down and now_ms - path.probed_ms >= _PROBE_INTERVAL_MS
        ]
        due.sort(key=lambda name: self._paths[name].probed_ms)
        for name in due[:_MAX_PROBES]:
            self._paths[name].probed_ms = now_ms
        return due[:_MAX_PROBES]

    def suspects(self, upstreams: Iterable[UpstreamId], now_ms: int) -> list[UpstreamId]:
        """Return silent upstreams whose path is to be tried; they count as tried."""
        found = []
        for upstream in upstreams:
            path = self._path(upstream)
            is_silent = now_ms - path.heard_ms > SILENCE_MS
            if is_silent and not path.is_down and now_ms - path.probed_ms >= _PROBE_INTERVAL_MS:
                path.probed_ms = now_ms
                found.append(upstream)
        return found

    def forget(self, upstream: UpstreamId) -> None:
        """Forget the path to an upstream that has left or has another address."""
        self._paths.pop(upstream, None)

    def set_peer(self, host: HostId, peer: RelayPeer | None) -> None:
        """Replace what is known of a peer; None if it cannot be asked any more."""
        if peer is not None:
            self._peers[host] = peer
        else:
            self._peers.pop(host, None)
            self._failures.pop(host, None)

    def peer_address(self, host: HostId) -> Address | None:
        """Return where a peer accepts connections to be passed on, None if it does not."""
        peer = self._peers.get(host)
        return None if peer is None else peer.address

    def peer_domains(self) -> dict[HostId, FailureDomain]:
        """Return the failure domains of the peers that can be asked."""
        return {host: peer.failure_domain for host, peer in self._peers.items()}

    def has_peers(self) -> bool:
        """Return whether any peer can be asked to pass connections on."""
        return bool(self._peers)

    def has_peer(self, host: HostId) -> bool:
        """Return whether a peer can be asked to pass connections on."""
        return host in self._peers

    def peer_failed(self, host: HostId, now_ms: int, upstream: UpstreamId | None = None) -> None:
        """Record that a peer could not be reached, or could not reach an upstream."""
        failures = self._failures.setdefault(host, _PeerFailures())
        if upstream is None:
            failures.host_failed_ms = now_ms
        else:
            failures.upstreams_failed_ms[upstream] = now_ms

    def path(self, upstream: UpstreamId, now_ms: int, exclude: Collection[HostId] = ()) -> Path:
        """Return the path on which a request is to be sent to an upstream.

        Parameters
        ----------
        exclude : collection of HostId
            Peers that have been tried for the request.

        Notes
        -----
        If no host reaches an upstream, it is down, and a direct connection tells when it is back.
        Of the peers that reach it, those of the own failure domain are preferred; the one of two
        that passes on fewer connections is chosen.
        """
        if not self.is_down(upstream):
            return DirectPath()
        candidates = self._peers_that_reach(upstream, now_ms, exclude)
        near = [
            host for host in candidates if self._peers[host].failure_domain == self._failure_domain
        ]
        candidates = near or candidates
        if not candidates:
            return DirectPath()
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        host = min(drawn, key=lambda each: self._peers[each].relayed)
        return PeerPath(host, self._peers[host].address)

    def is_path_lost(self, upstream: UpstreamId, now_ms: int) -> bool:
        """Return whether an upstream is not reached from here although a peer reaches it."""
        return self.is_down(upstream) and bool(self._peers_that_reach(upstream, now_ms))

    def _peers_that_reach(
        self, upstream: UpstreamId, now_ms: int, exclude: Collection[HostId] = ()
    ) -> list[HostId]:
        return [
            host
            for host, peer in self._peers.items()
            if host not in exclude
            and upstream not in peer.unreachable
            and not self._has_failed(host, upstream, now_ms)
        ]

    def _has_failed(self, host: HostId, upstream: UpstreamId, now_ms: int) -> bool:
        failures = self._failures.get(host)
        if failures is None:
            return False
        times_ms = (failures.host_failed_ms, failures.upstreams_failed_ms.get(upstream))
        return any(each is not None and now_ms - each < _PEER_FAILURE_MS for each in times_ms)

    def _path(self, upstream: UpstreamId) -> _PathState:
        path = self._paths.get(upstream)
        if path is None:
            path = self._paths[upstream] = _PathState()
        return path
