"""One request of a caller, from its arrival to its only answer."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_gateway.answering import CallerAnswer
from skylarkmoor_gateway.callers import CallerConnection
from skylarkmoor_gateway.dispatching import SlotSeeker
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

__all__ = ["OUTPUT_WEIGHT", "Exchange", "ExchangeHost", "Settlement"]

# An output token takes about as much of an engine's time as this many prompt tokens: a step
# gives one token to each of some ten requests and takes as long as reading 200.
OUTPUT_WEIGHT = 20

# The upstream's own timeout answer gets this long to arrive before the gateway's is sent.
_TIMEOUT_MARGIN_MS = 60
# Upstreams that are asked for one request in all, counting those that did not run it.
_MAX_SENDS = 4
# Requests that must not run twice use a kept connection only if it was used this recently.
_FRESH_MS = 1_000
# A read of the list of upstreams takes some milliseconds.
_READ_AGAIN_S = 0.02
# Time that one more attempt needs at the least.
_MIN_REMAINING_MS = 30
# Replaced when the request is queued.
_NO_TICKET = Ticket(HostId(""), 0)

_log = part_logger("request")


class Settlement(Enum):
    """How a request ended, as metrics and logs name it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN_OFF = "broken_off"
    ABANDONED = "abandoned"


class ExchangeHost(Protocol):
    """What an exchange needs of the gateway."""

    reactor: Any
    clock: Clock
    codec: Codec
    metrics: GatewayMetrics
    placement: Placement
    retries: FleetRetries

    def pool(self, upstream: UpstreamId) -> UpstreamPool | None:
        """Return the connections to an upstream."""

    def wait_for_slot(self, exchange: "Exchange") -> None:
        """Queue a request for a slot."""

    def stop_waiting(self, number: int) -> None:
        """Take a request out of the queue."""

    def load_changed(self, upstream: UpstreamId) -> None:
        """Note that a slot became free, or a prompt was read."""

    def settled(self, exchange: "Exchange", settlement: Settlement) -> None:
        """Note the end of an exchange."""

    def crashed(self, exchange: "Exchange") -> None:
        """Note that an upstream's connection broke while it ran a request."""

    def read_upstreams(self) -> None:
        """Read the list of upstreams at once."""

    def views(self) -> dict[str, object]:
        """Return the versions and ages of what decisions rest on, for the log."""


@dataclass(slots=True)
class _Send:
    """One send of the request to an upstream."""

    upstream: UpstreamId
    sent_ms: int
    read_ahead: int
    connection: UpstreamConnection | None = None
    answered: bool = False
    predicted_ms: float = 0.0
    heard_ms: int = 0
    first_ms: int = 0
    events: int = 0
    head: AnswerHead | None = None


class Exchange(SlotSeeker):
    """A request with the upstreams that it was sent to.

    Parameters
    ----------
    host : ExchangeHost
        The gateway.
    caller : CallerConnection
        Where the answer goes.
    request : IncomingRequest
        The decoded request.
    route : Route
        Its route.
    customer : ApiCustomer or None
        Its customer.
    arrived_ms : int
        When it was whole.

    Notes
    -----
    A request that must not run twice is sent again only if it was not sent at all or if the
    upstream says that it did not run it.
    """

    def __init__(
        self,
        host: ExchangeHost,
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
        # Number under which the request waits for a slot.
        self.wait_number: int | None = None
        self._host = host
        wait_ms = route.timeout_ms
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms)
        self._deadline_ms = arrived_ms + wait_ms
        self._sends = 0
        self._runs = 0
        self._failed_at: set[UpstreamId] = set()
        # Upstreams of declined slots that were not known here.
        self._unknown: set[UpstreamId] = set()
        self._current: _Send | None = None
        self._done = False
        self._first_ms: int | None = None
        self._answer = CallerAnswer(caller, host.clock, resumable=route.resumable)
        self._timer: Any = None

    @property
    def tier(self) -> int:
        """The customer's tier if it has one, else the route's."""
        if self.customer is not None and self.customer.tier is not None:
            return self.customer.tier
        return self.route.tier

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens, 0 for a plain call."""
        return self.request.prompt_tokens or 0

    def start(self) -> None:
        """Send the request to an upstream or refuse it."""
        wait_ms = max(0, self._deadline_ms - self._host.clock.now_ms())
        delay_s = (wait_ms + _TIMEOUT_MARGIN_MS) / 1000
        self._timer = self._host.reactor.callLater(delay_s, self._timed_out)
        self._send_somewhere()

    def caller_gone(self) -> None:
        """Stop the work of a request whose caller has closed its connection."""
        if not self._done:
            self._end(Settlement.ABANDONED, "the caller closed the connection")

    def waiting(self, small: bool) -> Waiting[SlotNeed]:
        """Return how urgent the request is while it waits for a slot.

        Parameters
        ----------
        small : bool
            Whether the requests of its route hold a slot for a small part of the usual time.
        """
        now_ms = self._host.clock.now_ms()
        has_run = self._runs > 0
        return Waiting(
            item=SlotNeed(
                _NO_TICKET,
                SlotGroup(self.service),
                self.prompt_tokens,
                self.route.max_gap_ms,
                self._output_tokens(),
                self._deadline_ms,
                frozenset(self._failed_at),
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
        """Give up an upstream that has been silent for long, if the request may run again.

        Notes
        -----
        The connection is closed first, so that the upstream stops working on the request.
        """
        send = self._current
        if self._done or send is None or send.connection is None or not self.route.idempotent:
            return
        silent_ms = now_ms - max(send.sent_ms, send.heard_ms)
        if silent_ms < stall_ms(self.route, send.predicted_ms):
            return
        if self._runs < self.route.max_upstreams and self._sends < _MAX_SENDS:
            self._broken(send, f"the upstream was silent for {silent_ms} ms")

    def work_tokens(self) -> float:
        """Return the request's work, counted in prompt tokens."""
        return self.prompt_tokens + self._output_tokens() * OUTPUT_WEIGHT

    def _output_tokens(self) -> int:
        return self.request.expected_output_tokens or self.request.max_output_tokens or 0

    def granted(self, choice: Choice, now_ms: int) -> None:
        """Send the request to the upstream of its slot."""
        self.wait_number = None
        if not self._done:
            self._dispatch(choice, now_ms)

    def gave_up_waiting(self) -> None:
        """Refuse the request, because no slot became free in time."""
        self.wait_number = None
        if self._done:
            return
        if self._runs:
            self._give_up("no other upstream had a free slot in time")
            return
        self._refuse("all slots of the service are taken", None)

    def _send_somewhere(self) -> None:
        now_ms = self._host.clock.now_ms()
        if self.route.repeat is Repeat.STREAM:
            self._host.wait_for_slot(self)
            return
        choice = self._host.placement.choose(
            self.service, self.prompt_tokens, now_ms, self._failed_at
        )
        if choice is None:
            self._give_up("no upstream of the service may take the request")
            return
        self._dispatch(choice, now_ms)

    def _dispatch(self, choice: Choice, now_ms: int) -> None:
        known = self._host.placement.upstreams.get(choice.upstream)
        if known is None or known.leaving or known.replaced:
            self._decline(choice.upstream, known is None)
            return
        self._sends += 1
        if self._sends == 1:
            self._host.retries.count_request(self.service, now_ms)
        self._log_choice(choice, now_ms)
        self._current = _Send(choice.upstream, now_ms, known.prefill_tokens())
        self._current.predicted_ms = choice.start_ms
        self._host.placement.started(choice.upstream, self.prompt_tokens)
        self._connect(self._current)

    def _decline(self, upstream: UpstreamId, unknown: bool) -> None:
        """Ask for another slot, because this daemon knows better than the dispatcher."""
        _log.info(
            "declined a slot",
            extra={"request": self.request.request, "upstream": upstream, "unknown": unknown},
        )
        if unknown and upstream not in self._unknown:
            # Perhaps the dispatcher has read of an upstream that this daemon has not read of.
            self._unknown.add(upstream)
            self._host.read_upstreams()
            self._host.reactor.callLater(_READ_AGAIN_S, self._wait_again)
            return
        self._failed_at.add(upstream)
        self._host.reactor.callLater(0, self._wait_again)

    def _wait_again(self) -> None:
        if not self._done:
            self._send_somewhere()

    def _log_choice(self, choice: Choice, now_ms: int) -> None:
        _log.info(
            "sent to an upstream",
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
                **self._host.views(),
            },
        )

    def _connect(self, send: _Send) -> None:
        pool = self._host.pool(send.upstream)
        if pool is None:
            self._unsent(send, "the upstream is gone")
            return
        kept = pool.take(None if self.route.idempotent else _FRESH_MS)
        if kept is not None:
            self._transmit(send, kept)
            return
        pool.connect().addCallbacks(
            lambda connection: self._connected(send, pool, connection),
            lambda failure: self._connect_failed(send, failure),
        )

    def _connected(self, send: _Send, pool: UpstreamPool, connection: UpstreamConnection) -> None:
        if self._done or self._current is not send:
            pool.keep(connection)
            return
        self._transmit(send, connection)

    def _connect_failed(self, send: _Send, failure: Failure) -> None:
        if self._done or self._current is not send:
            return
        if not isinstance(failure.value, ConnectError):
            _log.warning("connecting failed", extra={"error": failure.getErrorMessage()})
        self._host.placement.rest(send.upstream, self._host.clock.now_ms())
        self._unsent(send, f"connecting failed: {failure.getErrorMessage()}")

    def _unsent(self, send: _Send, why: str) -> None:
        """Go on after a send of which no byte has left."""
        self._release(send, fault=None)
        self._failed_at.add(send.upstream)
        self._try_again(send, why, charged=False)

    def _transmit(self, send: _Send, connection: UpstreamConnection) -> None:
        remaining_ms = self._deadline_ms - self._host.clock.now_ms()
        if remaining_ms <= 0:
            self._unsent(send, "the deadline has passed")
            return
        last_id = self._answer.last_event_id or self.request.last_event_id
        customer = None if self.customer is None else self.customer.name
        attempt = Attempt(send.upstream, remaining_ms, customer, last_id)
        headers = self._host.codec.encode_request(self.request, attempt)
        headers.append((b"Content-Length", str(len(self.request.body)).encode()))
        send.connection = connection
        self._answer.attach(connection)
        self._runs += 1
        connection.send(
            self.request.method,
            self.request.target,
            headers,
            self.request.body,
            _Reader(self, send),
        )

    def head(self, send: _Send, status: int, headers: Headers) -> None:
        """Take the head of an upstream's answer."""
        head = self._host.codec.decode_answer(status, headers)
        send.head = head
        connection = send.connection
        if head.request is not None and head.request != self.request.request:
            self._broken(send, f"the answer names the request {head.request!r}")
            return
        if head.keep_alive_ms is not None and connection is not None:
            pool = self._host.pool(send.upstream)
            if pool is not None:
                pool.note_keep_alive(connection, head.keep_alive_ms)
        if 200 <= status < 300 and not head.signed:
            self._broken(send, "the answer has no signature")

    def data(self, send: _Send, data: bytes) -> None:
        """Take a part of the body of an upstream's answer."""
        head = send.head
        if head is None or head.not_run:
            return
        send.heard_ms = self._host.clock.now_ms()
        if not send.answered:
            send.answered = True
            self._first_answer(send)
        if self.route.repeat is Repeat.STREAM and head.status == 200:
            send.events += self._answer.add_events(head, data, send.connection)
        elif not (self.route.resumable and self._answer.started):
            # The body of an error is no part of the stream that it was to continue.
            self._answer.hold(head, data, send.connection)

    def end(self, send: _Send) -> None:
        """Take the whole end of an upstream's answer."""
        head = send.head
        if head is None:
            self.broken(send, "the answer has no head")
            return
        if head.not_run:
            self._runs -= 1
            if head.replaced:
                self._host.placement.mark_replaced(send.upstream, self._host.clock.now_ms())
            self._release(send, fault=None)
            self._failed_at.add(send.upstream)
            self._try_again(send, f"the upstream refused with {head.status}", charged=True)
            return
        failed = head.status >= 500
        elapsed_ms = self._host.clock.now_ms() - send.sent_ms
        if failed:
            self._failed_at.add(send.upstream)
        if failed and not self._answer.started and self.route.idempotent and self._may_repeat():
            self._release(send, fault=True)
            self._answer.drop_partial()
            self._try_again(send, f"the upstream answered {head.status}", charged=True)
            return
        if send.events:
            stream_ms = self._host.clock.now_ms() - send.first_ms
            expected = self.request.expected_output_tokens
            self._host.placement.streamed(send.upstream, send.events, stream_ms, expected)
        self._release(send, fault=failed, held_ms=None if failed else elapsed_ms)
        if self._answer.started and head.status != 200 and self.route.resumable:
            self._abort(f"a resumed stream was answered with {head.status}")
            return
        self._answer.finish(head)
        self._end(Settlement.ANSWERED, "", status=head.status)

    def broken(self, send: _Send, why: str) -> None:
        """Take the end of a connection before the answer was whole."""
        if not self._done and self._current is send:
            self._broken(send, why)

    def _broken(self, send: _Send, why: str) -> None:
        if send.connection is not None:
            send.connection.drop()
        self._release(send, fault=True)
        self._failed_at.add(send.upstream)
        self._host.crashed(self)
        self._answer.drop_partial()
        if self.route.idempotent and self._may_repeat():
            self._try_again(send, why, charged=True)
        elif self._answer.started:
            self._abort(why)
        else:
            self._fail(502, why)

    def _may_repeat(self) -> bool:
        if self._done or self._runs >= self.route.max_upstreams or self._sends >= _MAX_SENDS:
            return False
        if self._deadline_ms - self._host.clock.now_ms() < _MIN_REMAINING_MS:
            return False
        if not self._answer.can_continue:
            return False
        now_ms = self._host.clock.now_ms()
        choice = self._host.placement.choose(
            self.service, self.prompt_tokens, now_ms, self._failed_at
        )
        return choice is not None and self._host.retries.take(self.service, now_ms)

    def _try_again(self, send: _Send, why: str, *, charged: bool) -> None:
        """Send the request to another upstream if it may still be sent.

        The caller of this has charged the retry budget already for a run that failed; a send
        that was refused or never left is charged here.
        """
        _log.info(
            "attempt did not answer",
            extra={
                "request": self.request.request,
                "upstream": send.upstream,
                "why": why,
                "send": self._sends,
                "runs": self._runs,
            },
        )
        repeat_allowed = self._sends < _MAX_SENDS
        if charged and send.head is not None and send.head.not_run:
            repeat_allowed = repeat_allowed and self._host.retries.take(
                self.service, self._host.clock.now_ms()
            )
        if not repeat_allowed or self._deadline_ms <= self._host.clock.now_ms():
            self._give_up(why)
            return
        self._send_somewhere()

    def _give_up(self, why: str) -> None:
        if self._answer.started:
            self._abort(why)
        elif self._runs > 0:
            self._fail(502, why)
        else:
            self._refuse(why, self.route.goal_ms)

    def _refuse(self, why: str, wanted_ms: int | None) -> None:
        """Answer that the request has not run and will not run."""
        remaining_ms = self._deadline_ms - self._host.clock.now_ms()
        pause_ms = retry_after_ms(wanted_ms, remaining_ms)
        self._replace(503, why, [(b"Retry-After", f"{pause_ms / 1000:.3f}".encode())])
        self._end(Settlement.REFUSED, why, status=503, retry_after_ms=pause_ms)

    def _fail(self, status: int, why: str) -> None:
        """Answer with an error that promises nothing."""
        self._replace(status, why, [])
        self._end(Settlement.FAILED, why, status=status)

    def _abort(self, why: str) -> None:
        self._answer.break_off()
        self._end(Settlement.BROKEN_OFF, why)

    def _replace(self, status: int, why: str, headers: Headers) -> None:
        named = self._host.codec.request_id_headers(self.request.request)
        kind = [(b"Content-Type", b"text/plain; charset=utf-8")]
        self._answer.replace(status, [*named, *kind, *headers], f"{why}\n".encode())

    def _timed_out(self) -> None:
        self._timer = None
        if self._done:
            return
        send = self._current
        if send is None or send.connection is None:
            # It may have run before and wait to go on.
            self._give_up("the deadline passed while no upstream had the request")
        elif self._answer.started:
            self._drop_current()
            self._abort("the deadline passed in the middle of the answer")
        else:
            self._drop_current()
            self._fail(504, "the deadline passed without an answer")

    def _first_answer(self, send: _Send) -> None:
        now_ms = self._host.clock.now_ms()
        send.first_ms = now_ms
        self._host.placement.first_answer(
            send.upstream, self.prompt_tokens, now_ms - send.sent_ms, send.read_ahead
        )
        if self.route.repeat is Repeat.STREAM:
            self._host.load_changed(send.upstream)
        if self._first_ms is None:
            self._first_ms = now_ms - self.arrived_ms
            self._host.metrics.first_byte(self.service, self.route.name, self._first_ms)

    def _drop_current(self) -> None:
        send = self._current
        if send is None:
            return
        if send.connection is not None:
            send.connection.drop()
        self._release(send, fault=None)

    def _release(self, send: _Send, *, fault: bool | None, held_ms: int | None = None) -> None:
        if self._current is not send:
            return
        self._current = None
        self._answer.detach()
        unread = 0 if send.answered else self.prompt_tokens
        self._host.placement.ended(send.upstream, unread, held_ms=held_ms, fault=fault)
        if self.route.repeat is Repeat.STREAM:
            self._host.load_changed(send.upstream)

    def _end(self, settlement: Settlement, why: str, **details: object) -> None:
        if self._done:
            return
        self._drop_current()
        self._done = True
        if self.wait_number is not None:
            self._host.stop_waiting(self.wait_number)
            self.wait_number = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        now_ms = self._host.clock.now_ms()
        quiet = settlement in (Settlement.ANSWERED, Settlement.ABANDONED)
        _log.log(
            logging.INFO if quiet else logging.WARNING,
            settlement.value.replace("_", " "),
            extra={
                "request": self.request.request,
                "route": self.route.name,
                "customer": None if self.customer is None else self.customer.name,
                "why": why,
                "first_ms": self._first_ms,
                "longest_gap_ms": self._answer.longest_gap_ms,
                "total_ms": now_ms - self.arrived_ms,
                "sends": self._sends,
                "runs": self._runs,
                **details,
            },
        )
        self._host.metrics.ended(
            self.service, self.route.name, settlement.value, now_ms - self.arrived_ms
        )
        self._host.settled(self, settlement)


class _Reader:
    """Passes an upstream's answer on while its send is the current one."""

    def __init__(self, exchange: Exchange, send: _Send) -> None:
        self._exchange = exchange
        self._send = send

    def answer_head(self, status: int, headers: Headers) -> None:
        self._exchange.head(self._send, status, headers)

    def answer_data(self, data: bytes) -> None:
        self._exchange.data(self._send, data)

    def answer_end(self) -> None:
        self._exchange.end(self._send)

    def answer_broken(self, why: str) -> None:
        self._exchange.broken(self._send, why)
