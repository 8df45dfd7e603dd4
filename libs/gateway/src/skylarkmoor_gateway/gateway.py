"""The gateway: validates, admits and forwards requests, and manages its own lifecycle."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

import h11
from twisted.internet.defer import Deferred

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.hashing import fingerprint
from skylarkmoor_core.ids import (
    CustomerId,
    Fingerprint,
    HostId,
    Incarnation,
    RequestId,
    ServiceName,
    UpstreamId,
)
from skylarkmoor_core.logs import BoundedStream, part_logger
from skylarkmoor_core.settings import Address
from skylarkmoor_core.tcpoptions import limit_kernel_buffers
from skylarkmoor_gateway.callerconnections import CallerConnection, CallerConnectionFactory
from skylarkmoor_gateway.crashexaminer import CrashExaminer
from skylarkmoor_gateway.endpoints import make_site
from skylarkmoor_gateway.errors import MalformedRequest
from skylarkmoor_gateway.exchange import Exchange, Outcome
from skylarkmoor_gateway.fleet import Fleet
from skylarkmoor_gateway.limitcoordinator import (
    Admitted,
    Exhausted,
    LimitDecision,
    Unanswered,
)
from skylarkmoor_gateway.memoryaccount import MemoryAccount
from skylarkmoor_gateway.messages import Codec, Headers, IncomingRequest
from skylarkmoor_gateway.metrics import GatewayMetrics
from skylarkmoor_gateway.paths import UpstreamPaths
from skylarkmoor_gateway.readpacing import ReadPacer
from skylarkmoor_gateway.settings import GatewaySettings
from skylarkmoor_policy.callertimeouts import retry_after_ms
from skylarkmoor_policy.canary import CanaryTable, RolloutOrder
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.crashevidence import CrashEvidenceTable
from skylarkmoor_policy.evacuations import EvacuationChange
from skylarkmoor_policy.fairshares import customer_weights
from skylarkmoor_policy.fleetlimits import FleetQuotas, FleetRetryBudget
from skylarkmoor_policy.homeregions import RegionMap
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
from skylarkmoor_policy.memorybounds import derive_bounds
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.routecosts import RouteCosts
from skylarkmoor_policy.routetable import (
    CallerLimits,
    CustomerPolicy,
    RetrySafety,
    Route,
    RouteTable,
)
from skylarkmoor_policy.trackedupstream import RegisteredUpstream
from skylarkmoor_policy.upstreamnotices import (
    AnswerNotices,
    InstanceId,
    NoticeChange,
    NoticeKind,
)
from skylarkmoor_policy.versionrules import VersionRule
from skylarkmoor_process.tasks import Tasks

__all__ = ["Gateway"]

# Period of the checks for expired waits and due state reports.
_TICK_MS = 25
# The period while nothing waits for a slot, if states are sent at intervals of at least ten times
# this period.
_IDLE_TICK_MS = 100
# Period for updating learned upstream speeds, gauges and idle connections, which change slowly.
_MAINTENANCE_MS = 500
# Period of stall checks. Stall timeouts are a second or more, so this delay does not matter.
_STALL_CHECK_MS = 100
# Time after reporting not ready in which the load balancer may still open connections: it checks
# once per second and removes a gateway after two failed checks.
_BALANCER_DELAY_MS = 2_600
# Margin before the process is killed, in which the last responses are sent.
_KILL_MARGIN_MS = 500
# Retry-After while draining: the caller's next connection goes to another gateway.
_DRAIN_RETRY_MS = 100
# Retry-After while no configuration has been loaded yet.
_NO_TABLE_RETRY_MS = 500
# Retry-After for a request that is blocked, for about a minute, because it crashed several
# upstreams.
_BLOCKED_RETRY_MS = 2_000
# Time for which a request that the configuration does not allow waits for the confirmation that the
# configuration is the newest one. Normally there is one every few hundred milliseconds.
_CONFIRMATION_WAIT_MS = 500
# Retry-After if there is none in that time.
_NO_CONFIRMATION_RETRY_MS = 1_000
# Length of a header value in a log line.
_MAX_LOGGED_CHARACTERS = 100

_log = part_logger("gateway")


@dataclass(frozen=True, slots=True)
class _Arrival:
    """A complete request as it was received."""

    caller: CallerConnection
    head: h11.Request
    body: bytes
    arrived_ms: int


@dataclass(slots=True)
class _LimitWait:
    """A request that waits for units of its customer's limit, and what was decided about it."""

    arrival: _Arrival
    request: IncomingRequest
    route: Route
    customer: CustomerPolicy
    # The configuration that has given it the route.
    table: RouteTable | None
    # Requests a slot meanwhile; None if the request needs none, or is likely to be refused.
    exchange: Exchange | None = None


class Gateway:
    """A gateway with its connections, its peers and its placement of requests.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    reactor : reactor
        Twisted's reactor on asyncio.
    clock : Clock
        Time source.
    rng : random.Random
        Source of random choices.
    codec : Codec
        Translates the headers of the platform that the gateway runs on.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        codec: Codec,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.codec = codec
        self.metrics = GatewayMetrics()
        bounds = derive_bounds(settings.memory_mb, settings.max_fds)
        self.memory = MemoryAccount(bounds, clock, self.metrics)
        self.pacer = ReadPacer(reactor)
        self.placement = Placement(rng)
        self.retries = FleetRetryBudget(
            settings.retry_ratio, settings.retry_window_ms, settings.retry_slack
        )
        self.quotas = FleetQuotas(
            settings.limit_window_ms,
            settings.limit_overshoot_fraction,
            settings.limit_slack_units,
            first_start=settings.is_first_fleet_start,
        )
        self.placement.regions = RegionMap(settings.regions, settings.region)
        self.placement.cold_starts.overshoot = settings.cold_overshoot
        self.placement.cold_starts.slack = settings.cold_slack
        self.crash_counts = CrashCounts()
        self.crash_evidence = CrashEvidenceTable()
        # Fires at exit, with whether the shutdown was forced.
        self.exited: Deferred[bool] = Deferred()
        # Called when a peer has read a newer configuration than this gateway.
        self.on_newer_configuration: Callable[[], None] = lambda: None
        # Called when a peer has read a newer list of upstreams than this gateway.
        self.on_newer_upstreams: Callable[[], None] = lambda: None
        self.upstreams_read_ms = 0
        # Stream of the log lines, if it is one that drops lines when it is full.
        self.log_stream: BoundedStream | None = None
        self.tasks = Tasks(reactor)
        self._settings = settings
        self.paths = UpstreamPaths(
            reactor, clock, rng, self.placement, settings.failure_domain, bounds
        )
        self.paths.limits.read_bytes = self.memory.read_bytes
        self.memory.other_bytes = self.paths.tunnels.held_bytes
        incarnation = Incarnation(clock.wall_ms())
        self.canaries = CanaryTable(settings.host, incarnation, settings.max_canary_share)
        self._canaries_checked_ms = 0
        self.fleet = Fleet(
            settings.host,
            incarnation,
            clock,
            self.placement,
            self.quotas,
            self.retries,
            self.crash_counts,
            lambda: self.on_newer_configuration(),
            lambda: self.on_newer_upstreams(),
            lambda delay_ms, function: reactor.callLater(delay_ms / 1000, function),
            settings.failure_domain,
            self.crash_evidence,
            settings.max_configuration_age_ms,
            self.paths.reachability,
            settings.link_mbps,
        )
        self.fleet.relayed = lambda: len(self.paths.tunnels.open_tunnels)
        self.crash_examiner = CrashExaminer(
            clock,
            self.placement,
            self.crash_evidence,
            self.paths.working_pool,
            self.fleet.send_crash_evidence,
        )
        self.fleet.on_facts = lambda facts: self.canaries.apply_facts(facts, clock.now_ms())
        self.fleet.on_evacuations = self.evacuations_changed
        self._lifecycle = Lifecycle()
        self._ready = False
        self._drain_started_ms: int | None = None
        self._stalls_checked_ms = 0
        self._table: RouteTable | None = None
        self._callers: set[CallerConnection] = set()
        self._exchanges: dict[CallerConnection, Exchange] = {}
        # Requests that may be allowed by a newer configuration.
        self._unconfirmed: dict[CallerConnection, _Arrival] = {}
        # Requests that wait for units of their customer's limit, with the numbers to cancel them.
        self._limit_waits: dict[CallerConnection, tuple[int, _LimitWait]] = {}
        self._ports: list[Any] = []
        self._route_costs = RouteCosts()
        # Weights of the customers' shares by their limits.
        self._customer_weights: Mapping[CustomerId, float] = {}

    @property
    def table(self) -> RouteTable | None:
        """The active configuration, None before the first one was loaded."""
        return self._table

    def start(self) -> None:
        """Listen on all addresses and start the periodic tasks.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        settings = self._settings
        self.fleet.listen(settings.peer_address)
        site = make_site(self)
        self._listen(settings.ready_address, site)
        if settings.metrics_address is not None:
            self._listen(settings.metrics_address, site)
        caller_port = self._listen(
            settings.caller_address, CallerConnectionFactory(self, self.reactor)
        )
        limit_kernel_buffers(caller_port.socket, self.memory.bounds.kernel_buffer_bytes)
        self.memory.on_full = caller_port.pauseProducing
        self.memory.on_room = caller_port.resumeProducing
        if settings.relay_address is not None:
            self._listen(settings.relay_address, self.paths.tunnels)
            self.fleet.relay_address = str(settings.relay_address)
        self.tasks.reschedule(_TICK_MS, self._tick)
        self.tasks.every(_MAINTENANCE_MS, self._maintain)
        _log.info("started", extra={"host": settings.host, "callers": str(settings.caller_address)})

    def set_table(self, table: RouteTable, data: bytes) -> None:
        """Activate a configuration, which the record `data` holds.

        Notes
        -----
        Its version and position are in the history of the fleet.
        """
        previous_version = None if self._table is None else self._table.version
        self._table = table
        self.quotas.set_customers(table.customers, self.clock.now_ms())
        self.placement.set_cold_starts(table.cold_starts, self.clock.now_ms())
        self._customer_weights = customer_weights(table.customers)
        self.fleet.configuration_activated(data)
        position = self.fleet.versions.position
        _log.info(
            "configuration activated",
            extra={
                "version": table.version,
                "before": previous_version,
                "offset": position.offset,
                "era": position.era,
            },
        )
        self._apply(self._lifecycle.configuration_loaded())

    def set_upstream(self, listed: RegisteredUpstream) -> None:
        """Add an upstream or update a known one."""
        name = listed.upstream
        previous = self.placement.upstreams.get(name)
        started_again = previous is not None and previous.started_wall_ms != listed.started_wall_ms
        if previous is None or started_again or previous.leaving != listed.leaving:
            _log.info(
                "upstream changed",
                extra={
                    "upstream": name,
                    "service": listed.service,
                    "leaving": listed.leaving,
                    "version": listed.version,
                    "started_again": started_again,
                },
            )
        self.placement.set_upstream(listed, self.clock.now_ms())
        self._tell_cold_starts()
        self.paths.set_upstream(name, listed.address, started_again=started_again)

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Remove an upstream that has left; requests in progress there continue."""
        _log.info("upstream removed", extra={"upstream": upstream})
        self.placement.remove(upstream, self.clock.now_ms())
        self.paths.remove_upstream(upstream)

    def evacuations_changed(
        self, changes: Sequence[EvacuationChange], peer: HostId | None = None
    ) -> None:
        """Act on evacuations that have begun or ended, as the log or a peer has told."""
        if not changes:
            return
        for change in changes:
            state = "began" if change.in_force else "ended"
            self.metrics.evacuation(state, "log" if peer is None else "peer")
            _log.warning(
                f"evacuation of a failure domain {state}",
                extra={
                    "failure_domain": change.failure_domain,
                    "upstreams": sum(
                        each.registration.failure_domain == change.failure_domain
                        for each in self.placement.upstreams.values()
                    ),
                    "offset": change.position.offset,
                    "era": change.position.era,
                    "peer": peer,
                },
            )
        for exchange in list(self._exchanges.values()):
            exchange.evacuations_changed()
        self.fleet.announce_evacuations()

    def drain(self) -> None:
        """Report not ready, finish the requests in progress and exit."""
        _log.info("draining", extra={"held": len(self._exchanges)})
        # Keeps the gateway running at least until the load balancer has removed it.
        self._lifecycle.update_outstanding_work(OutstandingWork(waiting=1))
        self._apply(self._lifecycle.handle_signal())

    async def stop(self) -> None:
        """Close all listeners and connections, and stop the periodic tasks."""
        for port in self._ports:
            await port.stopListening()
        for caller in list(self._callers):
            caller.close_now()
        self.tasks.stop()
        self.fleet.close()
        self.paths.close()
        _log.info("stopped")

    def is_ready(self) -> bool:
        """Return whether the load balancer should send connections here."""
        return self._ready

    def limits(self) -> CallerLimits:
        """Return the size limits and timeouts for callers."""
        return CallerLimits() if self._table is None else self._table.limits

    def draining(self) -> bool:
        """Return whether connections are to be closed after their current response."""
        return self._lifecycle.state in (LifecycleState.DRAINING, LifecycleState.STOPPED)

    def caller_connected(self, caller: CallerConnection) -> None:
        """Register a new connection of a caller."""
        self._callers.add(caller)

    def caller_disconnected(self, caller: CallerConnection) -> None:
        """Unregister a closed connection of a caller and cancel its request."""
        self._callers.discard(caller)
        self._unconfirmed.pop(caller, None)
        self._cancel_limit_wait(caller)
        exchange = self._exchanges.get(caller)
        if exchange is not None:
            exchange.caller_disconnected()

    def request_rejected(self, status: int, reason: str) -> None:
        """Record a request that was rejected as invalid."""
        self.metrics.request_rejected(status)
        _log.warning("rejected an invalid request", extra={"status": status, "why": reason})

    def handle(self, caller: CallerConnection, head: h11.Request, body: bytes) -> None:
        """Check a complete request, then place or refuse it."""
        self._handle(_Arrival(caller, head, body, self.clock.now_ms()))

    def _decode(self, arrival: _Arrival) -> IncomingRequest:
        head = arrival.head
        headers = list(head.headers.raw_items())
        return self.codec.decode_request(head.method, head.target, headers, arrival.body)

    def _handle(self, arrival: _Arrival) -> None:
        caller = arrival.caller
        try:
            request = self._decode(arrival)
        except MalformedRequest as error:
            self.request_rejected(400, str(error))
            self._refuse(caller, None, 400, str(error))
            return
        table = self._table
        if table is None:
            self._refuse(caller, request, 503, "no configuration yet", _NO_TABLE_RETRY_MS)
            return
        route = table.route(request.host, request.target.decode("latin-1"))
        customer = None if request.api_key is None else table.customer(request.api_key)
        is_denied = route is None or (
            customer is None and table.requires_api_keys and not route.public
        )
        if is_denied and not self.fleet.configuration_age.is_current(self.clock.now_ms()):
            self._unconfirmed[caller] = arrival
            return
        if route is None:
            self._refuse(caller, request, 404, "no route matches")
            return
        if is_denied:
            self._refuse(caller, request, 401, "the API key is not known")
            return
        if self.crash_counts.is_blocked(self._fingerprint(request)):
            reason = "this request broke several upstreams"
            self._refuse(caller, request, 503, reason, _BLOCKED_RETRY_MS)
            return
        blocked_ms = self.blocked_ms(request)
        if blocked_ms is not None:
            reason = "a part of the prompt has crashed upstreams"
            remaining_ms = min(route.timeout_ms, request.deadline_ms or route.timeout_ms)
            self._refuse(caller, request, 503, reason, retry_after_ms(blocked_ms, remaining_ms))
            return
        self._admit(arrival, request, route, customer)

    def _handle_unconfirmed(self, now_ms: int) -> None:
        """Handle the requests again that wait for a confirmed configuration, or refuse them."""
        is_current = self.fleet.configuration_age.is_current(now_ms)
        for caller, arrival in list(self._unconfirmed.items()):
            if is_current:
                del self._unconfirmed[caller]
                self._handle(arrival)
            elif now_ms - arrival.arrived_ms >= _CONFIRMATION_WAIT_MS or self.draining():
                del self._unconfirmed[caller]
                reason = "unknown to the configuration, which may be outdated"
                request = self._decode(arrival)
                self._refuse(caller, request, 503, reason, _NO_CONFIRMATION_RETRY_MS)

    def wait_for_slot(self, exchange: Exchange) -> None:
        """Queue a request until an upstream slot is granted."""
        small = self._route_costs.observe_and_classify(
            exchange.service, exchange.route.name, exchange.work_tokens()
        )
        customer = exchange.customer
        weight = 0.0 if customer is None else self._customer_weights.get(customer.name, 0.0)
        # Requests without a body are often alike without being the same. One of a plain service may
        # be sent without a slot at the end of its wait, so it must not be refused before.
        is_recognisable = (
            exchange.route.retry_safety is RetrySafety.STREAM and exchange.request.body
        )
        request_hash = self._fingerprint(exchange.request) if is_recognisable else 0
        exchange.wait_number = self.fleet.slot_coordinator.wait(
            exchange, exchange.waiting(small, weight, request_hash)
        )

    def read_upstreams(self) -> None:
        """Trigger an immediate read of the list of upstreams."""
        self.on_newer_upstreams()

    def stop_waiting(self, number: int) -> None:
        """Cancel the wait with the given ticket number."""
        self.fleet.slot_coordinator.withdraw(number)

    def load_changed(self, upstream: UpstreamId) -> None:
        """Report a changed load, such as a free slot or a completed prefill, to the dispatcher."""
        self.fleet.load_changed(upstream)

    def exchange_finished(self, exchange: Exchange, outcome: Outcome) -> None:
        """Remove a finished exchange; a success clears the crash count of its request."""
        if self._exchanges.get(exchange.caller) is exchange:
            del self._exchanges[exchange.caller]
        self._cancel_limit_wait(exchange.caller)
        if outcome is Outcome.ANSWERED:
            self.crash_counts.clear(self._fingerprint(exchange.request))

    def upstream_crashed(self, exchange: Exchange) -> None:
        """Count a failed upstream connection against the request that it carried."""
        self.crash_counts.add(self._fingerprint(exchange.request), self.clock.now_ms())

    def begin_rollout(self, order: RolloutOrder) -> None:
        """Begin to send a small share of a service's requests to a new version."""
        if self.canaries.begin(order, self.clock.wall_ms()):
            _log.info(
                "rollout ordered",
                extra={
                    "service": order.service,
                    "version": order.version,
                    "offset": order.position.offset,
                    "era": order.position.era,
                    "duration_ms": order.duration_ms,
                },
            )

    def version_rule(self, exchange: Exchange, *, is_retry: bool) -> VersionRule | None:
        """Return the versions that may answer a request, None for all."""
        service = exchange.service
        target = self.canaries.target(service)
        if target is None:
            return None
        versions = self.placement.versions(service)
        if is_retry:
            return self.canaries.rule_after_failure(service, versions)
        return self.canaries.rule(
            service,
            exchange.request.request,
            versions,
            running=self.placement.own_running(service, target),
            daemons=self.fleet.live_hosts(),
            now_ms=self.clock.now_ms(),
        )

    def count_for_version(
        self, exchange: Exchange, version: str, latency_ms: float, *, failed: bool
    ) -> None:
        """Count an attempt for the comparison of a new version with the old one."""
        route = exchange.route.name
        self.canaries.record(exchange.service, route, version, latency_ms, failed=failed)

    def answer_began(self, exchange: Exchange) -> None:
        """Record that the answer to a request has begun, which acquits the parts of its prompt."""
        parts = exchange.request.prompt_parts
        if parts and self.crash_evidence.record_start(parts, self.clock.now_ms()):
            _log.info(
                "blocked parts of a prompt began an answer",
                extra={"request": exchange.request.request, "parts": [f"{p:x}" for p in parts]},
            )
            self.fleet.send_crash_evidence()

    def blocked_ms(self, request: IncomingRequest) -> int | None:
        """Return the time until blocked parts of a prompt may be tried, None if there are none."""
        blocked = self.crash_evidence.blocked_parts(request.prompt_parts, self.clock.now_ms())
        if not blocked:
            return None
        wait_ms = max(blocked.values())
        _log.info(
            "blocked a prompt",
            extra={
                "request": request.request,
                "parts": [f"{part:x}" for part in blocked],
                "crashes": [self.crash_evidence.suspicions()[part].crashes for part in blocked],
                "trial_in_ms": wait_ms,
            },
        )
        return wait_ms

    def answer_notices(
        self, exchange: Exchange, instance: InstanceId, notices: AnswerNotices
    ) -> None:
        """Record what the answer to a request says of the instance that sent it."""
        now_ms = self.clock.now_ms()
        request = exchange.request.request
        arrived_ms = self.fleet.arrival_ms()
        for change in self.placement.record_notices(instance, notices, arrived_ms, now_ms):
            self._log_notice(change, request, age_ms=now_ms - arrived_ms)
            if change.kind in (NoticeKind.LIMIT, NoticeKind.BRITTLE):
                self.fleet.limit_changed(instance)
        for kind, value in notices.invalid:
            if self.placement.is_first_invalid_notice(instance, kind, now_ms):
                _log.warning(
                    "ignored an invalid notice of an upstream",
                    extra={
                        "upstream": instance.upstream,
                        "notice": kind.value,
                        "value": value[:_MAX_LOGGED_CHARACTERS],
                        "request": request,
                    },
                )

    def upstream_lost(self, instance: InstanceId) -> None:
        """Record that an upstream could not be reached, or broke off a request."""
        self.placement.record_lost(instance, self.clock.now_ms())
        self._tell_cold_starts()

    def _tell_cold_starts(self) -> None:
        """Tell the peers of the upstreams that this gateway has found to be cold."""
        for cold in self.placement.cold_starts.take_new():
            self.metrics.cold_start(cold.cause.value)
            _log.info(
                "upstream is cold",
                extra={
                    "upstream": cold.instance.upstream,
                    "started_wall_ms": cold.instance.started_wall_ms,
                    "why": cold.cause.value,
                    "remaining_ms": cold.remaining_ms,
                },
            )
            self.fleet.limit_changed(cold.instance)

    def upstream_refused(self, instance: InstanceId) -> None:
        """Record that an upstream has refused a request without executing it."""
        if self.placement.record_refusal(instance, self.clock.now_ms()):
            _log.info("a brittle upstream refused a request", extra={"upstream": instance.upstream})
            self.fleet.limit_changed(instance)

    def _log_notice(
        self, change: NoticeChange, request: RequestId | None = None, *, age_ms: int = 0
    ) -> None:
        """Log that a notice of an upstream began, changed or ended, and count it."""
        state = "ended" if change.value is None else "heard"
        self.metrics.notice(change.kind.value, state)
        _log.info(
            f"notice of an upstream {state}",
            extra={
                "upstream": change.instance.upstream,
                "started_wall_ms": change.instance.started_wall_ms,
                "notice": change.kind.value,
                "value": change.value,
                "age_ms": age_ms,
                "request": request,
            },
        )

    def request_sent(self, exchange: Exchange, version: str) -> None:
        """Record that a request is sent, which may be the trial of blocked parts."""
        self.canaries.count_sent(exchange.service, version)
        request = exchange.request
        if self.crash_evidence.begin_trial(request.prompt_parts, self.clock.now_ms()):
            _log.info(
                "trying blocked parts of a prompt",
                extra={
                    "request": request.request,
                    "parts": [f"{part:x}" for part in request.prompt_parts],
                },
            )
            self.fleet.send_crash_evidence()

    def decision_context(self) -> dict[str, object]:
        """Return version and age of the data that decisions are based on, as log fields."""
        now_ms = self.clock.now_ms()
        return {
            "configuration": -1 if self._table is None else self._table.version,
            "configuration_age_ms": self.fleet.configuration_age.age_ms(now_ms),
            "configuration_confirmed_by": self.fleet.configuration_confirmed_by,
            "upstreams_age_ms": now_ms - self.upstreams_read_ms,
            "peers": self.fleet.active_peer_count(),
            "peers_age_ms": self.fleet.oldest_peer_state_ms(),
        }

    def render_metrics(self, accept_headers: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text with the response headers."""
        return self.metrics.render(accept_headers)

    def _admit(
        self,
        arrival: _Arrival,
        request: IncomingRequest,
        route: Route,
        customer: CustomerPolicy | None,
    ) -> None:
        """Start a request, once it is within its customer's limit."""
        if self._cannot_finish(route, self.clock.now_ms()):
            reason = "the daemon is about to end"
            self._refuse(arrival.caller, request, 503, reason, _DRAIN_RETRY_MS)
            return
        if customer is None or customer.units_per_s <= 0:
            self._new_exchange(arrival, request, route, customer).start()
            return
        wait = _LimitWait(arrival, request, route, customer, self._table)
        number = self.fleet.limit_coordinator.request(
            customer,
            customer.units(request.quota_tokens),
            lambda decision: self._limit_decided(wait, decision),
        )
        if number is None:
            return
        self._limit_waits[arrival.caller] = (number, wait)
        is_stream = route.retry_safety is RetrySafety.STREAM
        if is_stream and not self.fleet.limit_coordinator.is_scarce(customer):
            # The holders of the limit and the dispatcher are asked at the same time.
            wait.exchange = self._new_exchange(arrival, request, route, customer)
            wait.exchange.start_early()

    def _limit_decided(self, wait: _LimitWait, decision: LimitDecision) -> None:
        """Start or refuse a request whose customer's limit has been asked."""
        caller, request, customer = wait.arrival.caller, wait.request, wait.customer
        self._limit_waits.pop(caller, None)
        match decision:
            case Admitted(units=units) if self._table is wait.table:
                self.metrics.customer_units(customer.name, units, "admitted")
                if wait.exchange is None:
                    self._new_exchange(wait.arrival, request, wait.route, customer).start()
                else:
                    wait.exchange.admit()
            case Admitted():
                # Another version may send it elsewhere, or not allow it.
                self._withdraw_early(wait)
                self.fleet.limit_coordinator.give_back(decision)
                self._handle(wait.arrival)
            case Exhausted(wait_ms=wait_ms, needed_units=units):
                self._withdraw_early(wait)
                self.metrics.customer_units(customer.name, units, "refused")
                reason = f"the limit of customer {customer.name!r} is used up"
                self._refuse(caller, request, 429, reason, wait_ms, asdict(decision))
            case Unanswered(wait_ms=wait_ms, needed_units=units):
                self._withdraw_early(wait)
                self.metrics.customer_units(customer.name, units, "unanswered")
                reason = f"the limit of customer {customer.name!r} cannot be checked now"
                self._refuse(caller, request, 503, reason, wait_ms, asdict(decision))

    def _cancel_limit_wait(self, caller: CallerConnection) -> None:
        """Return what has been collected of the units that a request waits for."""
        limit_wait = self._limit_waits.pop(caller, None)
        if limit_wait is not None:
            self.fleet.limit_coordinator.cancel(limit_wait[0])

    def _withdraw_early(self, wait: _LimitWait) -> None:
        """End the wait for a slot of a request that is not admitted."""
        if wait.exchange is not None:
            self._exchanges.pop(wait.arrival.caller, None)
            wait.exchange.withdraw()

    def _new_exchange(
        self,
        arrival: _Arrival,
        request: IncomingRequest,
        route: Route,
        customer: CustomerPolicy | None,
    ) -> Exchange:
        caller = arrival.caller
        exchange = Exchange(self, caller, request, route, customer, arrival.arrived_ms)
        self._exchanges[caller] = exchange
        return exchange

    def _cannot_finish(self, route: Route, now_ms: int) -> bool:
        """Return whether this gateway, while draining, may be killed before a request ends.

        New requests may arrive until the process exits: when all gateways of a failure domain
        drain, the load balancer continues to send to them.
        """
        if self._drain_started_ms is None or now_ms - self._drain_started_ms < _BALANCER_DELAY_MS:
            return False
        available_ms = self._drain_started_ms + self._settings.grace_ms - _KILL_MARGIN_MS - now_ms
        return route.timeout_ms > available_ms

    def _refuse(
        self,
        caller: CallerConnection,
        request: IncomingRequest | None,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
        inputs: Mapping[str, object] | None = None,
    ) -> None:
        """Send an error response to a request that is not placed; `inputs` are logged."""
        headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        name: RequestId | None = None
        if request is not None:
            name = request.request
            headers += self.codec.request_id_headers(name)
        if retry_after_ms is not None:
            headers.append((b"Retry-After", f"{retry_after_ms / 1000:.3f}".encode()))
        self.metrics.request_refused(status)
        _log.info(
            "refused",
            extra={
                "request": name,
                "status": status,
                "why": reason,
                "retry_after_ms": retry_after_ms,
                **(inputs or {}),
                **self.decision_context(),
            },
        )
        caller.send_response(status, headers, f"{reason}\n".encode())

    def _fingerprint(self, request: IncomingRequest) -> Fingerprint:
        target = request.target.decode("latin-1")
        return fingerprint(request.api_key or "", target, request.body)

    def _listen(self, address: Address, factory: Any) -> Any:
        port = self.reactor.listenTCP(address.port, factory, interface=address.host, backlog=512)
        self._ports.append(port)
        return port

    def _tick(self) -> int:
        """Do what is due and return the milliseconds until the next call."""
        self.fleet.tick()
        self.fleet.slot_coordinator.tick()
        now_ms = self.clock.now_ms()
        self.memory.check(now_ms)
        if self._unconfirmed:
            self._handle_unconfirmed(now_ms)
        if now_ms - self._stalls_checked_ms >= _STALL_CHECK_MS:
            self._stalls_checked_ms = now_ms
            self.paths.check(self._awaited_upstreams(now_ms))
            for exchange in list(self._exchanges.values()):
                exchange.check_stall(now_ms)
        if self._drain_started_ms is not None:
            self._finish_draining(now_ms - self._drain_started_ms)
        is_waiting = self.slot_requests() or self.fleet.limit_coordinator.collecting()
        is_idle = not is_waiting and self._drain_started_ms is None
        is_large_fleet = self.fleet.interval_ms() >= 10 * _IDLE_TICK_MS
        return _IDLE_TICK_MS if is_idle and is_large_fleet else _TICK_MS

    def _awaited_upstreams(self, now_ms: int) -> dict[ServiceName, set[UpstreamId]]:
        """Return the upstreams that are silent although they have been sent requests."""
        awaited: dict[ServiceName, set[UpstreamId]] = {}
        for exchange in self._exchanges.values():
            upstream = exchange.awaited_upstream(now_ms)
            if upstream is not None:
                awaited.setdefault(exchange.service, set()).add(upstream)
        return awaited

    def slot_requests(self) -> int:
        """Return the slot requests of this gateway and those that it dispatches."""
        return self.fleet.slot_coordinator.waiting() + self.fleet.slot_coordinator.queued()

    def _finish_draining(self, elapsed_ms: int) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()
        if elapsed_ms >= self._settings.grace_ms - _KILL_MARGIN_MS:
            self._end_requests()
        held = len(self._exchanges) + sum(caller.busy for caller in self._callers)
        held += len(self.paths.tunnels.open_tunnels)
        # Keeps the gateway running until the load balancer has removed it.
        waiting = held or int(elapsed_ms < _BALANCER_DELAY_MS)
        self._apply(self._lifecycle.update_outstanding_work(OutstandingWork(waiting=waiting)))

    def _end_requests(self) -> None:
        """Answer all requests that are still held, as the process is about to be killed."""
        if self._exchanges:
            _log.warning(
                "ending requests before the process is killed",
                extra={
                    "held": len(self._exchanges),
                    "requests": [e.request.request for e in self._exchanges.values()],
                },
            )
        waits, self._limit_waits = self._limit_waits, {}
        for caller, (number, wait) in waits.items():
            self.fleet.limit_coordinator.cancel(number)
            self._withdraw_early(wait)
            reason = "the daemon is about to end"
            self._refuse(caller, wait.request, 503, reason, _DRAIN_RETRY_MS)
        for exchange in list(self._exchanges.values()):
            exchange.end_before_exit()
        self.paths.tunnels.close()

    def _maintain(self) -> None:
        if self.log_stream is not None:
            self.log_stream.flush()
        self.placement.refresh(self.clock.now_ms())
        self.paths.maintain()
        now_ms = self.clock.now_ms()
        for change in self.placement.expire_notices(now_ms):
            self._log_notice(change)
        if now_ms - self._canaries_checked_ms >= self.fleet.interval_ms():
            self._canaries_checked_ms = now_ms
            self._check_canaries(now_ms)
        usable = sum(not each.leaving for each in self.placement.upstreams.values())
        self.metrics.state(
            held=len(self._exchanges),
            version=-1 if self._table is None else self._table.version,
            configuration_age_ms=self.fleet.configuration_age.age_ms(now_ms),
            upstreams=usable,
            peers=self.fleet.active_peer_count(),
            peers_age_ms=self.fleet.oldest_peer_state_ms(),
            unreachable_upstreams=len(self.paths.reachability.unreachable()),
            tunnels=len(self.paths.tunnels.open_tunnels),
            blocked_parts=len(self.crash_evidence.suspicions()),
            dropped_lines=0 if self.log_stream is None else self.log_stream.dropped,
        )
        self.metrics.peer_traffic(
            *self.fleet.traffic(), passes_states_on=self.fleet.passes_states_on()
        )
        self.metrics.evacuated_domains(len(self.placement.evacuations.in_force))
        self.metrics.cold_upstreams(self.placement.cold_count())
        self.metrics.customers_above_share(self.fleet.slot_coordinator.log_above_share())
        self.metrics.memory(
            held_bytes=self.memory.total_bytes,
            connections=self.memory.connections(),
            waiting_bodies=self.memory.waiting_bodies(),
        )
        for kind, count in self.placement.notice_counts(now_ms).items():
            self.metrics.upstreams_with_notice(kind.value, count)

    def _check_canaries(self, now_ms: int) -> None:
        """Decide on the new versions, and tell the peers of counts and stops."""
        if not self.canaries.canaries():
            return
        running = {each.move for each in self.canaries.canaries() if each.stop_reason is None}
        facts = self.canaries.collect_facts(now_ms, self.clock.wall_ms())
        for canary in self.canaries.canaries():
            if canary.move in running and canary.stop_reason is not None:
                _log.warning(
                    "stopped a new version",
                    extra={
                        "service": canary.order.service,
                        "version": canary.order.version,
                        "why": canary.stop_reason,
                    },
                )
        if facts:
            self.fleet.send_facts(facts)

    def _apply(self, decisions: Sequence[LifecycleDecision]) -> None:
        for decision in decisions:
            match decision:
                case ReportReady(ready=ready):
                    self._ready = ready
                    _log.info("ready" if ready else "not ready")
                    if not ready:
                        self._drain_started_ms = self.clock.now_ms()
                case AnnounceState():
                    if self.draining():
                        self.fleet.announce_leaving()
                case AbortRequests():
                    _log.warning(
                        "forced exit without waiting for requests",
                        extra={"held": len(self._exchanges)},
                    )
                case ExitProcess(forced=forced):
                    self.exited.callback(forced)
