"""Shared soft state: facts, gossip, membership and leaving upstreams."""

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

__all__ = ["SharedPeers", "SharedState"]

# Half of the longest interval that membership allows, so that one late call does no harm.
_MEMBERSHIP_MS = 250


class SharedPeers(Protocol):
    """What the shared state needs of the daemon."""

    @property
    def host(self) -> HostId:
        """Host of the daemon."""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the daemon."""

    @property
    def clock(self) -> Clock:
        """Source of times."""

    @property
    def rng(self) -> random.Random:
        """Source of random choices."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer."""

    def broadcast(self, message: Message) -> None:
        """Send a message to every peer."""


class SharedState:
    """What this daemon knows through its peers.

    Parameters
    ----------
    daemon : SharedPeers
        The daemon.
    failure_domain : str
        Where it runs.
    tasks : Tasks
        Runs the rounds.
    on_facts : callable
        Gets the facts that changed the map, each with its merged value.
    on_heard : callable
        Gets a peer and the facts that it sent, new or not.
    """

    def __init__(
        self,
        daemon: SharedPeers,
        failure_domain: FailureDomain,
        tasks: Tasks,
        on_facts: Callable[[Sequence[Fact]], None],
        on_heard: Callable[[HostId, Sequence[Fact]], None],
    ) -> None:
        self.facts = FactStore()
        self.membership = Membership(daemon.host, daemon.incarnation, failure_domain)
        self.upstreams = LeavingUpstreams()
        self._daemon = daemon
        self._tasks = tasks
        self._on_facts = on_facts
        self._on_heard = on_heard

    def start(self) -> None:
        """Announce this daemon and begin the rounds."""
        self.put(self.membership.own_fact(self._daemon.clock.wall_ms()))
        self._tasks.every(_MEMBERSHIP_MS, self._beat)
        self._tasks.every(GOSSIP_INTERVAL_MS, self._gossip)
        self._tasks.every(DIGEST_INTERVAL_MS, self._digest)

    def listed(self, entries: Iterable[HostEntry]) -> None:
        """Take the host list."""
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
        self._carry_out(self.upstreams.apply_host_list(leaving, self._daemon.clock.wall_ms()))

    def upstream_answered(
        self, upstream: UpstreamId, incarnation: Incarnation | None, leaving: bool
    ) -> None:
        """Take what an upstream says of itself."""
        wall_ms = self._daemon.clock.wall_ms()
        self._carry_out(self.upstreams.record_answer(upstream, incarnation, leaving, wall_ms))

    def enter(self, state: HostState) -> None:
        """Change this daemon's state and tell all peers at once."""
        for announce in self.membership.advance_state(state, self._daemon.clock.wall_ms()):
            self.put(announce.fact)
            self._daemon.broadcast(Gossip((announce.fact,)))

    def put(self, fact: Fact) -> None:
        """Put a fact of this daemon's own into the map."""
        self._learn(self.facts.merge((fact,)))

    def put_all(self, facts: Sequence[Fact], *, at_once: bool = False) -> None:
        """Put facts into the map; `at_once` sends them to all peers before the next round."""
        if facts and at_once:
            self._daemon.broadcast(Gossip(tuple(facts)))
        self._learn(self.facts.merge(facts))

    def take(self, sender: HostId, incarnation: Incarnation, message: Message) -> bool:
        """Take a message about shared state and return whether it was one."""
        match message:
            case Heartbeat():
                clock = self._daemon.clock
                self._carry_out(
                    self.membership.receive_heartbeat(
                        sender, incarnation, message, clock.now_ms(), clock.wall_ms()
                    )
                )
            case Gossip(facts=facts):
                self._on_heard(sender, facts)
                self._learn(self.facts.merge(facts))
            case Digest(hashes=hashes):
                differing = self.facts.differing_facts(hashes)
                if differing:
                    self._daemon.send(sender, Gossip(tuple(differing)))
            case _:
                return False
        return True

    def _learn(self, changed: Sequence[Fact]) -> None:
        if not changed:
            return
        self.upstreams.apply_facts(changed)
        announces = self.membership.apply_facts(changed, self._daemon.clock.wall_ms())
        self._on_facts(changed)
        self._carry_out(announces)

    def _carry_out(self, decisions: Iterable[PublishFact | Send]) -> None:
        for decision in decisions:
            match decision:
                case PublishFact(fact=fact):
                    self.put(fact)
                case Send(to=to, message=message):
                    self._daemon.send(to, message)

    def _beat(self) -> None:
        clock = self._daemon.clock
        self._carry_out(self.membership.tick(clock.now_ms(), clock.wall_ms()))

    def _gossip(self) -> None:
        peers = self.membership.reachable()
        self._carry_out(
            self.facts.gossip_round(self._daemon.rng, self._daemon.clock.wall_ms(), peers)
        )

    def _digest(self) -> None:
        peers = self.membership.reachable()
        if peers:
            peer = self._daemon.rng.choice(peers)
            self._daemon.send(peer, Digest(self.facts.digest()))
