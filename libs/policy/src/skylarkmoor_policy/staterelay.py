"""Relays the states of the gateways through a few of them per failure domain.

If every gateway of a large fleet sends its state to every other one, each of them handles a
constant and high rate of small messages at any size. With relays a gateway sends its state to two
hosts of its own failure domain and receives the states of the fleet in bundles.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation
from skylarkmoor_core.messages import RelayedState

__all__ = ["RELAY_SILENT_MS", "RelayBundles", "StateRelay"]

# The first relay of a failure domain, and a second one that takes over when it is silent.
_RELAYS_PER_DOMAIN = 2
# Part of the fastest link in a failure domain that a relay's link has to have. A relay sends each
# state to every member, which on the slowest links takes longer than the time between two bundles.
_MIN_LINK_FRACTION = 0.5
# A relay that sends no bundle for this long is silent. Bundles come twice a second.
RELAY_SILENT_MS = 1_500


@dataclass(frozen=True, slots=True)
class RelayBundles:
    """States that are due.

    Attributes
    ----------
    members, member_states
        Hosts of the own failure domain, and the states for them.
    relays, relay_states
        Relays of the other failure domains, and the states for them.
    """

    members: Sequence[HostId]
    member_states: Sequence[RelayedState]
    relays: Sequence[HostId]
    relay_states: Sequence[RelayedState]


class StateRelay:
    """Newest states of the fleet, and those of them that this host has to pass on.

    Parameters
    ----------
    host : HostId
        Host ID of this gateway.
    failure_domain : FailureDomain
        Its failure domain.

    Notes
    -----
    A state that originates in the own failure domain goes to its members and to the relays of the
    other domains. A state from another domain goes to the members only, so none of them travels
    twice. The second relay collects the same states as the first and forgets those that it sees in
    the bundles of the first.
    """

    def __init__(self, host: HostId, failure_domain: FailureDomain) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._newest: dict[HostId, tuple[Incarnation, int]] = {}
        self._for_members: dict[HostId, RelayedState] = {}
        self._for_relays: dict[HostId, RelayedState] = {}
        self._domains: dict[FailureDomain, list[HostId]] = {}
        self._links_mbps: Mapping[HostId, float] = {}
        self._relays: dict[FailureDomain, list[HostId]] = {}
        self._bundle_heard_ms: dict[HostId, int] = {}

    def set_hosts(
        self,
        failure_domains: Mapping[HostId, FailureDomain],
        links_mbps: Mapping[HostId, float] | None = None,
    ) -> None:
        """Set the live hosts with their failure domains, this host included.

        Parameters
        ----------
        links_mbps : mapping of HostId to float, optional
            Speeds of the links of the hosts; 0 or missing if it is not known.

        Notes
        -----
        All hosts have to agree on the relays of all failure domains. Those of older builds do not
        tell the speeds of their links, and choose the relays regardless of these, so while any
        speed is not known, none counts.
        """
        links_mbps = links_mbps or {}
        if not all(links_mbps.get(host) for host in failure_domains):
            links_mbps = {}
        domains: dict[FailureDomain, list[HostId]] = {}
        for host, domain in sorted(failure_domains.items()):
            domains.setdefault(domain, []).append(host)
        for domain, hosts in domains.items():
            if hosts != self._domains.get(domain) or links_mbps != self._links_mbps:
                self._relays[domain] = _relays_of(domain, hosts, links_mbps)
        for domain in self._relays.keys() - domains.keys():
            del self._relays[domain]
        self._domains = domains
        self._links_mbps = links_mbps
        if self._host not in self.own_relays():
            self._for_members.clear()
            self._for_relays.clear()

    def own_relays(self) -> Sequence[HostId]:
        """Return the relays of the own failure domain, the first one first."""
        return self._relays.get(self._failure_domain, ())

    def is_active(self, now_ms: int) -> bool:
        """Return whether this host has to send bundles."""
        relays = self.own_relays()
        if self._host not in relays:
            return False
        first = relays[0]
        return first == self._host or not self._is_heard(first, now_ms)

    def accept(self, host: HostId, incarnation: Incarnation, sequence: int) -> bool:
        """Return whether a state is newer than all that were accepted of its host."""
        version = (incarnation, sequence)
        if version <= self._newest.get(host, (Incarnation(-1), 0)):
            return False
        self._newest[host] = version
        return True

    def collect(self, relayed: RelayedState, *, own_domain: bool) -> None:
        """Keep a state until it is passed on, if this host is a relay."""
        if self._host not in self.own_relays():
            return
        self._for_members[relayed.host] = relayed
        if own_domain:
            self._for_relays[relayed.host] = relayed

    def bundle_heard(self, sender: HostId, states: Sequence[RelayedState], now_ms: int) -> None:
        """Record a bundle of a relay of the own failure domain."""
        self._bundle_heard_ms[sender] = now_ms
        for relayed in states:
            for queue in (self._for_members, self._for_relays):
                kept = queue.get(relayed.host)
                if kept is not None and _version(kept) <= _version(relayed):
                    del queue[relayed.host]

    def take_bundles(self) -> RelayBundles:
        """Return the states that are due, and forget them."""
        members = [
            host for host in self._domains.get(self._failure_domain, ()) if host != self._host
        ]
        relays = [
            host
            for domain, hosts in self._relays.items()
            if domain != self._failure_domain
            for host in hosts
        ]
        bundles = RelayBundles(
            members, list(self._for_members.values()), relays, list(self._for_relays.values())
        )
        self._for_members.clear()
        self._for_relays.clear()
        return bundles

    def _is_heard(self, relay: HostId, now_ms: int) -> bool:
        heard_ms = self._bundle_heard_ms.get(relay)
        return heard_ms is not None and now_ms - heard_ms <= RELAY_SILENT_MS


def _relays_of(
    domain: FailureDomain, hosts: Sequence[HostId], links_mbps: Mapping[HostId, float]
) -> list[HostId]:
    """Return the relays of a failure domain, hosts with a fast link first."""
    order = [HostId(host) for host in rendezvous_order(f"relay/{domain}", hosts)]
    if links_mbps:
        fast_mbps = max(links_mbps[host] for host in hosts) * _MIN_LINK_FRACTION
        order.sort(key=lambda host: links_mbps[host] < fast_mbps)
    return order[:_RELAYS_PER_DOMAIN]


def _version(relayed: RelayedState) -> tuple[Incarnation, int]:
    return relayed.incarnation, relayed.state.sequence
