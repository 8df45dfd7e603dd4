"""Processing of one request: placement, attempts, retries and the response to the caller."""

import logging
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import CrashedRequest
from skylarkmoor_gateway.callerconnections import CallerConnection
from skylarkmoor_gateway.crashexaminer import CrashExaminer
from skylarkmoor_gateway.messages import (
    AttemptContext,
    BodyFraming,
    Codec,
    Headers,
    IncomingRequest,
    ResponseHead,
)
from skylarkmoor_gateway.metrics import GatewayMetrics
from skylarkmoor_gateway.paths import UpstreamPaths
from skylarkmoor_gateway.responses import CallerResponse
from skylarkmoor_gateway.slotcoordinator import SlotClient
from skylarkmoor_gateway.tunnels import TunnelRefused
from skylarkmoor_gateway.upstreams import UpstreamConnection, UpstreamPool
from skylarkmoor_policy.callertimeouts import (
    latest_start_ms,
    pause_retry_after_ms,
    queue_deadline_ms,
    retry_after_ms,
    return_after_ms,
    stall_timeout_ms,
)
from skylarkmoor_policy.dispatcher import SlotRequirements, Ticket
from skylarkmoor_policy.eventstream import EventTooLarge
from skylarkmoor_policy.fairshares import counted_work
from skylarkmoor_policy.fleetlimits import FleetRetryBudget
from skylarkmoor_policy.homeregions import home_regions
from skylarkmoor_policy.placement import Placement, UpstreamChoice
from skylarkmoor_policy.reachability import SILENCE_MS, DirectPath, PeerPath
from skylarkmoor_policy.routetable import CustomerPolicy, RetrySafety, Route
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.trackedupstream import TrackedUpstream
from skylarkmoor_policy.upstreamnotices import AnswerNotices, InstanceId
from skylarkmoor_policy.urgencyqueue import QueuedRequest
from skylarkmoor_policy.versionrules import OtherVersions, VersionRule

__all__ = ["OUTPUT_WEIGHT", "Exchange", "ExchangeContext", "Outcome"]

# Cost of an output token in prompt tokens. A decode step produces one token for each of about ten
# requests in a batch and takes as long as the prefill of 200 prompt tokens.
OUTPUT_WEIGHT = 20

# Grace period after the deadline in which a timeout response of the upstream itself may arrive.
_TIMEOUT_MARGIN_MS = 60
# Maximum attempts per request, including those that the upstream rejected without execution.
_MAX_SENDS = 4
# Maximum idle time of a pooled connection that is reused for a request that is not idempotent. The
# upstream might close an older one while the request is sent.
_MAX_REUSE_IDLE_MS = 1_000
# Delay before another placement while the list of upstreams is read, which takes some milliseconds.
_UPSTREAM_REFRESH_S = 0.02
# Time for the rest of a response that says that the request was not executed. Its body is short and
# of no use; the connection is not kept for it any longer.
_NOT_RUN_BODY_MS = 250
# Events after which the speed of a stream is counted for its version. A slow stream would otherwise
# be counted at its end only, when many more have begun.
_SAMPLE_EVENTS = 8
# Minimum time before the deadline for another attempt.
_MIN_REMAINING_MS = 30
# Peers that are tried for an attempt.
_MAX_PEERS = 2
# Placeholder that `SlotCoordinator.wait` replaces.
_NO_TICKET = Ticket(HostId(""), 0)

_log = part_logger("request")


class Outcome(Enum):
    """Outcome of a request; the values appear in metrics and logs."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN_OFF = "broken_off"
    ABANDONED = "abandoned"


class ExchangeContext(Protocol):
    """Services that an exchange uses; implemented by the gateway."""

    reactor: Any
    clock: Clock
    codec: Codec
    metrics: GatewayMetrics
    placement: Placement
    retries: FleetRetryBudget
    crash_examiner: CrashExaminer
    paths: UpstreamPaths

    def wait_for_slot(self, exchange: "Exchange") -> None:
        """Queue a request until an upstream slot is granted."""

    def stop_waiting(self, number: int) -> None:
        """Cancel the wait with the given ticket number."""

    def load_changed(self, upstream: UpstreamId) -> None:
        """Report a changed load, such as a free slot or a completed prefill, to the dispatcher."""

    def exchange_finished(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Record the end of an exchange."""

    def upstream_crashed(self, exchange: "Exchange") -> None:
        """Record that the connection to an upstream failed while it executed the request."""

    def version_rule(self, exchange: "Exchange", *, is_retry: bool) -> VersionRule | None:
        """Return the versions that may answer a request, None for all."""

    def count_for_version(
        self, exchange: "Exchange", version: str, latency_ms: float, *, failed: bool
    ) -> None:
        """Count an attempt for the comparison of a new version with the old one."""

    def answer_began(self, exchange: "Exchange") -> None:
        """Record that the answer to a request has begun."""

    def blocked_ms(self, request: IncomingRequest) -> int | None:
        """Return the time until blocked parts of a prompt may be tried, None if there are none."""

    def answer_notices(
        self, exchange: "Exchange", instance: InstanceId, notices: AnswerNotices
    ) -> None:
        """Record what the answer to a request says of the instance that sent it."""

    def upstream_refused(self, instance: InstanceId) -> None:
        """Record that an upstream has refused a request without executing it."""

    def upstream_lost(self, instance: InstanceId) -> None:
        """Record that an upstream could not be reached, or broke off a request."""

    def request_sent(self, exchange: "Exchange", version: str) -> None:
        """Record that a request is sent to an upstream of a version."""

    def read_upstreams(self) -> None:
        """Trigger an immediate read of the list of upstreams."""

    def decision_context(self) -> dict[str, object]:
        """Return version and age of the data that decisions are based on, as log fields."""


@dataclass(slots=True)
class _SendAttempt:
    """State of one attempt to get a response from an upstream."""

    upstream: UpstreamId
    version: str
    # Start time of the instance.
    started_wall_ms: int
    sent_ms: int
    queued_prefill_tokens: int
    connection: UpstreamConnection | None = None
    # Through which the connection goes, None for a direct one, and all that have been tried.
    peer: HostId | None = None
    tried_peers: set[HostId] = field(default_factory=set)
    has_data: bool = False
    predicted_ms: float = 0.0
    # Whether a permit was used up, as the upstream has named a limit.
    under_limit: bool = False
    # Of a stream, only complete events count as data.
    last_data_ms: int = 0
    head_ms: int = 0
    first_byte_ms: int = 0
    event_count: int = 0
    head: ResponseHead | None = None
    counted: bool = False


class Exchange(SlotClient):
    """A request and its attempts at upstreams.

    Parameters
    ----------
    gateway : ExchangeContext
        The gateway.
    caller : CallerConnection
        Connection that the response is written to.
    request : IncomingRequest
        The decoded request.
    route : Route
        The route that matches the request.
    customer : CustomerPolicy or None
        The customer that the API key belongs to.
    arrived_ms : int
        Time when the request had been received completely.

    Notes
    -----
    A request that is not idempotent is retried only if no byte of it was sent or if the upstream
    states that it did not execute the request.
    """

    def __init__(
        self,
        gateway: ExchangeContext,
        caller: CallerConnection,
        request: IncomingRequest,
        route: Route,
        customer: CustomerPolicy | None,
        arrived_ms: int,
    ) -> None:
        self.request = request
        self.route = route
        self.customer = customer
        self.service: ServiceName = route.service_for(request.request)
        self.arrived_ms = arrived_ms
        self.caller = caller
        # Regions that the request must not leave; None if it may be sent anywhere.
        self._regions = home_regions(
            route.home_regions, frozenset() if customer is None else customer.home_regions
        )
        # Ticket number while the request waits for a slot.
        self.wait_number: int | None = None
        self._has_waited = False
        self._is_admitted = True
        # Slot that was granted before the request was admitted.
        self._early_choice: UpstreamChoice | None = None
        self._gateway = gateway
        wait_ms = route.timeout_ms
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms)
        self._deadline_ms = arrived_ms + wait_ms
        # Time by which the first token is due.
        self._goal_ms = arrived_ms + route.goal_ms
        self._sends = 0
        # Whether the retry budget counts the request.
        self._is_counted = False
        self._runs = 0
        self._excluded_upstreams: set[UpstreamId] = set()
        # Upstreams of declined grants that this gateway did not know.
        self._unknown_upstreams: set[UpstreamId] = set()
        self._current: _SendAttempt | None = None
        self._done = False
        self._first_byte_ms: int | None = None
        # Head and number of events of the last attempt that has ended.
        self._last_head: ResponseHead | None = None
        self._last_events = 0
        self._response = CallerResponse(caller, gateway.clock, resumable=route.resumable)
        self._timer: Any = None

    @property
    def tier(self) -> int:
        """Priority tier: the customer's if it has one, else the route's."""
        if self.customer is not None and self.customer.tier is not None:
            return self.customer.tier
        return self.route.tier

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens, 0 for a request without a token count."""
        return self.request.prompt_tokens or 0

    def start(self) -> None:
        """Start the deadline timer and place the request."""
        wait_ms = max(0, self._deadline_ms - self._gateway.clock.now_ms())
        delay_s = (wait_ms + _TIMEOUT_MARGIN_MS) / 1000
        self._timer = self._gateway.reactor.callLater(delay_s, self._timed_out)
        self._place_request()

    def start_early(self) -> None:
        """Request a slot for a stream before it is known whether the request may be sent.

        Notes
        -----
        The request is sent after `admit` only.
        """
        self._is_admitted = False
        self.start()

    def admit(self) -> None:
        """Send a request that was started early once it has a slot, perhaps at once."""
        self._is_admitted = True
        choice = self._pop_early_choice()
        if choice is not None:
            self._dispatch(choice, self._gateway.clock.now_ms())

    def withdraw(self) -> None:
        """End a request that was started early and is not admitted, without a response."""
        self._done = True
        self._stop_waiting()

    def caller_disconnected(self) -> None:
        """Cancel the request because its caller has closed the connection."""
        if not self._done:
            self._end(Outcome.ABANDONED, "the caller closed the connection")

    def end_before_exit(self) -> None:
        """End the request because the process is about to end.

        Notes
        -----
        The upstream's connection is closed first, so that the upstream cancels the request.
        """
        if self._done:
            return
        reason = "the gateway ends before the request does"
        self._cancel_current()
        if self._response.started:
            self._abort(reason)
        elif self._runs > 0:
            self._fail(504, reason)
        else:
            self._refuse(reason, 0)

    def evacuations_changed(self) -> None:
        """Stop waiting for a slot if all upstreams of the service are evacuated now."""
        has_slot = self._current is not None or self._early_choice is not None
        if (
            self.wait_number is not None
            and not has_slot
            and self._gateway.placement.is_closed(self.service, self._regions)
        ):
            self._gateway.stop_waiting(self.wait_number)
            self.wait_number = None
            self._give_up_closed()

    def waiting(
        self, small: bool, customer_weight: float = 0.0, request_hash: int = 0
    ) -> QueuedRequest[SlotRequirements]:
        """Return the entry of this request for the slot queue.

        Parameters
        ----------
        small : bool
            Whether requests of the route are small compared with others of the service.
        customer_weight : float
            Weight of the customer's share relative to the mean; 0 if it is not known.
        request_hash : int
            Hash that identical requests share; 0 if it is not known.
        """
        # A later wait follows an attempt or a grant, and is no copy or return of the request.
        if self._has_waited:
            request_hash = 0
        self._has_waited = True
        now_ms = self._gateway.clock.now_ms()
        has_run = self._runs > 0
        return QueuedRequest(
            item=SlotRequirements(
                _NO_TICKET,
                SlotGroup(self.service),
                self.prompt_tokens,
                self.route.max_event_gap_ms,
                self._output_tokens(),
                self._deadline_ms,
                # Dispatchers of older builds do not know of home regions.
                self._gateway.placement.outside(self.service, self._regions).union(
                    self._excluded_upstreams
                ),
                self._version_rule(),
                customer="" if self.customer is None else self.customer.name,
                customer_weight=customer_weight,
                work_tokens=counted_work(self.work_tokens()),
                request_hash=request_hash,
                regions=self._regions,
            ),
            tier=self.tier,
            route_tier=self.route.tier,
            arrived_ms=self.arrived_ms,
            latest_start_ms=latest_start_ms(self.route, self.arrived_ms, self.prompt_tokens),
            queue_deadline_ms=self._queue_deadline_ms(now_ms),
            expedited=small or has_run,
        )

    def check_stall(self, now_ms: int) -> None:
        """Fail the attempt if its upstream has sent nothing for too long and a retry is allowed.

        Notes
        -----
        The connection is closed first, so that the upstream cancels the request.
        """
        attempt = self._current
        if self._done or attempt is None or attempt.connection is None:
            return
        if attempt.head is not None and attempt.head.not_run:
            if now_ms - attempt.head_ms > _NOT_RUN_BODY_MS:
                attempt.connection.abort()
                self._handle_not_run(attempt, attempt.head)
            return
        if not self.route.idempotent:
            return
        silent_ms = now_ms - max(attempt.sent_ms, attempt.last_data_ms)
        if silent_ms < stall_timeout_ms(self.route, attempt.predicted_ms) and not (
            silent_ms > SILENCE_MS and self._is_lost(attempt)
        ):
            return
        if self._runs < self.route.max_upstreams and self._sends < _MAX_SENDS:
            self._fail_attempt(attempt, f"the upstream was silent for {silent_ms} ms")

    def awaited_upstream(self, now_ms: int) -> UpstreamId | None:
        """Return the upstream that is silent although it has been sent the request directly."""
        attempt = self._current
        if attempt is None or attempt.connection is None or attempt.peer is not None:
            return None
        silent_ms = now_ms - max(attempt.sent_ms, attempt.last_data_ms)
        return attempt.upstream if silent_ms > SILENCE_MS else None

    def _is_lost(self, attempt: _SendAttempt) -> bool:
        """Return whether the path of an attempt is down, and not only that of new connections."""
        return (
            attempt.peer is None
            and self._gateway.paths.is_lost(attempt.upstream)
            and self._gateway.paths.is_silent(self.service)
        )

    def _version_rule(self) -> VersionRule | None:
        return self._gateway.version_rule(self, is_retry=self._sends > 0)

    def work_tokens(self) -> float:
        """Return the estimated cost of the request in prompt tokens."""
        return self.prompt_tokens + self._output_tokens() * OUTPUT_WEIGHT

    def _output_tokens(self) -> int:
        return self.request.expected_output_tokens or self.request.max_output_tokens or 0

    def slot_granted(self, choice: UpstreamChoice, now_ms: int) -> None:
        """Handle a granted slot by sending the request to its upstream."""
        self.wait_number = None
        if self._done:
            return
        self._gateway.metrics.slot_granted(
            self.service,
            self.route.name,
            in_time=now_ms + choice.predicted_first_token_ms <= self._goal_ms,
        )
        if self._is_admitted:
            self._dispatch(choice, now_ms)
        else:
            self._early_choice = choice
            # Otherwise the slot would be granted again before the request is sent.
            self._gateway.placement.record_start(choice.upstream, self.prompt_tokens)

    def wait_timed_out(self) -> None:
        """Refuse or abort the request, because no slot was granted in time."""
        self.wait_number = None
        if self._done:
            return
        if self._runs:
            self._give_up("no other upstream had a free slot in time")
            return
        if self.route.retry_safety is not RetrySafety.STREAM:
            now_ms = self._gateway.clock.now_ms()
            choice = self._choose(now_ms, self._gateway.placement.guarded(self.service))
            if choice is not None:
                self._dispatch(choice, now_ms)
                return
        self._refuse("all slots of the service are taken", None)

    def slot_refused(self, available_in_ms: int) -> None:
        """Refuse the request, because its dispatcher expects no slot for it in time."""
        if self._done or self._runs or self.route.retry_safety is not RetrySafety.STREAM:
            self.wait_timed_out()
            return
        self.wait_number = None
        self._gateway.metrics.early_refusal(self.service)
        remaining_ms = self._deadline_ms - self._gateway.clock.now_ms()
        # The same at all gateways, and different for the callers that are refused together.
        spread = hash64(self.request.request) / 2**64
        self._refuse_for(
            "no slot becomes free in time",
            return_after_ms(available_in_ms, remaining_ms, spread),
            available_in_ms=available_in_ms,
        )

    def _place_request(self) -> None:
        if self._gateway.placement.is_closed(self.service, self._regions):
            self._give_up_closed()
            return
        now_ms = self._gateway.clock.now_ms()
        outside = self._gateway.placement.outside(self.service, self._regions)
        resume_ms = self._gateway.placement.next_resume_ms(
            self.service, now_ms, self._excluded_upstreams | outside
        )
        if resume_ms is not None and resume_ms >= self._queue_deadline_ms(now_ms):
            self._give_up_until(resume_ms)
        elif resume_ms is not None or self._needs_slot():
            self._gateway.wait_for_slot(self)
        else:
            choice = self._choose(now_ms)
            if choice is None:
                self._give_up("no upstream of the service may take the request")
            else:
                self._dispatch(choice, now_ms)

    def _needs_slot(self) -> bool:
        """Return whether a dispatcher has to grant a slot for the request.

        Notes
        -----
        Plain services need none, unless the dispatcher has to count for a limit.
        """
        is_stream = self.route.retry_safety is RetrySafety.STREAM
        return is_stream or bool(self._gateway.placement.guarded(self.service))

    def _choose(
        self, now_ms: int, exclude: frozenset[UpstreamId] = frozenset()
    ) -> UpstreamChoice | None:
        """Return the best upstream that may be sent the request now, None if there is none."""
        placement = self._gateway.placement
        return placement.choose(
            self.service,
            self.prompt_tokens,
            now_ms,
            self._excluded_upstreams | exclude | placement.paused(self.service, now_ms),
            version_rule=self._version_rule(),
            regions=self._regions,
        )

    def _queue_deadline_ms(self, now_ms: int) -> int:
        has_run = self._runs > 0
        return queue_deadline_ms(
            self.route, self.arrived_ms, now_ms, self._deadline_ms, has_run=has_run
        )

    def _dispatch(self, choice: UpstreamChoice, now_ms: int) -> None:
        placed = self._gateway.placement.upstreams.get(choice.upstream)
        if (
            placed is None
            or not _may_send(placed, now_ms, choice.under_limit)
            or not self._is_allowed(placed)
            or not self._is_home(placed)
        ):
            self._decline(choice.upstream, placed)
            return
        self._sends += 1
        if not self._is_counted:
            self._is_counted = True
            self._gateway.retries.count_request(self.service, now_ms)
        self._log_choice(choice, now_ms)
        self._current = _SendAttempt(
            choice.upstream,
            placed.registration.version,
            placed.started_wall_ms,
            now_ms,
            placed.prefill_tokens(),
        )
        self._current.predicted_ms = choice.predicted_first_token_ms
        self._current.under_limit = choice.under_limit
        self._gateway.placement.record_start(choice.upstream, self.prompt_tokens)
        self._connect(self._current)

    def _is_allowed(self, upstream: TrackedUpstream) -> bool:
        """Return whether the route may send the request to the service and version of an upstream.

        Notes
        -----
        Checked right before sending, whoever has chosen the upstream: a peer may have read another
        list of upstreams, or mean another request.
        """
        listed = upstream.registration
        return listed.service == self.service and self._version_rule() != OtherVersions(
            listed.version
        )

    def _is_home(self, upstream: TrackedUpstream) -> bool:
        """Return whether an upstream is in the home regions of the request."""
        domain = upstream.registration.failure_domain
        return self._gateway.placement.regions.is_home(domain, self._regions)

    def _barred_peers(self) -> set[HostId]:
        """Return the peers that the body may not pass, because of its home regions."""
        if self._regions is None:
            return set()
        return self._gateway.paths.barred_peers(self._regions)

    def _decline(self, upstream: UpstreamId, placed: TrackedUpstream | None) -> None:
        """Request another slot, because the upstream of the grant is unknown or unavailable."""
        unknown = placed is None
        # The upstream may be chosen again after its pause, or with a permit.
        is_deferred = (
            placed is not None
            and not placed.leaving
            and not placed.replaced
            and placed.registration.service == self.service
            and self._is_home(placed)
        )
        _log.info(
            "declined a granted slot: upstream unknown, unavailable or not allowed",
            extra={
                "request": self.request.request,
                "upstream": upstream,
                "unknown": unknown,
                "service": None if placed is None else placed.registration.service,
            },
        )
        if unknown and upstream not in self._unknown_upstreams:
            # The dispatcher may have read a newer list of upstreams than this gateway.
            self._unknown_upstreams.add(upstream)
            self._gateway.read_upstreams()
            self._gateway.reactor.callLater(_UPSTREAM_REFRESH_S, self._retry_placement)
            return
        if not is_deferred:
            self._excluded_upstreams.add(upstream)
        self._gateway.reactor.callLater(0, self._retry_placement)

    def _retry_placement(self) -> None:
        if not self._done:
            self._place_request()

    def _log_choice(self, choice: UpstreamChoice, now_ms: int) -> None:
        _log.info(
            "sending request to upstream",
            extra={
                "request": self.request.request,
                "route": self.route.name,
                "customer": None if self.customer is None else self.customer.name,
                "service": self.service,
                "upstream": choice.upstream,
                "send": self._sends,
                "predicted_ms": round(choice.predicted_first_token_ms),
                "running": choice.running,
                "slots": choice.slots,
                "asked_groups": choice.asked_groups,
                "remaining_ms": self._deadline_ms - now_ms,
                "goal_in_ms": self._goal_ms - now_ms,
                "tier": self.tier,
                "prompt_tokens": self.request.prompt_tokens,
                "output_tokens": self.request.expected_output_tokens,
                "waited_ms": now_ms - self.arrived_ms,
                **self._gateway.decision_context(),
            },
        )

    def _connect(self, attempt: _SendAttempt) -> None:
        barred = self._barred_peers()
        match self._gateway.paths.path(attempt.upstream, attempt.tried_peers | barred):
            case PeerPath(host=host):
                attempt.peer = host
                self._log_peer(attempt)
            case DirectPath():
                attempt.peer = None
        pool = self._gateway.paths.pool(attempt.upstream, attempt.peer)
        if pool is None:
            self._handle_unsent(attempt, "the upstream is gone")
            return
        idle_connection = pool.acquire(None if self.route.idempotent else _MAX_REUSE_IDLE_MS)
        if idle_connection is not None:
            self._transmit(attempt, idle_connection)
            return
        pool.connect().addCallbacks(
            lambda connection: self._connected(attempt, pool, connection),
            lambda failure: self._connect_failed(attempt, failure),
        )

    def _log_peer(self, attempt: _SendAttempt) -> None:
        self._gateway.metrics.sent_through_peer(self.service)
        _log.info(
            "sending request through a peer: the upstream is not reached from here",
            extra={
                "request": self.request.request,
                "upstream": attempt.upstream,
                "peer": attempt.peer,
                "tried": sorted(attempt.tried_peers),
            },
        )

    def _connected(
        self, attempt: _SendAttempt, pool: UpstreamPool, connection: UpstreamConnection
    ) -> None:
        if self._done or self._current is not attempt:
            pool.release(connection)
            return
        now_ms = self._gateway.clock.now_ms()
        placed = self._gateway.placement.upstreams.get(attempt.upstream)
        connect_ms = now_ms - attempt.sent_ms
        # The pool is replaced if the upstream was started again.
        current_pool = self._gateway.paths.pool(attempt.upstream, attempt.peer)
        if placed is None or placed.leaving or current_pool is not pool:
            connection.abort()
            self._handle_unsent(
                attempt, f"the upstream left while connecting to it took {connect_ms} ms"
            )
        # The rule for versions was applied to the choice; it is another one from here on.
        elif (placed.registration.service, placed.registration.version) != (
            self.service,
            attempt.version,
        ):
            pool.release(connection)
            self._handle_unsent(
                attempt,
                "the upstream changed its service or version while connecting to it took"
                f" {connect_ms} ms",
            )
        elif not _may_send(placed, now_ms, attempt.under_limit):
            pool.release(connection)
            self._gateway.metrics.turned_back(self.service)
            self._handle_unsent(
                attempt,
                "the upstream was evacuated, asked for a pause or named a limit while connecting"
                f" to it took {connect_ms} ms",
            )
        else:
            self._transmit(attempt, connection)

    def _connect_failed(self, attempt: _SendAttempt, failure: Failure) -> None:
        if self._done or self._current is not attempt:
            return
        if not isinstance(failure.value, ConnectError):
            _log.warning(
                "unexpected error while connecting to upstream",
                extra={"error": failure.getErrorMessage()},
            )
        is_refused = isinstance(failure.value, TunnelRefused)
        if attempt.peer is not None:
            attempt.tried_peers.add(attempt.peer)
            self._gateway.paths.peer_failed(attempt.peer, attempt.upstream if is_refused else None)
        if len(attempt.tried_peers) < _MAX_PEERS:
            barred = self._barred_peers()
            path = self._gateway.paths.path(attempt.upstream, attempt.tried_peers | barred)
            if isinstance(path, PeerPath):
                self._connect(attempt)
                return
        # That a peer is not reached tells nothing of the upstream.
        if self._is_gone(attempt, failure.value):
            self._gateway.upstream_lost(InstanceId(attempt.upstream, attempt.started_wall_ms))
        if attempt.peer is None or is_refused:
            self._gateway.placement.back_off(attempt.upstream, self._gateway.clock.now_ms())
        self._handle_unsent(attempt, f"connecting failed: {failure.getErrorMessage()}")

    def _is_gone(self, attempt: _SendAttempt, error: BaseException | None) -> bool:
        """Return whether an upstream may have ended, and not only the path to it."""
        if isinstance(error, TunnelRefused):
            return error.by_upstream
        if attempt.peer is not None:
            return False
        return isinstance(error, RefusedError) or not self._gateway.paths.is_lost(attempt.upstream)

    def _handle_unsent(self, attempt: _SendAttempt, reason: str) -> None:
        """Retry after an attempt of which no byte was sent."""
        self._release(attempt, fault=None)
        if self._is_deferred(attempt):
            # The upstream may be chosen again later, and the attempt does not use up the sends.
            self._sends -= 1
        else:
            self._excluded_upstreams.add(attempt.upstream)
        self._retry(attempt, reason, counts_against_budget=False)

    def _is_deferred(self, attempt: _SendAttempt) -> bool:
        """Return whether the upstream may be sent the request only later, or with a permit."""
        now_ms = self._gateway.clock.now_ms()
        placed = self._gateway.placement.upstreams.get(attempt.upstream)
        return (
            placed is not None
            and not placed.leaving
            and not placed.replaced
            and not _may_send(placed, now_ms, attempt.under_limit)
        )

    def _transmit(self, attempt: _SendAttempt, connection: UpstreamConnection) -> None:
        now_ms = self._gateway.clock.now_ms()
        # Nothing lies between this check and the write, on whatever way the connection was found.
        placed = self._gateway.placement.upstreams.get(attempt.upstream)
        if (
            placed is None
            or not _may_send(placed, now_ms, attempt.under_limit)
            or not self._is_home(placed)
        ):
            self._put_back(attempt, connection)
            self._gateway.metrics.turned_back(self.service)
            self._handle_unsent(attempt, "the upstream may not be sent requests any more")
            return
        remaining_ms = self._deadline_ms - now_ms
        if remaining_ms <= 0:
            self._handle_unsent(attempt, "the deadline has passed")
            return
        blocked_ms = self._gateway.blocked_ms(self.request)
        if blocked_ms is not None:
            self._release(attempt, fault=None)
            self._put_back(attempt, connection)
            self._stop_blocked(blocked_ms)
            return
        self._gateway.request_sent(self, attempt.version)
        customer = None if self.customer is None else self.customer.name
        upstream_context = AttemptContext(
            attempt.upstream, remaining_ms, customer, self._last_event_id()
        )
        headers = self._gateway.codec.encode_request(self.request, upstream_context)
        headers.append((b"Content-Length", str(len(self.request.body)).encode()))
        attempt.connection = connection
        self._response.attach(connection)
        self._runs += 1
        connection.send(
            self.request.method,
            self.request.target,
            headers,
            self.request.body,
            _ExchangeReader(self, attempt),
        )

    def response_head(self, attempt: _SendAttempt, status: int, headers: Headers) -> None:
        """Process the head of the upstream's response."""
        head = self._gateway.codec.decode_response(status, headers)
        attempt.head = head
        attempt.head_ms = self._gateway.clock.now_ms()
        connection = attempt.connection
        # An upstream may write an earlier answer once more on a connection that is in use again.
        is_first_answer = connection is None or connection.sent == 1
        if head.request != self.request.request and not (head.request is None and is_first_answer):
            self._fail_attempt(attempt, f"the answer names the request {head.request!r}")
            return
        # An answer with this status comes from another instance, which has the address now.
        if not head.instance_replaced:
            instance = InstanceId(attempt.upstream, attempt.started_wall_ms)
            self._gateway.answer_notices(self, instance, head.notices)
        if head.keep_alive_ms is not None and connection is not None:
            pool = self._gateway.paths.pool(attempt.upstream, attempt.peer)
            if pool is not None:
                pool.set_keep_alive(connection, head.keep_alive_ms)
        if 200 <= status < 300 and not head.has_signature:
            self._fail_attempt(attempt, "the answer has no signature")
        elif self._response.started and status == 200 and not head.has_events:
            self._fail_attempt(attempt, "a stream was resumed with what are no events")

    def response_data(self, attempt: _SendAttempt, data: bytes) -> None:
        """Process a chunk of the body of the upstream's response."""
        head = attempt.head
        if head is None or head.not_run:
            return
        if not attempt.has_data:
            attempt.has_data = True
            attempt.last_data_ms = self._gateway.clock.now_ms()
            self._record_first_byte(attempt)
        if self.route.retry_safety is RetrySafety.STREAM and head.status == 200:
            try:
                events = self._response.forward_events(head, data, attempt.connection)
            except EventTooLarge as error:
                self._fail_attempt(attempt, str(error))
                return
            if events:
                if not attempt.event_count:
                    self._gateway.answer_began(self)
                attempt.event_count += events
                attempt.last_data_ms = self._gateway.clock.now_ms()
                if attempt.event_count >= _SAMPLE_EVENTS:
                    self._count_for_version(attempt, fault=None)
            return
        attempt.last_data_ms = self._gateway.clock.now_ms()
        if not (self.route.resumable and self._response.started):
            # The body of an error response must not be appended to a stream that was being resumed.
            self._response.buffer_body(head, data, attempt.connection)

    def response_end(self, attempt: _SendAttempt) -> None:
        """Process the end of a complete response of the upstream."""
        head = attempt.head
        if head is None:
            self.response_failed(attempt, "the answer has no head")
            return
        if head.not_run:
            self._handle_not_run(attempt, head)
            return
        missing = self._missing_part(attempt, head)
        if missing is not None:
            self.response_failed(attempt, missing)
            return
        failed = head.status >= 500
        elapsed_ms = self._gateway.clock.now_ms() - attempt.sent_ms
        if failed:
            self._excluded_upstreams.add(attempt.upstream)
        if failed and not self._response.started and self.route.idempotent and self._may_retry():
            self._release(attempt, fault=True)
            self._response.discard_partial()
            self._retry(attempt, f"the upstream answered {head.status}", counts_against_budget=True)
            return
        if attempt.event_count:
            stream_ms = self._gateway.clock.now_ms() - attempt.first_byte_ms
            expected = self.request.expected_output_tokens
            self._gateway.placement.record_stream(
                attempt.upstream, attempt.event_count, stream_ms, expected
            )
        self._release(attempt, fault=failed, held_ms=None if failed else elapsed_ms)
        if self._response.started and head.status != 200 and self.route.resumable:
            self._abort(f"a resumed stream was answered with {head.status}")
            return
        self._response.finish(head)
        self._end(Outcome.ANSWERED, "", status=head.status)

    def _missing_part(self, attempt: _SendAttempt, head: ResponseHead) -> str | None:
        """Return what a stream lacks although its framing says that it is complete.

        Notes
        -----
        An upstream that resumes a stream may have nothing to add. The close of its connection does
        not say so, as it would also be closed if the upstream had failed.
        """
        is_stream = self.route.retry_safety is RetrySafety.STREAM and head.status == 200
        if not is_stream or not head.has_events:
            return None
        if self._response.inside_event:
            return "the stream ended inside an event"
        is_resumed = self._last_event_id() is not None
        if not attempt.event_count and (not is_resumed or head.framing is BodyFraming.CLOSE):
            return "the stream ended without an event"
        return None

    def _last_event_id(self) -> bytes | None:
        return self._response.last_event_id or self.request.last_event_id

    def _handle_not_run(self, attempt: _SendAttempt, head: ResponseHead) -> None:
        """Retry a request that the upstream has not executed."""
        self._runs -= 1
        if head.instance_replaced:
            self._gateway.placement.mark_replaced(attempt.upstream, self._gateway.clock.now_ms())
        else:
            instance = InstanceId(attempt.upstream, attempt.started_wall_ms)
            self._gateway.upstream_refused(instance)
        self._release(attempt, fault=None)
        if not self._is_deferred(attempt):
            self._excluded_upstreams.add(attempt.upstream)
        self._retry(attempt, f"the upstream refused with {head.status}", counts_against_budget=True)

    def response_failed(self, attempt: _SendAttempt, reason: str) -> None:
        """Process a connection failure before the response was complete."""
        if self._done or self._current is not attempt:
            return
        if attempt.peer is None and not self._gateway.paths.is_lost(attempt.upstream):
            self._gateway.upstream_lost(InstanceId(attempt.upstream, attempt.started_wall_ms))
        if not self.request.prompt_parts or attempt.event_count:
            self._fail_attempt(attempt, reason)
            return
        self._end_failed(attempt)
        began = attempt.head is not None
        suspect = CrashedRequest(self.request.request, began, self.request.prompt_parts)
        # A request whose answer was about to begin may crash the next upstream as well.
        self._gateway.crash_examiner.examine(
            attempt.upstream,
            attempt.started_wall_ms,
            suspect,
            lambda: self._examined(attempt, reason) if began else None,
        )
        if not began:
            self._retry_or_fail(attempt, reason)

    def _examined(self, attempt: _SendAttempt, reason: str) -> None:
        if not self._done:
            self._retry_or_fail(attempt, reason)

    def _fail_attempt(self, attempt: _SendAttempt, reason: str) -> None:
        self._end_failed(attempt)
        self._retry_or_fail(attempt, reason)

    def _end_failed(self, attempt: _SendAttempt) -> None:
        if attempt.connection is not None:
            attempt.connection.abort()
        # The failure of a lost path, or of a peer, says nothing of the upstream.
        is_rated = attempt.peer is None and not self._gateway.paths.is_lost(attempt.upstream)
        self._release(attempt, fault=True if is_rated else None)
        self._excluded_upstreams.add(attempt.upstream)
        if is_rated:
            self._gateway.upstream_crashed(self)
        self._response.discard_partial()

    def _retry_or_fail(self, attempt: _SendAttempt, reason: str) -> None:
        blocked_ms = self._gateway.blocked_ms(self.request)
        if blocked_ms is not None:
            self._stop_blocked(blocked_ms)
        elif self.route.idempotent and self._may_retry():
            self._retry(attempt, reason, counts_against_budget=True)
        elif self._response.started:
            self._abort(reason)
        else:
            self._fail(502, reason)

    def _stop_blocked(self, blocked_ms: int) -> None:
        """End a request with parts of a prompt that have crashed upstreams."""
        reason = "a part of the prompt has crashed upstreams"
        if self._response.started:
            self._abort(reason)
        elif self._runs > 0:
            self._fail(502, reason)
        else:
            self._refuse(reason, blocked_ms)

    def _put_back(self, attempt: _SendAttempt, connection: UpstreamConnection) -> None:
        """Return a connection on which nothing was sent to its pool."""
        pool = self._gateway.paths.pool(attempt.upstream, attempt.peer)
        if pool is None:
            connection.abort()
        else:
            pool.release(connection)

    def _may_retry(self) -> bool:
        if self._done or self._runs >= self.route.max_upstreams or self._sends >= _MAX_SENDS:
            return False
        if self._deadline_ms - self._gateway.clock.now_ms() < _MIN_REMAINING_MS:
            return False
        if not self._response.can_continue:
            return False
        now_ms = self._gateway.clock.now_ms()
        choice = self._choose(now_ms)
        return choice is not None and self._gateway.retries.try_acquire(self.service, now_ms)

    def _retry(self, attempt: _SendAttempt, reason: str, *, counts_against_budget: bool) -> None:
        """Place the request again if the limits on attempts, retries and time allow it.

        For an attempt that was executed and failed, the calling method has already charged the
        retry budget. An attempt that the upstream refused without execution is charged here,
        and one that was never sent is not charged.
        """
        _log.info(
            "upstream attempt failed",
            extra={
                "request": self.request.request,
                "upstream": attempt.upstream,
                "why": reason,
                "send": self._sends,
                "runs": self._runs,
            },
        )
        repeat_allowed = self._sends < _MAX_SENDS
        if counts_against_budget and attempt.head is not None and attempt.head.not_run:
            repeat_allowed = repeat_allowed and self._gateway.retries.try_acquire(
                self.service, self._gateway.clock.now_ms()
            )
        if not repeat_allowed or self._deadline_ms <= self._gateway.clock.now_ms():
            self._give_up(reason)
            return
        self._place_request()

    def _give_up(self, reason: str) -> None:
        if self._response.started:
            self._abort(reason)
        elif self._runs > 0:
            self._fail(502, reason)
        else:
            self._refuse(reason, self.route.goal_ms)

    def _give_up_until(self, resume_ms: int) -> None:
        """End the request, because no upstream wants one from this host before `resume_ms`."""
        reason = "no upstream of the service wants a request yet"
        if self._response.started or self._runs > 0:
            self._give_up(reason)
            return
        now_ms = self._gateway.clock.now_ms()
        remaining_ms = self._deadline_ms - now_ms
        self._refuse_for(reason, pause_retry_after_ms(resume_ms - now_ms, remaining_ms, self.tier))

    def _give_up_closed(self) -> None:
        """End the request, because no upstream may be sent it."""
        reason = (
            "all upstreams of the service are in evacuated failure domains"
            if self._regions is None
            else "no upstream in the home regions of the request may be sent requests"
        )
        if self._response.started or self._runs > 0:
            self._give_up(reason)
        else:
            # Nothing tells when the evacuation ends.
            self._refuse(reason, None)

    def _refuse(self, reason: str, retry_hint_ms: int | None) -> None:
        """Respond that the request was not executed, with a time for the next try."""
        remaining_ms = self._deadline_ms - self._gateway.clock.now_ms()
        self._refuse_for(reason, retry_after_ms(retry_hint_ms, remaining_ms))

    def _refuse_for(self, reason: str, retry_ms: int, **details: object) -> None:
        self._send_error(503, reason, [(b"Retry-After", f"{retry_ms / 1000:.3f}".encode())])
        placement = self._gateway.placement
        self._end(
            Outcome.REFUSED,
            reason,
            status=503,
            retry_after_ms=retry_ms,
            paused=sorted(placement.paused(self.service, self._gateway.clock.now_ms())),
            limited=sorted(placement.guarded(self.service)),
            **details,
        )

    def _fail(self, status: int, reason: str) -> None:
        """Respond with an error; the request may have been executed."""
        self._send_error(status, reason, [])
        self._end(Outcome.FAILED, reason, status=status)

    def _abort(self, reason: str) -> None:
        self._response.abort_response()
        self._end(Outcome.BROKEN_OFF, reason)

    def _send_error(self, status: int, reason: str, headers: Headers) -> None:
        id_headers = self._gateway.codec.request_id_headers(self.request.request)
        content_type = [(b"Content-Type", b"text/plain; charset=utf-8")]
        self._response.send_error(
            status, [*id_headers, *content_type, *headers], f"{reason}\n".encode()
        )

    def _timed_out(self) -> None:
        self._timer = None
        if self._done:
            return
        attempt = self._current
        if attempt is None or attempt.connection is None:
            # An earlier attempt may have been executed.
            self._give_up("the deadline passed while no upstream had the request")
        elif self._response.started:
            self._cancel_current()
            self._abort("the deadline passed in the middle of the answer")
        else:
            self._cancel_current()
            self._fail(504, "the deadline passed without an answer")

    def _record_first_byte(self, attempt: _SendAttempt) -> None:
        now_ms = self._gateway.clock.now_ms()
        attempt.first_byte_ms = now_ms
        self._gateway.placement.record_first_token(
            attempt.upstream,
            self.prompt_tokens,
            now_ms - attempt.sent_ms,
            attempt.queued_prefill_tokens,
        )
        if self._needs_slot():
            self._gateway.load_changed(attempt.upstream)
        if self._first_byte_ms is None:
            self._first_byte_ms = now_ms - self.arrived_ms
            self._gateway.metrics.first_byte(self.service, self.route.name, self._first_byte_ms)

    def _cancel_current(self) -> None:
        attempt = self._current
        if attempt is None:
            return
        if attempt.connection is not None:
            attempt.connection.abort()
        self._release(attempt, fault=None)

    def _release(
        self, attempt: _SendAttempt, *, fault: bool | None, held_ms: int | None = None
    ) -> None:
        if self._current is not attempt:
            return
        self._current = None
        self._last_head, self._last_events = attempt.head, attempt.event_count
        self._count_for_version(attempt, fault)
        self._response.detach()
        unread_tokens = 0 if attempt.has_data else self.prompt_tokens
        self._gateway.placement.record_end(
            attempt.upstream, unread_tokens, held_ms=held_ms, fault=fault
        )
        if self._needs_slot():
            self._gateway.load_changed(attempt.upstream)

    def _count_for_version(self, attempt: _SendAttempt, fault: bool | None) -> None:
        """Count the speed of an attempt once, and its failure also if its speed has been counted.

        Notes
        -----
        Without two events the time of a stream does not tell a slow upstream from a long prompt.
        """
        if attempt.connection is None or (attempt.counted and not fault):
            return
        is_stream = self.route.retry_safety is RetrySafety.STREAM
        if attempt.event_count > 1:
            stream_ms = attempt.last_data_ms - attempt.first_byte_ms
            latency_ms = stream_ms / (attempt.event_count - 1)
        elif fault:
            latency_ms = 0.0
        elif fault is None or is_stream:
            return
        else:
            latency_ms = float(self._gateway.clock.now_ms() - attempt.sent_ms)
        attempt.counted = True
        self._gateway.count_for_version(self, attempt.version, latency_ms, failed=bool(fault))

    def _end(self, outcome: Outcome, reason: str, **details: object) -> None:
        if self._done:
            return
        self._cancel_current()
        self._done = True
        self._stop_waiting()
        now_ms = self._gateway.clock.now_ms()
        is_expected = outcome in (Outcome.ANSWERED, Outcome.ABANDONED)
        _log.log(
            logging.INFO if is_expected else logging.WARNING,
            outcome.value.replace("_", " "),
            extra={
                "request": self.request.request,
                "route": self.route.name,
                "customer": None if self.customer is None else self.customer.name,
                "why": reason,
                "first_ms": self._first_byte_ms,
                "longest_gap_ms": self._response.longest_gap_ms,
                "total_ms": now_ms - self.arrived_ms,
                "sends": self._sends,
                "runs": self._runs,
                "framing": None if self._last_head is None else self._last_head.framing.value,
                "events": self._last_events,
                **details,
            },
        )
        self._gateway.metrics.request_finished(
            self.service, self.route.name, outcome.value, now_ms - self.arrived_ms
        )
        self._gateway.exchange_finished(self, outcome)

    def _stop_waiting(self) -> None:
        """Stop waiting for a slot and for the deadline, and free a slot that was granted early."""
        if self.wait_number is not None:
            self._gateway.stop_waiting(self.wait_number)
            self.wait_number = None
        choice = self._pop_early_choice()
        if choice is not None:
            self._gateway.load_changed(choice.upstream)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _pop_early_choice(self) -> UpstreamChoice | None:
        """Return the slot that was granted early, if any, and no longer count it as taken."""
        choice, self._early_choice = self._early_choice, None
        if choice is not None:
            self._gateway.placement.record_end(
                choice.upstream, self.prompt_tokens, held_ms=None, fault=None
            )
        return choice


def _may_send(upstream: TrackedUpstream, now_ms: int, under_limit: bool) -> bool:
    """Return whether an upstream may be sent a request, given whether a permit was used up."""
    return upstream.is_available(now_ms) and (under_limit or upstream.limit_per_s is None)


class _ExchangeReader:
    """Forwards the events of one attempt's response to its exchange."""

    def __init__(self, exchange: Exchange, attempt: _SendAttempt) -> None:
        self._exchange = exchange
        self._attempt = attempt

    def response_head(self, status: int, headers: Headers) -> None:
        self._exchange.response_head(self._attempt, status, headers)

    def response_data(self, data: bytes) -> None:
        self._exchange.response_data(self._attempt, data)

    def response_end(self) -> None:
        self._exchange.response_end(self._attempt)

    def response_failed(self, reason: str) -> None:
        self._exchange.response_failed(self._attempt, reason)
