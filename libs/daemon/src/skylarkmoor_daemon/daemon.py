"""Daemon object: connects network adapters, shared state, services and decision logic."""

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
from skylarkmoor_daemon.claiming import ClaimedCall, Claiming
from skylarkmoor_daemon.crashsuspects import CrashSuspects
from skylarkmoor_daemon.documents import DocumentInForce, Documents
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
_HOST_LIST_POLL_MS = 1_000
_LIFECYCLE_CHECK_MS = 50
# At shutdown, responses that callers have not read within this time are cut off.
_FLUSH_TIMEOUT_MS = 30_000

_log = part_logger("daemon")


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one daemon."""

    host: HostId
    failure_domain: FailureDomain
    http_address: Address
    peer_address: Address
    log_url: str
    hosts_url: str


class Daemon:
    """A daemon on an entry host; one process can run several.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    reactor : reactor
        Twisted's reactor on asyncio.
    clock : Clock
        Source of monotonic and wall-clock time.
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
        # Fires when the daemon may exit; the result says whether the exit was forced.
        self.exited: Deferred[bool] = Deferred()
        self._lifecycle = Lifecycle()
        self._ready = False
        self._settings = settings
        self._tasks = Tasks(reactor)
        self._log_client = LogClient(settings.log_url)
        self._host_list_client = HostListClient(settings.hosts_url)
        self._peers = Peers(self.host, self.incarnation, self._on_message)
        self._shared = SharedState(
            self, settings.failure_domain, self._tasks, self._on_facts, self._on_gossip
        )
        self._crash_suspects = CrashSuspects(self.host, self._shared, clock)
        self._has_new_suspects = False
        self._rollout = Rollout(self, self._log_client, self._shared, self._tasks)
        self._documents = Documents(self, self._log_client, self._tasks, self._on_document)
        self._claiming = Claiming(self, self._log_client, self._tasks)
        self._api = CallerApi(self, self.metrics, clock)
        self._site = make_site(self._api, self)
        self._http_port: Any = None
        self._request_count = 0
        self._host_list: tuple[HostEntry, ...] | None = None
        self._service_by_upstream: dict[UpstreamId, ServiceName] = {}
        self._members: Mapping[HostId, FailureDomain] = {}
        # Rendezvous owners by key, valid for `_owner_cache_hosts`. Without the cache, hashing all
        # daemons for each partition at each tick would dominate an idle daemon's CPU time at the
        # fleet size that the system is designed for.
        self._owner_cache: dict[str, HostId | None] = {}
        self._owner_cache_hosts: Mapping[HostId, FailureDomain] = {}

    def start(self) -> tuple[Address, Address]:
        """Listen for callers and peers and start the periodic tasks.

        Returns
        -------
        tuple of Address
            The bound addresses for callers and for peers.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        http = self._settings.http_address
        self._http_port = self.reactor.listenTCP(http.port, self._site, interface=http.host)
        peer = self._peers.listen(self._settings.peer_address)
        self._shared.start()
        self._documents.start()
        self._claiming.start()
        self._rollout.start()
        self._tasks.repeat(_HOST_LIST_POLL_MS, self._fetch_host_list)
        self._tasks.every(_TICK_MS, self._tick)
        self._tasks.every(_STALL_CHECK_MS, self._check_stalls)
        self._tasks.every(GOSSIP_INTERVAL_MS, self._crash_suspects.expire)
        self._tasks.every(_LIFECYCLE_CHECK_MS, self._update_lifecycle)
        return Address(http.host, self._http_port.getHost().port), peer

    def drain(self) -> None:
        """Refuse new requests and exit once the outstanding work is finished."""
        self._apply_lifecycle_decisions(
            self._lifecycle.update_outstanding_work(self._outstanding_work())
        )
        self._apply_lifecycle_decisions(self._lifecycle.drain())

    def signal(self) -> None:
        """Handle a termination signal: the first starts a drain, the second forces the exit."""
        self._apply_lifecycle_decisions(
            self._lifecycle.update_outstanding_work(self._outstanding_work())
        )
        self._apply_lifecycle_decisions(self._lifecycle.handle_signal())

    def held(self) -> int:
        """Return the number of waiting and running requests."""
        return self._claiming.held() + sum(service.held() for service in self.services.values())

    async def stop(self) -> None:
        """Announce that this host has left, abort requests, flush responses and disconnect."""
        self._shared.enter_state(HostState.LEFT)
        self._ready = False
        self._abort_requests()
        await self._http_port.stopListening()
        await self._site.flush(self.reactor, _FLUSH_TIMEOUT_MS)
        self._tasks.stop()
        self._peers.close()
        await self._log_client.close()
        await self._host_list_client.close()

    def state(self) -> HostState:
        """Return the host state that this daemon announces."""
        return self._shared.membership.state(self.host)

    def new_request(self) -> RequestId:
        """Return a new unique request id."""
        self._request_count += 1
        return RequestId(f"{self.host}-{self.incarnation}-{self._request_count}")

    def check_accepting(self) -> None:
        """Raise `RequestRefused` if this daemon accepts no new requests."""
        match self._lifecycle.state:
            case LifecycleState.READY:
                return
            case LifecycleState.STARTING:
                raise RequestRefused(ErrorCode.NOT_READY, "the daemon has no document yet")
            case LifecycleState.DRAINING | LifecycleState.STOPPED:
                raise RequestRefused(ErrorCode.DRAINING, "the daemon is draining")

    def service_for(self, route: str) -> Service | None:
        """Return the service that defines `route`, or None."""
        for service in self.services.values():
            if service.document.route(route) is not None:
                return service
        return None

    def body_limit(self) -> int:
        """Return the largest request body that any service accepts, in bytes."""
        limits = [service.document.limits for service in self.services.values()]
        return max((limit.max_body_bytes for limit in limits), default=_default_body_limit())

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self._ready

    def status(self) -> Mapping[str, object]:
        """Return the body of `/admin/status`."""
        return {
            "host": self.host,
            "incarnation": self.incarnation,
            "state": self.state().name.lower(),
            "ready": self.is_ready(),
            "held": self._outstanding_work_status(),
            "log_answers": self._documents.log_available,
            "documents": {
                service: entry.offset for service, entry in self._documents.in_force.items()
            },
            "peers": {
                host: self._shared.membership.state(host).name.lower()
                for host in sorted(self._shared.membership.reachable())
            },
            "services": {name: service.status() for name, service in self.services.items()},
        }

    def _outstanding_work_status(self) -> Mapping[str, int]:
        held = self._outstanding_work()
        return {"waiting": held.waiting, "running": held.running, "claims": held.claims}

    def moves(self) -> list[Mapping[str, object]]:
        """Return the progress of the moves requested by the documents in force."""
        return self._rollout.status()

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer or to this daemon."""
        if to == self.host:
            # Deferred, so that the sender has updated its state before a reply arrives.
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
        """Return the rendezvous owner of `key` among the eligible daemons."""
        eligible = self._shared.membership.eligible_owners()
        if eligible is not self._owner_cache_hosts:
            self._owner_cache_hosts = eligible
            self._owner_cache.clear()
        if key not in self._owner_cache:
            owner = rendezvous_owner(key, eligible)
            self._owner_cache[key] = None if owner is None else HostId(owner)
        return self._owner_cache[key]

    def has_ended(self, host: HostId, incarnation: Incarnation) -> bool:
        """Return whether `host` has left or restarted since `incarnation`."""
        known = self._shared.membership.incarnation(host)
        if known is not None and known > incarnation:
            return True
        return self._shared.membership.state(host) is HostState.LEFT

    def version_for(self, service: ServiceName, request: RequestId) -> VersionId:
        """Return the version that serves a request."""
        return self._rollout.version_for(service, request)

    def is_stopped(self, service: ServiceName, version: VersionId) -> bool:
        """Return whether `version` is the new version of a move and was stopped."""
        return self._rollout.is_stopped(service, version)

    def live_hosts(self) -> Iterable[HostId]:
        """Return the daemons that may own state, including this one if it is eligible."""
        return self._shared.membership.eligible_owners()

    def engines_of(self, service: ServiceName) -> Mapping[UpstreamId, UpstreamState] | None:
        """Return the engines of a service that accept version orders, None for a plain service."""
        found = self.services.get(service)
        if found is None or found.document.kind is not ServiceKind.ENGINE:
            return None
        return {
            upstream: state
            for upstream, state in found.upstreams.items()
            if not self.is_leaving(upstream)
        }

    def upstreams_of(self, service: ServiceName) -> Sequence[UpstreamState]:
        """Return the upstreams of a service that are not leaving and respond to report polls."""
        found = self.services.get(service)
        states = {} if found is None else found.upstreams
        return [
            state
            for upstream, state in states.items()
            if not self.is_leaving(upstream) and not state.silent
        ]

    def is_blocked(self, request: Request, upstream: UpstreamId) -> bool:
        """Return whether a request like one that was in a crash must not run on `upstream`."""
        if not self._crash_suspects.was_in_crash(request.fingerprint):
            return False
        name = self._service_by_upstream.get(upstream)
        usable = () if name is None else self.services[name].usable_upstreams()
        return self._crash_suspects.is_blocked(request, upstream, usable)

    def check_quarantine(self, request: Request) -> None:
        """Raise `RequestRefused` if equal requests have crashed two upstreams."""
        self._crash_suspects.refuse_quarantined(request)

    def attempt_started(self, request: Request, upstream: UpstreamId, version: VersionId) -> None:
        """Record that a request was dispatched to an upstream."""
        name = self._service_by_upstream.get(upstream)
        if name is not None:
            self._rollout.attempt_started(name, request.request, version)
        self._crash_suspects.attempt_started(request, upstream)

    def attempt_ended(
        self,
        service: ServiceName,
        request: Request,
        end: AttemptEnd,
        incarnation: Incarnation | None,
    ) -> None:
        """Record the result of an attempt for the move and for crash tracking.

        A crash is published to the peers.
        """
        self._rollout.attempt_ended(service, request, end)
        self._crash_suspects.attempt_ended(request, end, incarnation)

    def upstream_reported(
        self, service: ServiceName, load: LoadReport, report: UpstreamReport
    ) -> None:
        """Record whether an upstream is leaving, from its load report."""
        self._shared.record_upstream_answer(load.upstream, load.incarnation, load.leaving)

    def upstream_refused(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused work because it is leaving."""
        self._shared.record_upstream_answer(upstream, None, True)

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is leaving and must get no new work."""
        return self._shared.upstreams.is_leaving(upstream)

    async def claimed_call(
        self, service: ServiceName, incoming: Incoming, window_ms: int, call: ClaimedCall
    ) -> CallAnswer:
        """Claim the idempotency key of a call, run it if the claim is won, return the response."""
        return await self._claiming.run_claimed_call(service, incoming, window_ms, call)

    def _on_message(self, sender: HostId, incarnation: Incarnation, message: Message) -> None:
        match message:
            case Demand(upstream=upstream) | Grant(upstream=upstream):
                name = self._service_by_upstream.get(upstream)
                service = None if name is None else self.services.get(name)
                if service is not None:
                    service.receive(sender, message)
            case _:
                _ = (
                    self._shared.handle_message(sender, incarnation, message)
                    or self._claiming.handle_message(sender, incarnation, message)
                    or self._documents.handle_message(sender, message)
                )

    def _on_gossip(self, sender: HostId, facts: Sequence[Fact]) -> None:
        self._crash_suspects.delay_peer_suspects(sender, facts)

    def _on_facts(self, facts: Sequence[Fact]) -> None:
        self._crash_suspects.apply_facts(facts)
        self._rollout.apply_facts(facts)
        for fact in facts:
            match fact.kind:
                case FactKind.UPSTREAM_LEAVING:
                    self._on_upstream_leaving(UpstreamId(fact.subject))
                case FactKind.SUSPECT:
                    self._has_new_suspects = True
        if self._has_new_suspects:
            self._has_new_suspects = False
            for service in self.services.values():
                service.refuse_quarantined(self._crash_suspects.is_quarantined)
        self._update_members()

    def _on_upstream_leaving(self, upstream: UpstreamId) -> None:
        name = self._service_by_upstream.get(upstream)
        if name in self.services and self.is_leaving(upstream):
            self.services[name].mark_leaving(upstream)

    def _on_document(self, entry: DocumentInForce) -> None:
        document = entry.document
        self._rollout.follow_document(entry)
        service = self.services.get(document.service)
        if service is None:
            self._add_service(document)
        else:
            service.set_document(document)
        self.metrics.document(document.service, entry.offset)
        self._shared.publish_fact(Fact(FactKind.DOCUMENT_OFFSET, document.service, (entry.offset,)))

    def _add_service(self, document: ServiceDocument) -> None:
        service = Service(document, self, self.rng)
        self.services[document.service] = service
        service.set_members(self._members)
        if self._host_list is not None:
            service.set_upstreams(_upstreams_of_service(self._host_list, document.service))
        if self.state() is not HostState.ALIVE:
            service.drain()

    async def _fetch_host_list(self) -> None:
        try:
            host_list = await self._host_list_client.fetch()
        except PlatformError:
            # The last fetched list stays in use; `Tasks.repeat` logs the error and retries.
            raise
        if host_list != self._host_list:
            self._apply_host_list(host_list)

    def _apply_host_list(self, host_list: tuple[HostEntry, ...]) -> None:
        self._host_list = host_list
        self._shared.apply_host_list(host_list)
        self._peers.set_peers(
            {
                HostId(entry.host): parse_address(entry.peer_address)
                for entry in host_list
                if entry.peer_address is not None
            }
        )
        self._service_by_upstream = {
            UpstreamId(entry.host): entry.service
            for entry in host_list
            if entry.service is not None and entry.kind is HostKind.UPSTREAM
        }
        for name, service in self.services.items():
            service.set_upstreams(_upstreams_of_service(host_list, name))
        self._update_members()

    def _outstanding_work(self) -> OutstandingWork:
        counts = [service.waiting() for service in self.services.values()]
        waiting = sum(counts)
        # While the log is unavailable, other daemons' claims cannot be answered, so a drain does
        # not wait for them.
        claims = self._claiming.busy_partitions() if self._documents.log_available else 0
        return OutstandingWork(waiting, max(0, self.held() - waiting), claims)

    def _update_lifecycle(self) -> None:
        if self.services and self._host_list is not None:
            self._apply_lifecycle_decisions(self._lifecycle.configuration_loaded())
        self._apply_lifecycle_decisions(
            self._lifecycle.update_outstanding_work(self._outstanding_work())
        )

    def _apply_lifecycle_decisions(self, decisions: Iterable[LifecycleDecision]) -> None:
        for decision in decisions:
            match decision:
                case ReportReady(ready=ready):
                    self._ready = ready
                case AnnounceState(state=HostState.DRAINING):
                    _log.info("draining", extra={"held": self.held()})
                    self._shared.enter_state(HostState.DRAINING)
                    for service in self.services.values():
                        service.drain()
                case AnnounceState(state=state):
                    self._shared.enter_state(state)
                case AbortRequests():
                    _log.warning(
                        "shutdown forced, aborting outstanding requests",
                        extra={"held": self.held()},
                    )
                    self._abort_requests()
                case ExitProcess(forced=forced):
                    self.exited.callback(forced)

    def _abort_requests(self) -> None:
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


def _upstreams_of_service(host_list: Sequence[HostEntry], service: ServiceName) -> list[HostEntry]:
    return [
        entry for entry in host_list if entry.kind is HostKind.UPSTREAM and entry.service == service
    ]


def _default_body_limit() -> int:
    return 1_000_000
