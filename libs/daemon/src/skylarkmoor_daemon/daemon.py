"""The daemon: wires the adapters to each other and to the decisions."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.document import ServiceDocument
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
from skylarkmoor_core.outcome import ErrorCode, Outcome
from skylarkmoor_core.settings import Address, parse_address
from skylarkmoor_daemon.blame import Blame
from skylarkmoor_daemon.claiming import ClaimedCall, Claiming
from skylarkmoor_daemon.documents import Documents, InForce
from skylarkmoor_daemon.http import CallAnswer, CallerApi, Incoming, make_site
from skylarkmoor_daemon.metrics import Metrics
from skylarkmoor_daemon.peers import Peers
from skylarkmoor_daemon.service import Service
from skylarkmoor_daemon.shared import SharedState
from skylarkmoor_daemon.tasks import Tasks
from skylarkmoor_daemon.upstreams import UpstreamReport
from skylarkmoor_platform.hostlist import HostEntry, HostKind, HostListClient
from skylarkmoor_platform.logservice import LogClient
from skylarkmoor_policy.facts import GOSSIP_MS
from skylarkmoor_policy.requests import AttemptEnd, LoadReport, Request

__all__ = ["Daemon", "Settings"]

_TICK_MS = 20
_STALL_CHECK_MS = 1_000
_HOSTS_MS = 1_000
_FLUSH_CHECK_MS = 50
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
        self._documents = Documents(self, self._log, self._tasks, self._on_document)
        self._claiming = Claiming(self, self._log, self._tasks)
        self._api = CallerApi(self, self.metrics, clock)
        self._site = make_site(self._api, self)
        self._port: Any = None
        self._requests = 0
        self._listed: tuple[HostEntry, ...] | None = None
        self._service_of: dict[UpstreamId, ServiceName] = {}
        self._members: Mapping[HostId, FailureDomain] = {}

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
        self._tasks.repeat(_HOSTS_MS, self._read_hosts)
        self._tasks.every(_TICK_MS, self._tick)
        self._tasks.every(_STALL_CHECK_MS, self._check_stalls)
        self._tasks.every(GOSSIP_MS, self._blame.expire)
        return Address(http.host, self._port.getHost().port), peer

    def drain(self) -> None:
        """Take no new requests; those held are finished."""
        if self.state() is not HostState.ALIVE:
            return
        _log.info("draining", extra={"held": self.held()})
        self._shared.enter(HostState.DRAINING)
        for service in self.services.values():
            service.drain()

    def held(self) -> int:
        """Return how many requests wait or run."""
        return self._claiming.held() + sum(service.held() for service in self.services.values())

    async def drained(self) -> None:
        """Wait until nothing is held."""
        while self.held():
            await self._tasks.sleep(_FLUSH_CHECK_MS)

    def abort_requests(self) -> None:
        """Answer every request that is left with a truthful outcome."""
        _log.warning("forced to stop", extra={"held": self.held()})
        for service in self.services.values():
            service.stop()
        self._claiming.stop()

    async def stop(self) -> None:
        """Tell the peers, let the callers read their answers and close everything."""
        self._shared.enter(HostState.LEFT)
        for service in self.services.values():
            service.stop()
        self._claiming.stop()
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
        if self.state() is not HostState.ALIVE:
            raise RequestRefused(ErrorCode.DRAINING, "the daemon is draining", Outcome.NOT_RUN)
        if not self.is_ready():
            raise RequestRefused(ErrorCode.NOT_READY, "the daemon has no document yet")

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
        alive = self.state() is HostState.ALIVE
        return alive and bool(self.services) and self._listed is not None

    def status(self) -> Mapping[str, object]:
        """Return the state that operators see."""
        return {
            "host": self.host,
            "incarnation": self.incarnation,
            "state": self.state().name.lower(),
            "ready": self.is_ready(),
            "held": self.held(),
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

    def moves(self) -> list[Mapping[str, object]]:
        """Return the moves in progress and the last ended ones."""
        return []

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
        owner = rendezvous_owner(key, self._shared.membership.live())
        return None if owner is None else HostId(owner)

    def is_gone(self, host: HostId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of `host` has ended."""
        known = self._shared.membership.incarnation(host)
        if known is not None and known > incarnation:
            return True
        return self._shared.membership.state(host) is HostState.LEFT

    def version_for(self, service: ServiceName, request: RequestId) -> VersionId:
        """Return the version that a request takes."""
        return self.services[service].document.version

    def is_blocked(self, request: Request, upstream: UpstreamId) -> bool:
        """Return whether a suspect must not go to an upstream."""
        if not self._blame.is_suspect(request.fingerprint):
            return False
        name = self._service_of.get(upstream)
        others = 0 if name is None else self.services[name].usable_upstreams()
        return self._blame.is_blocked(request, upstream, other_upstreams=others > 1)

    def check_quarantine(self, request: Request) -> None:
        """Raise `RequestRefused` if equal requests have crashed two upstreams."""
        self._blame.check(request)

    def attempt_started(self, request: Request, upstream: UpstreamId) -> None:
        """Note that a request runs on an upstream."""
        self._blame.started(request, upstream)

    def attempt_ended(
        self,
        service: ServiceName,
        request: Request,
        end: AttemptEnd,
        incarnation: Incarnation | None,
    ) -> None:
        """Take an attempt's end as evidence; a crash is told to the peers."""
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

    def _update_members(self) -> None:
        members = self._shared.membership.live()
        if members != self._members:
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
