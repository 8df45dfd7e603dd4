"""The daemon: wires the adapters to each other and to the decisions."""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from skylarkmoor_clients.hostlist import HostEntry, HostKind, HostListClient
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.document import ServiceDocument, ServiceKind
from skylarkmoor_core.errors import PlatformError, RequestRefused
from skylarkmoor_core.hashing import rendezvous_owner
from skylarkmoor_core.ids import (
    FailureDomain,
    HostId,
    Incarnation,
    RequestId,
    ServiceName,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import (
    Demand,
    Fact,
    FactKind,
    Grant,
    HostState,
    Message,
)
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_core.settings import Address, parse_address
from skylarkmoor_daemon.blame import Blame
from skylarkmoor_daemon.claiming import ClaimedCall, Claiming
from skylarkmoor_daemon.documents import Documents, InForce
from skylarkmoor_daemon.http import CallAnswer, CallerApi, Incoming, make_site
from skylarkmoor_daemon.metrics import Metrics
from skylarkmoor_daemon.rollout import Rollout
from skylarkmoor_daemon.service import Service, UpstreamState
from skylarkmoor_daemon.shared import SharedState
from skylarkmoor_daemon.upstreams import UpstreamReport
from skylarkmoor_policy.facts import GOSSIP_INTERVAL_MS
from skylarkmoor_policy.lifecycle import (
    AbortRequests,
    AnnounceState,
    ExitProcess,
    Lifecycle,
    LifecycleDecision,
    LifecycleState,
    OutstandingWork,
    ReportReady,
)
from skylarkmoor_policy.requests import AttemptEnd, LoadReport, Request
from skylarkmoor_process.peers import Peers
from skylarkmoor_process.tasks import Tasks

__all__ = ["Daemon", "Settings"]

_TICK_MS = 20
_STALL_CHECK_MS = 1_000
_HOSTS_MS = 1_000
_LIFE_MS = 50
# Callers that read nothing for this long after a drain lose the rest of their answer.
_FLUSH_LIMIT_MS = 30_000

_log = part_logger("daemon")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon, checked."""

    host: HostId
    failure_domain: FailureDomain
    http_address: Address
    peer_address: Address
    log_url: str
    hosts_url: str


class Daemon:
    """One daemon; several fit into one process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    reactor : reactor
        Twisted's reactor on asyncio.
    clock : Clock
        Source of times.
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, settings: Settings, reactor: Any, clock: Clock, rng: random.Random) -> None:
        self.host = settings.host
        self.incarnation = Incarnation(clock.wall_ms())
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.metrics = Metrics()
        self.services: dict[ServiceName, Service] = {}
        # Fires with whether the end was forced.
        self.exited: Deferred[bool] = Deferred()
        self._lifecycle = Lifecycle()
        self._ready = False
        self._settings = settings
        self._tasks = Tasks(reactor)
        self._log = LogClient(settings.log_url)
        self._hosts = HostListClient(settings.hosts_url)
        self._peers = Peers(self.host, self.incarnation, self._on_message)
        self._shared = SharedState(
            self, settings.failure_domain, self._tasks, self._on_facts, self._on_heard
        )
        self._blame = Blame(self.host, self._shared, clock)
        self._suspected = False
        self._rollout = Rollout(self, self._log, self._shared, self._tasks)
        self._documents = Documents(self, self._log, self._tasks, self._on_document)
        self._claiming = Claiming(self, self._log, self._tasks)
        self._api = CallerApi(self, self.metrics, clock)
        self._site = make_site(self._api, self)
        self._port: Any = None
        self._requests = 0
        self._listed: tuple[HostEntry, ...] | None = None
        self._service_of: dict[UpstreamId, ServiceName] = {}
        self._members: Mapping[HostId, FailureDomain] = {}
        # Owners by key. Weighing all daemons for each partition at each tick would be the
        # largest part of an idle daemon's work at the size to design for.
        self._owners: dict[str, HostId | None] = {}
        self._owners_live: Mapping[HostId, FailureDomain] = {}

    def start(self) -> tuple[Address, Address]:
        """Listen and begin to work.

        Returns
        -------
        tuple of Address
            The addresses for callers and for peers.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        http = self._settings.http_address
        self._port = self.reactor.listenTCP(http.port, self._site, interface=http.host)
        peer = self._peers.listen(self._settings.peer_address)
        self._shared.start()
        self._documents.start()
        self._claiming.start()
        self._rollout.start()
        self._tasks.repeat(_HOSTS_MS, self._read_hosts)
        self._tasks.every(_TICK_MS, self._tick)
        self._tasks.every(_STALL_CHECK_MS, self._check_stalls)
        self._tasks.every(GOSSIP_INTERVAL_MS, self._blame.expire)
        self._tasks.every(_LIFE_MS, self._check_life)
        return Address(http.host, self._port.getHost().port), peer

    def drain(self) -> None:
        """Take no new requests and end once those held are finished."""
        self._live(self._lifecycle.update_outstanding_work(self._held()))
        self._live(self._lifecycle.drain())

    def signal(self) -> None:
        """Take a signal to end: the first drains, the second ends at once."""
        self._live(self._lifecycle.update_outstanding_work(self._held()))
        self._live(self._lifecycle.handle_signal())

    def held(self) -> int:
        """Return how many requests wait or run."""
        return self._claiming.held() + sum(service.held() for service in self.services.values())

    async def stop(self) -> None:
        """Tell the peers, let the callers read their answers and close everything."""
        self._shared.enter(HostState.LEFT)
        self._ready = False
        self._abort()
        await self._port.stopListening()
        await self._site.flush(self.reactor, _FLUSH_LIMIT_MS)
        self._tasks.stop()
        self._peers.close()
        await self._log.close()
        await self._hosts.close()

    def state(self) -> HostState:
        """Return this daemon's state."""
        return self._shared.membership.state(self.host)

    def new_request(self) -> RequestId:
        """Return a fresh request id."""
        self._requests += 1
        return RequestId(f"{self.host}-{self.incarnation}-{self._requests}")

    def check_accepting(self) -> None:
        """Raise `RequestRefused` if no requests are taken."""
        match self._lifecycle.state:
            case LifecycleState.READY:
                return
            case LifecycleState.STARTING:
                raise RequestRefused(ErrorCode.NOT_READY, "the daemon has no document yet")
            case LifecycleState.DRAINING | LifecycleState.STOPPED:
                raise RequestRefused(ErrorCode.DRAINING, "the daemon is draining")

    def service_for(self, route: str) -> Service | None:
        """Return the service that has a route called `route`."""
        for service in self.services.values():
            if service.document.route(route) is not None:
                return service
        return None

    def body_limit(self) -> int:
        """Return the largest body that any service takes, in bytes."""
        limits = [service.document.limits for service in self.services.values()]
        return max((limit.max_body_bytes for limit in limits), default=_default_body_limit())

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self._ready

    def status(self) -> Mapping[str, object]:
        """Return the state that operators see."""
        return {
            "host": self.host,
            "incarnation": self.incarnation,
            "state": self.state().name.lower(),
            "ready": self.is_ready(),
            "held": self._held_status(),
            "log_answers": self._documents.log_answers,
            "documents": {
                service: entry.offset for service, entry in self._documents.in_force.items()
            },
            "peers": {
                host: self._shared.membership.state(host).name.lower()
                for host in sorted(self._shared.membership.reachable())
            },
            "services": {name: service.status() for name, service in self.services.items()},
        }

    def _held_status(self) -> Mapping[str, int]:
        held = self._held()
        return {"waiting": held.waiting, "running": held.running, "claims": held.claims}

    def moves(self) -> list[Mapping[str, object]]:
        """Return the moves that the documents in force ask for."""
        return self._rollout.status()

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer or to this daemon."""
        if to == self.host:
            # Not at once, so that the sender's state is settled when the answer comes.
            self.reactor.callLater(0, self._on_message, self.host, self.incarnation, message)
        else:
            self._peers.send(to, message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every peer."""
        self._peers.broadcast(message)

    def reachable(self) -> Sequence[HostId]:
        """Return the other daemons that are alive or draining."""
        return self._shared.membership.reachable()

    def owner_of(self, key: str) -> HostId | None:
        """Return the rendezvous owner of `key` among the live daemons."""
        live = self._shared.membership.eligible_owners()
        if live is not self._owners_live:
            self._owners_live = live
            self._owners.clear()
        if key not in self._owners:
            owner = rendezvous_owner(key, live)
            self._owners[key] = None if owner is None else HostId(owner)
        return self._owners[key]

    def is_gone(self, host: HostId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of `host` has ended."""
        known = self._shared.membership.incarnation(host)
        if known is not None and known > incarnation:
            return True
        return self._shared.membership.state(host) is HostState.LEFT

    def version_for(self, service: ServiceName, request: RequestId) -> VersionId:
        """Return the version that a request takes."""
        return self._rollout.version_for(service, request)

    def is_stopped(self, service: ServiceName, version: VersionId) -> bool:
        """Return whether `version` is a new version that was stopped."""
        return self._rollout.is_stopped(service, version)

    def live_hosts(self) -> Iterable[HostId]:
        """Return the live daemons, this one among them."""
        return self._shared.membership.eligible_owners()

    def engines_of(self, service: ServiceName) -> Mapping[UpstreamId, UpstreamState] | None:
        """Return the engines of a service that take orders, None for a plain service."""
        found = self.services.get(service)
        if found is None or found.document.kind is not ServiceKind.ENGINE:
            return None
        return {
            upstream: state
            for upstream, state in found.upstreams.items()
            if not self.is_leaving(upstream)
        }

    def upstreams_of(self, service: ServiceName) -> Sequence[UpstreamState]:
        """Return the upstreams of a service that are not leaving and answer reports."""
        found = self.services.get(service)
        states = {} if found is None else found.upstreams
        return [
            state
            for upstream, state in states.items()
            if not self.is_leaving(upstream) and not state.silent
        ]

    def is_blocked(self, request: Request, upstream: UpstreamId) -> bool:
        """Return whether a request that was in a crash must not go to an upstream."""
        if not self._blame.was_in_crash(request.fingerprint):
            return False
        name = self._service_of.get(upstream)
        usable = () if name is None else self.services[name].usable_upstreams()
        return self._blame.is_blocked(request, upstream, usable)

    def check_quarantine(self, request: Request) -> None:
        """Raise `RequestRefused` if equal requests have crashed two upstreams."""
        self._blame.check(request)

    def attempt_started(self, request: Request, upstream: UpstreamId, version: VersionId) -> None:
        """Note that a request runs on a version of an upstream."""
        name = self._service_of.get(upstream)
        if name is not None:
            self._rollout.started(name, request.request, version)
        self._blame.started(request, upstream)

    def attempt_ended(
        self,
        service: ServiceName,
        request: Request,
        end: AttemptEnd,
        incarnation: Incarnation | None,
    ) -> None:
        """Take an attempt's end as evidence; a crash is told to the peers."""
        self._rollout.ended(service, request, end)
        self._blame.ended(request, end, incarnation)

    def upstream_reported(
        self, service: ServiceName, load: LoadReport, report: UpstreamReport
    ) -> None:
        """Take an upstream's report."""
        self._shared.upstream_answered(load.upstream, load.incarnation, load.leaving)

    def upstream_refused(self, upstream: UpstreamId) -> None:
        """Note that an upstream refused work because it is leaving."""
        self._shared.upstream_answered(upstream, None, True)

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream must get no new work."""
        return self._shared.upstreams.is_leaving(upstream)

    async def claimed_call(
        self, service: ServiceName, incoming: Incoming, window_ms: int, call: ClaimedCall
    ) -> CallAnswer:
        """Claim the key of a call, run it if the claim is won, and return its answer."""
        return await self._claiming.call(service, incoming, window_ms, call)

    def _on_message(self, sender: HostId, incarnation: Incarnation, message: Message) -> None:
        match message:
            case Demand(upstream=upstream) | Grant(upstream=upstream):
                name = self._service_of.get(upstream)
                service = None if name is None else self.services.get(name)
                if service is not None:
                    service.receive(sender, message)
            case _:
                _ = (
                    self._shared.take(sender, incarnation, message)
                    or self._claiming.take(sender, incarnation, message)
                    or self._documents.take(sender, message)
                )

    def _on_heard(self, sender: HostId, facts: Sequence[Fact]) -> None:
        self._blame.heard(sender, facts)

    def _on_facts(self, facts: Sequence[Fact]) -> None:
        self._blame.apply(facts)
        self._rollout.apply(facts)
        for fact in facts:
            match fact.kind:
                case FactKind.UPSTREAM_LEAVING:
                    self._upstream_left(UpstreamId(fact.subject))
                case FactKind.SUSPECT:
                    self._suspected = True
        if self._suspected:
            self._suspected = False
            for service in self.services.values():
                service.refuse_quarantined(self._blame.is_quarantined)
        self._update_members()

    def _upstream_left(self, upstream: UpstreamId) -> None:
        name = self._service_of.get(upstream)
        if name in self.services and self.is_leaving(upstream):
            self.services[name].mark_leaving(upstream)

    def _on_document(self, entry: InForce) -> None:
        document = entry.document
        self._rollout.follow(entry)
        service = self.services.get(document.service)
        if service is None:
            self._add_service(document)
        else:
            service.set_document(document)
        self.metrics.document(document.service, entry.offset)
        self._shared.put(Fact(FactKind.DOCUMENT_OFFSET, document.service, (entry.offset,)))

    def _add_service(self, document: ServiceDocument) -> None:
        service = Service(document, self, self.rng)
        self.services[document.service] = service
        service.set_members(self._members)
        if self._listed is not None:
            service.set_upstreams(_upstreams(self._listed, document.service))
        if self.state() is not HostState.ALIVE:
            service.drain()

    async def _read_hosts(self) -> None:
        try:
            listed = await self._hosts.fetch()
        except PlatformError:
            # The last list stays in use.
            raise
        if listed != self._listed:
            self._take_hosts(listed)

    def _take_hosts(self, listed: tuple[HostEntry, ...]) -> None:
        self._listed = listed
        self._shared.listed(listed)
        self._peers.set_peers(
            {
                HostId(entry.host): parse_address(entry.peer_address)
                for entry in listed
                if entry.peer_address is not None
            }
        )
        self._service_of = {
            UpstreamId(entry.host): entry.service
            for entry in listed
            if entry.service is not None and entry.kind is HostKind.UPSTREAM
        }
        for name, service in self.services.items():
            service.set_upstreams(_upstreams(listed, name))
        self._update_members()

    def _held(self) -> OutstandingWork:
        counts = [service.waiting() for service in self.services.values()]
        waiting = sum(counts)
        # Without the log, claims of other daemons cannot be answered.
        claims = self._claiming.owed() if self._documents.log_answers else 0
        return OutstandingWork(waiting, max(0, self.held() - waiting), claims)

    def _check_life(self) -> None:
        if self.services and self._listed is not None:
            self._live(self._lifecycle.configuration_loaded())
        self._live(self._lifecycle.update_outstanding_work(self._held()))

    def _live(self, decisions: Iterable[LifecycleDecision]) -> None:
        for decision in decisions:
            match decision:
                case ReportReady(ready=ready):
                    self._ready = ready
                case AnnounceState(state=HostState.DRAINING):
                    _log.info("draining", extra={"held": self.held()})
                    self._shared.enter(HostState.DRAINING)
                    for service in self.services.values():
                        service.drain()
                case AnnounceState(state=state):
                    self._shared.enter(state)
                case AbortRequests():
                    _log.warning("forced to stop", extra={"held": self.held()})
                    self._abort()
                case ExitProcess(forced=forced):
                    self.exited.callback(forced)

    def _abort(self) -> None:
        for service in self.services.values():
            service.stop()
        self._claiming.stop()

    def _update_members(self) -> None:
        members = self._shared.membership.eligible_owners()
        if members is not self._members:
            self._members = members
            for service in self.services.values():
                service.set_members(members)

    def _tick(self) -> None:
        self._update_members()
        for service in self.services.values():
            service.tick()

    def _check_stalls(self) -> None:
        self.metrics.dropped(self._peers.dropped, self._peers.stale)
        for service in self.services.values():
            service.check_stalls()


def _upstreams(listed: Sequence[HostEntry], service: ServiceName) -> list[HostEntry]:
    return [
        entry for entry in listed if entry.kind is HostKind.UPSTREAM and entry.service == service
    ]


def _default_body_limit() -> int:
    return 1_000_000
