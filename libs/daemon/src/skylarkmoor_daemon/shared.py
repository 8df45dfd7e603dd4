"""Soft state shared by gossip: facts, membership and leaving upstreams."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from skylarkmoor_clients.hostlist import HostEntry, HostKind, ListedState
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation, UpstreamId
from skylarkmoor_core.messages import Digest, Fact, Gossip, Heartbeat, HostState, Message
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.facts import DIGEST_INTERVAL_MS, GOSSIP_INTERVAL_MS, FactStore
from skylarkmoor_policy.membership import HostEntry as ListedHost
from skylarkmoor_policy.membership import LeavingUpstreams, Membership, PublishFact
from skylarkmoor_process.tasks import Tasks

__all__ = ["SharedStateContext", "SharedState"]

# Half of the longest tick interval that membership allows, so that one late tick is harmless.
_MEMBERSHIP_TICK_MS = 250


class SharedStateContext(Protocol):
    """Interface of the daemon that `SharedState` uses."""

    @property
    def host(self) -> HostId:
        """Host of the daemon."""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the daemon."""

    @property
    def clock(self) -> Clock:
        """Source of monotonic and wall-clock time."""

    @property
    def rng(self) -> random.Random:
        """Source of random choices."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer."""

    def broadcast(self, message: Message) -> None:
        """Send a message to every peer."""


class SharedState:
    """Exchanges facts with the peers and derives membership and leaving upstreams from them.

    Parameters
    ----------
    daemon : SharedStateContext
        The daemon that it belongs to.
    failure_domain : FailureDomain
        Failure domain of this host.
    tasks : Tasks
        Runs the periodic heartbeats, gossip and digests.
    on_facts : callable
        Called with the facts that changed in the store, each with its merged value.
    on_gossip : callable
        Called with a peer and the facts that it sent, whether or not they are new.
    """

    def __init__(
        self,
        daemon: SharedStateContext,
        failure_domain: FailureDomain,
        tasks: Tasks,
        on_facts: Callable[[Sequence[Fact]], None],
        on_gossip: Callable[[HostId, Sequence[Fact]], None],
    ) -> None:
        self.facts = FactStore()
        self.membership = Membership(daemon.host, daemon.incarnation, failure_domain)
        self.upstreams = LeavingUpstreams()
        self._daemon = daemon
        self._tasks = tasks
        self._on_facts = on_facts
        self._on_gossip = on_gossip

    def start(self) -> None:
        """Announce this daemon and start heartbeats, gossip and digests."""
        self.publish_fact(self.membership.own_fact(self._daemon.clock.wall_ms()))
        self._tasks.every(_MEMBERSHIP_TICK_MS, self._tick_membership)
        self._tasks.every(GOSSIP_INTERVAL_MS, self._send_gossip)
        self._tasks.every(DIGEST_INTERVAL_MS, self._send_digest)

    def apply_host_list(self, entries: Iterable[HostEntry]) -> None:
        """Update membership and leaving upstreams from the host list."""
        entries = tuple(entries)
        self.membership.apply_host_list(
            ListedHost(HostId(entry.host), entry.failure_domain, entry.state is ListedState.LEAVING)
            for entry in entries
            if entry.kind is HostKind.ENTRY
        )
        leaving = {
            UpstreamId(entry.host): entry.state is ListedState.LEAVING
            for entry in entries
            if entry.kind is HostKind.UPSTREAM
        }
        self._execute(self.upstreams.apply_host_list(leaving, self._daemon.clock.wall_ms()))

    def record_upstream_answer(
        self, upstream: UpstreamId, incarnation: Incarnation | None, leaving: bool
    ) -> None:
        """Record whether an upstream reports that it is leaving."""
        wall_ms = self._daemon.clock.wall_ms()
        self._execute(self.upstreams.record_answer(upstream, incarnation, leaving, wall_ms))

    def enter_state(self, state: HostState) -> None:
        """Change this daemon's host state and announce it to all peers at once."""
        for publication in self.membership.advance_state(state, self._daemon.clock.wall_ms()):
            self.publish_fact(publication.fact)
            self._daemon.broadcast(Gossip((publication.fact,)))

    def publish_fact(self, fact: Fact) -> None:
        """Merge a fact of this daemon into the store."""
        self._apply_changed_facts(self.facts.merge((fact,)))

    def publish_facts(self, facts: Sequence[Fact], *, at_once: bool = False) -> None:
        """Merge facts into the store; `at_once` also broadcasts them before the next round."""
        if facts and at_once:
            self._daemon.broadcast(Gossip(tuple(facts)))
        self._apply_changed_facts(self.facts.merge(facts))

    def handle_message(self, sender: HostId, incarnation: Incarnation, message: Message) -> bool:
        """Handle a message about shared state; return False for other messages."""
        match message:
            case Heartbeat():
                clock = self._daemon.clock
                self._execute(
                    self.membership.receive_heartbeat(
                        sender, incarnation, message, clock.now_ms(), clock.wall_ms()
                    )
                )
            case Gossip(facts=facts):
                self._on_gossip(sender, facts)
                self._apply_changed_facts(self.facts.merge(facts))
            case Digest(hashes=hashes):
                differing = self.facts.differing_facts(hashes)
                if differing:
                    self._daemon.send(sender, Gossip(tuple(differing)))
            case _:
                return False
        return True

    def _apply_changed_facts(self, changed: Sequence[Fact]) -> None:
        if not changed:
            return
        self.upstreams.apply_facts(changed)
        publications = self.membership.apply_facts(changed, self._daemon.clock.wall_ms())
        self._on_facts(changed)
        self._execute(publications)

    def _execute(self, decisions: Iterable[PublishFact | Send]) -> None:
        for decision in decisions:
            match decision:
                case PublishFact(fact=fact):
                    self.publish_fact(fact)
                case Send(to=to, message=message):
                    self._daemon.send(to, message)

    def _tick_membership(self) -> None:
        clock = self._daemon.clock
        self._execute(self.membership.tick(clock.now_ms(), clock.wall_ms()))

    def _send_gossip(self) -> None:
        peers = self.membership.reachable()
        self._execute(
            self.facts.gossip_round(self._daemon.rng, self._daemon.clock.wall_ms(), peers)
        )

    def _send_digest(self) -> None:
        peers = self.membership.reachable()
        if peers:
            peer = self._daemon.rng.choice(peers)
            self._daemon.send(peer, Digest(self.facts.digest()))
