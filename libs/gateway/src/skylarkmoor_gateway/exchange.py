"""Processing of one request: placement, attempts, retries and the response to the caller."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_gateway.answering import CallerResponse
from skylarkmoor_gateway.callers import CallerConnection
from skylarkmoor_gateway.dispatching import SlotRequester
from skylarkmoor_gateway.messages import AnswerHead, Attempt, Codec, Headers, IncomingRequest
from skylarkmoor_gateway.metrics import GatewayMetrics
from skylarkmoor_gateway.upstreams import UpstreamConnection, UpstreamPool
from skylarkmoor_policy.dispatcher import SlotNeed, Ticket
from skylarkmoor_policy.fleetcounts import FleetRetries
from skylarkmoor_policy.patience import (
    give_up_ms,
    on_time_until_ms,
    retry_after_ms,
    stall_ms,
)
from skylarkmoor_policy.placement import Choice, Placement
from skylarkmoor_policy.routetable import ApiCustomer, Repeat, Route
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.urgencyqueue import Waiting

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
# Minimum time before the deadline for another attempt.
_MIN_REMAINING_MS = 30
# Placeholder that `Dispatching.wait` replaces.
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
    retries: FleetRetries

    def pool(self, upstream: UpstreamId) -> UpstreamPool | None:
        """Return the connection pool of an upstream, None if the upstream is unknown."""

    def wait_for_slot(self, exchange: "Exchange") -> None:
        """Queue a request until an upstream slot is granted."""

    def stop_waiting(self, number: int) -> None:
        """Cancel the wait with the given ticket number."""

    def load_changed(self, upstream: UpstreamId) -> None:
        """Report a changed load, such as a free slot or a completed prefill, to the dispatcher."""

    def settled(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Record the end of an exchange."""

    def crashed(self, exchange: "Exchange") -> None:
        """Record that the connection to an upstream failed while it executed the request."""

    def read_upstreams(self) -> None:
        """Trigger an immediate read of the list of upstreams."""

    def decision_context(self) -> dict[str, object]:
        """Return version and age of the data that decisions are based on, as log fields."""


@dataclass(slots=True)
class _SendAttempt:
    """State of one attempt to get a response from an upstream."""

    upstream: UpstreamId
    sent_ms: int
    prefill_ahead_tokens: int
    connection: UpstreamConnection | None = None
    answered: bool = False
    predicted_ms: float = 0.0
    last_data_ms: int = 0
    first_ms: int = 0
    events: int = 0
    head: AnswerHead | None = None


class Exchange(SlotRequester):
    """A request and its attempts at upstreams.

    Parameters
    ----------
    host : ExchangeContext
        The gateway.
    caller : CallerConnection
        Connection that the response is written to.
    request : IncomingRequest
        The decoded request.
    route : Route
        The route that matches the request.
    customer : ApiCustomer or None
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
        host: ExchangeContext,
        caller: CallerConnection,
        request: IncomingRequest,
        route: Route,
        customer: ApiCustomer | None,
        arrived_ms: int,
    ) -> None:
        self.request = request
        self.route = route
        self.customer = customer
        self.service: ServiceName = route.service_for(request.request)
        self.arrived_ms = arrived_ms
        self.caller = caller
        # Ticket number while the request waits for a slot.
        self.wait_number: int | None = None
        self._gateway = host
        wait_ms = route.timeout_ms
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms)
        self._deadline_ms = arrived_ms + wait_ms
        self._sends = 0
        self._runs = 0
        self._excluded_upstreams: set[UpstreamId] = set()
        # Upstreams of declined grants that this gateway did not know.
        self._unknown_upstreams: set[UpstreamId] = set()
        self._current: _SendAttempt | None = None
        self._done = False
        self._first_byte_ms: int | None = None
        self._response = CallerResponse(caller, host.clock, resumable=route.resumable)
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

    def caller_disconnected(self) -> None:
        """Cancel the request because its caller has closed the connection."""
        if not self._done:
            self._end(Outcome.ABANDONED, "the caller closed the connection")

    def waiting(self, small: bool) -> Waiting[SlotNeed]:
        """Return the entry of this request for the slot queue.

        Parameters
        ----------
        small : bool
            Whether requests of the route are small compared with others of the service.
        """
        now_ms = self._gateway.clock.now_ms()
        has_run = self._runs > 0
        return Waiting(
            item=SlotNeed(
                _NO_TICKET,
                SlotGroup(self.service),
                self.prompt_tokens,
                self.route.max_gap_ms,
                self._output_tokens(),
                self._deadline_ms,
                frozenset(self._excluded_upstreams),
            ),
            tier=self.tier,
            route_tier=self.route.tier,
            arrived_ms=self.arrived_ms,
            on_time_until_ms=on_time_until_ms(self.route, self.arrived_ms, self.prompt_tokens),
            give_up_ms=give_up_ms(
                self.route, self.arrived_ms, now_ms, self._deadline_ms, has_run=has_run
            ),
            small=small or has_run,
        )

    def check_stall(self, now_ms: int) -> None:
        """Fail the attempt if its upstream has sent nothing for too long and a retry is allowed.

        Notes
        -----
        The connection is closed first, so that the upstream cancels the request.
        """
        send = self._current
        if self._done or send is None or send.connection is None or not self.route.idempotent:
            return
        silent_ms = now_ms - max(send.sent_ms, send.last_data_ms)
        if silent_ms < stall_ms(self.route, send.predicted_ms):
            return
        if self._runs < self.route.max_upstreams and self._sends < _MAX_SENDS:
            self._fail_attempt(send, f"the upstream was silent for {silent_ms} ms")

    def work_tokens(self) -> float:
        """Return the estimated cost of the request in prompt tokens."""
        return self.prompt_tokens + self._output_tokens() * OUTPUT_WEIGHT

    def _output_tokens(self) -> int:
        return self.request.expected_output_tokens or self.request.max_output_tokens or 0

    def granted(self, choice: Choice, now_ms: int) -> None:
        """Handle a granted slot by sending the request to its upstream."""
        self.wait_number = None
        if not self._done:
            self._dispatch(choice, now_ms)

    def wait_timed_out(self) -> None:
        """Refuse or abort the request, because no slot was granted in time."""
        self.wait_number = None
        if self._done:
            return
        if self._runs:
            self._give_up("no other upstream had a free slot in time")
            return
        self._refuse("all slots of the service are taken", None)

    def _place_request(self) -> None:
        now_ms = self._gateway.clock.now_ms()
        if self.route.repeat is Repeat.STREAM:
            self._gateway.wait_for_slot(self)
            return
        choice = self._gateway.placement.choose(
            self.service, self.prompt_tokens, now_ms, self._excluded_upstreams
        )
        if choice is None:
            self._give_up("no upstream of the service may take the request")
            return
        self._dispatch(choice, now_ms)

    def _dispatch(self, choice: Choice, now_ms: int) -> None:
        placed = self._gateway.placement.upstreams.get(choice.upstream)
        if placed is None or placed.leaving or placed.replaced:
            self._decline(choice.upstream, placed is None)
            return
        self._sends += 1
        if self._sends == 1:
            self._gateway.retries.count_request(self.service, now_ms)
        self._log_choice(choice, now_ms)
        self._current = _SendAttempt(choice.upstream, now_ms, placed.prefill_tokens())
        self._current.predicted_ms = choice.start_ms
        self._gateway.placement.started(choice.upstream, self.prompt_tokens)
        self._connect(self._current)

    def _decline(self, upstream: UpstreamId, unknown: bool) -> None:
        """Request another slot, because the upstream of the grant is unknown or unavailable."""
        _log.info(
            "declined a granted slot: upstream unknown or unavailable",
            extra={"request": self.request.request, "upstream": upstream, "unknown": unknown},
        )
        if unknown and upstream not in self._unknown_upstreams:
            # The dispatcher may have read a newer list of upstreams than this gateway.
            self._unknown_upstreams.add(upstream)
            self._gateway.read_upstreams()
            self._gateway.reactor.callLater(_UPSTREAM_REFRESH_S, self._retry_placement)
            return
        self._excluded_upstreams.add(upstream)
        self._gateway.reactor.callLater(0, self._retry_placement)

    def _retry_placement(self) -> None:
        if not self._done:
            self._place_request()

    def _log_choice(self, choice: Choice, now_ms: int) -> None:
        _log.info(
            "sending request to upstream",
            extra={
                "request": self.request.request,
                "route": self.route.name,
                "customer": None if self.customer is None else self.customer.name,
                "service": self.service,
                "upstream": choice.upstream,
                "send": self._sends,
                "predicted_ms": round(choice.start_ms),
                "running": choice.running,
                "slots": choice.slots,
                "remaining_ms": self._deadline_ms - now_ms,
                "tier": self.tier,
                "prompt_tokens": self.request.prompt_tokens,
                "output_tokens": self.request.expected_output_tokens,
                "waited_ms": now_ms - self.arrived_ms,
                **self._gateway.decision_context(),
            },
        )

    def _connect(self, send: _SendAttempt) -> None:
        pool = self._gateway.pool(send.upstream)
        if pool is None:
            self._handle_unsent(send, "the upstream is gone")
            return
        idle_connection = pool.take(None if self.route.idempotent else _MAX_REUSE_IDLE_MS)
        if idle_connection is not None:
            self._transmit(send, idle_connection)
            return
        pool.connect().addCallbacks(
            lambda connection: self._connected(send, pool, connection),
            lambda failure: self._connect_failed(send, failure),
        )

    def _connected(
        self, send: _SendAttempt, pool: UpstreamPool, connection: UpstreamConnection
    ) -> None:
        if self._done or self._current is not send:
            pool.keep(connection)
            return
        self._transmit(send, connection)

    def _connect_failed(self, send: _SendAttempt, failure: Failure) -> None:
        if self._done or self._current is not send:
            return
        if not isinstance(failure.value, ConnectError):
            _log.warning(
                "unexpected error while connecting to upstream",
                extra={"error": failure.getErrorMessage()},
            )
        self._gateway.placement.rest(send.upstream, self._gateway.clock.now_ms())
        self._handle_unsent(send, f"connecting failed: {failure.getErrorMessage()}")

    def _handle_unsent(self, send: _SendAttempt, why: str) -> None:
        """Retry after an attempt of which no byte was sent."""
        self._release(send, fault=None)
        self._excluded_upstreams.add(send.upstream)
        self._retry(send, why, counts_against_budget=False)

    def _transmit(self, send: _SendAttempt, connection: UpstreamConnection) -> None:
        remaining_ms = self._deadline_ms - self._gateway.clock.now_ms()
        if remaining_ms <= 0:
            self._handle_unsent(send, "the deadline has passed")
            return
        last_id = self._response.last_event_id or self.request.last_event_id
        customer = None if self.customer is None else self.customer.name
        attempt = Attempt(send.upstream, remaining_ms, customer, last_id)
        headers = self._gateway.codec.encode_request(self.request, attempt)
        headers.append((b"Content-Length", str(len(self.request.body)).encode()))
        send.connection = connection
        self._response.attach(connection)
        self._runs += 1
        connection.send(
            self.request.method,
            self.request.target,
            headers,
            self.request.body,
            _ExchangeReader(self, send),
        )

    def head(self, send: _SendAttempt, status: int, headers: Headers) -> None:
        """Process the head of the upstream's response."""
        head = self._gateway.codec.decode_answer(status, headers)
        send.head = head
        connection = send.connection
        if head.request is not None and head.request != self.request.request:
            self._fail_attempt(send, f"the answer names the request {head.request!r}")
            return
        if head.keep_alive_ms is not None and connection is not None:
            pool = self._gateway.pool(send.upstream)
            if pool is not None:
                pool.set_keep_alive(connection, head.keep_alive_ms)
        if 200 <= status < 300 and not head.signed:
            self._fail_attempt(send, "the answer has no signature")

    def data(self, send: _SendAttempt, data: bytes) -> None:
        """Process a chunk of the body of the upstream's response."""
        head = send.head
        if head is None or head.not_run:
            return
        send.last_data_ms = self._gateway.clock.now_ms()
        if not send.answered:
            send.answered = True
            self._record_first_byte(send)
        if self.route.repeat is Repeat.STREAM and head.status == 200:
            send.events += self._response.forward_events(head, data, send.connection)
        elif not (self.route.resumable and self._response.started):
            # The body of an error response must not be appended to a stream that was being resumed.
            self._response.buffer_body(head, data, send.connection)

    def end(self, send: _SendAttempt) -> None:
        """Process the end of a complete response of the upstream."""
        head = send.head
        if head is None:
            self.broken(send, "the answer has no head")
            return
        if head.not_run:
            self._runs -= 1
            if head.replaced:
                self._gateway.placement.mark_replaced(send.upstream, self._gateway.clock.now_ms())
            self._release(send, fault=None)
            self._excluded_upstreams.add(send.upstream)
            self._retry(
                send, f"the upstream refused with {head.status}", counts_against_budget=True
            )
            return
        failed = head.status >= 500
        elapsed_ms = self._gateway.clock.now_ms() - send.sent_ms
        if failed:
            self._excluded_upstreams.add(send.upstream)
        if failed and not self._response.started and self.route.idempotent and self._may_retry():
            self._release(send, fault=True)
            self._response.discard_partial()
            self._retry(send, f"the upstream answered {head.status}", counts_against_budget=True)
            return
        if send.events:
            stream_ms = self._gateway.clock.now_ms() - send.first_ms
            expected = self.request.expected_output_tokens
            self._gateway.placement.streamed(send.upstream, send.events, stream_ms, expected)
        self._release(send, fault=failed, held_ms=None if failed else elapsed_ms)
        if self._response.started and head.status != 200 and self.route.resumable:
            self._abort(f"a resumed stream was answered with {head.status}")
            return
        self._response.finish(head)
        self._end(Outcome.ANSWERED, "", status=head.status)

    def broken(self, send: _SendAttempt, why: str) -> None:
        """Process a connection failure before the response was complete."""
        if not self._done and self._current is send:
            self._fail_attempt(send, why)

    def _fail_attempt(self, send: _SendAttempt, why: str) -> None:
        if send.connection is not None:
            send.connection.abort()
        self._release(send, fault=True)
        self._excluded_upstreams.add(send.upstream)
        self._gateway.crashed(self)
        self._response.discard_partial()
        if self.route.idempotent and self._may_retry():
            self._retry(send, why, counts_against_budget=True)
        elif self._response.started:
            self._abort(why)
        else:
            self._fail(502, why)

    def _may_retry(self) -> bool:
        if self._done or self._runs >= self.route.max_upstreams or self._sends >= _MAX_SENDS:
            return False
        if self._deadline_ms - self._gateway.clock.now_ms() < _MIN_REMAINING_MS:
            return False
        if not self._response.can_continue:
            return False
        now_ms = self._gateway.clock.now_ms()
        choice = self._gateway.placement.choose(
            self.service, self.prompt_tokens, now_ms, self._excluded_upstreams
        )
        return choice is not None and self._gateway.retries.take(self.service, now_ms)

    def _retry(self, send: _SendAttempt, why: str, *, counts_against_budget: bool) -> None:
        """Place the request again if the limits on attempts, retries and time allow it.

        For an attempt that was executed and failed, the calling method has already charged the
        retry budget. An attempt that the upstream refused without execution is charged here,
        and one that was never sent is not charged.
        """
        _log.info(
            "upstream attempt failed",
            extra={
                "request": self.request.request,
                "upstream": send.upstream,
                "why": why,
                "send": self._sends,
                "runs": self._runs,
            },
        )
        repeat_allowed = self._sends < _MAX_SENDS
        if counts_against_budget and send.head is not None and send.head.not_run:
            repeat_allowed = repeat_allowed and self._gateway.retries.take(
                self.service, self._gateway.clock.now_ms()
            )
        if not repeat_allowed or self._deadline_ms <= self._gateway.clock.now_ms():
            self._give_up(why)
            return
        self._place_request()

    def _give_up(self, why: str) -> None:
        if self._response.started:
            self._abort(why)
        elif self._runs > 0:
            self._fail(502, why)
        else:
            self._refuse(why, self.route.goal_ms)

    def _refuse(self, why: str, retry_hint_ms: int | None) -> None:
        """Respond that the request was not executed, with a time for the next try."""
        remaining_ms = self._deadline_ms - self._gateway.clock.now_ms()
        retry_ms = retry_after_ms(retry_hint_ms, remaining_ms)
        self._send_error(503, why, [(b"Retry-After", f"{retry_ms / 1000:.3f}".encode())])
        self._end(Outcome.REFUSED, why, status=503, retry_after_ms=retry_ms)

    def _fail(self, status: int, why: str) -> None:
        """Respond with an error; the request may have been executed."""
        self._send_error(status, why, [])
        self._end(Outcome.FAILED, why, status=status)

    def _abort(self, why: str) -> None:
        self._response.abort_response()
        self._end(Outcome.BROKEN_OFF, why)

    def _send_error(self, status: int, why: str, headers: Headers) -> None:
        id_headers = self._gateway.codec.request_id_headers(self.request.request)
        content_type = [(b"Content-Type", b"text/plain; charset=utf-8")]
        self._response.replace(status, [*id_headers, *content_type, *headers], f"{why}\n".encode())

    def _timed_out(self) -> None:
        self._timer = None
        if self._done:
            return
        send = self._current
        if send is None or send.connection is None:
            # An earlier attempt may have been executed.
            self._give_up("the deadline passed while no upstream had the request")
        elif self._response.started:
            self._cancel_current()
            self._abort("the deadline passed in the middle of the answer")
        else:
            self._cancel_current()
            self._fail(504, "the deadline passed without an answer")

    def _record_first_byte(self, send: _SendAttempt) -> None:
        now_ms = self._gateway.clock.now_ms()
        send.first_ms = now_ms
        self._gateway.placement.first_answer(
            send.upstream, self.prompt_tokens, now_ms - send.sent_ms, send.prefill_ahead_tokens
        )
        if self.route.repeat is Repeat.STREAM:
            self._gateway.load_changed(send.upstream)
        if self._first_byte_ms is None:
            self._first_byte_ms = now_ms - self.arrived_ms
            self._gateway.metrics.first_byte(self.service, self.route.name, self._first_byte_ms)

    def _cancel_current(self) -> None:
        send = self._current
        if send is None:
            return
        if send.connection is not None:
            send.connection.abort()
        self._release(send, fault=None)

    def _release(
        self, send: _SendAttempt, *, fault: bool | None, held_ms: int | None = None
    ) -> None:
        if self._current is not send:
            return
        self._current = None
        self._response.detach()
        unread_tokens = 0 if send.answered else self.prompt_tokens
        self._gateway.placement.ended(send.upstream, unread_tokens, held_ms=held_ms, fault=fault)
        if self.route.repeat is Repeat.STREAM:
            self._gateway.load_changed(send.upstream)

    def _end(self, outcome: Outcome, why: str, **details: object) -> None:
        if self._done:
            return
        self._cancel_current()
        self._done = True
        if self.wait_number is not None:
            self._gateway.stop_waiting(self.wait_number)
            self.wait_number = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        now_ms = self._gateway.clock.now_ms()
        is_expected = outcome in (Outcome.ANSWERED, Outcome.ABANDONED)
        _log.log(
            logging.INFO if is_expected else logging.WARNING,
            outcome.value.replace("_", " "),
            extra={
                "request": self.request.request,
                "route": self.route.name,
                "customer": None if self.customer is None else self.customer.name,
                "why": why,
                "first_ms": self._first_byte_ms,
                "longest_gap_ms": self._response.longest_gap_ms,
                "total_ms": now_ms - self.arrived_ms,
                "sends": self._sends,
                "runs": self._runs,
                **details,
            },
        )
        self._gateway.metrics.ended(
            self.service, self.route.name, outcome.value, now_ms - self.arrived_ms
        )
        self._gateway.settled(self, outcome)


class _ExchangeReader:
    """Forwards the events of one attempt's response to its exchange."""

    def __init__(self, exchange: Exchange, send: _SendAttempt) -> None:
        self._exchange = exchange
        self._send = send

    def response_head(self, status: int, headers: Headers) -> None:
        self._exchange.head(self._send, status, headers)

    def response_data(self, data: bytes) -> None:
        self._exchange.data(self._send, data)

    def response_end(self) -> None:
        self._exchange.end(self._send)

    def response_failed(self, why: str) -> None:
        self._exchange.broken(self._send, why)
