"""HTTP API for callers and operators."""

from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Protocol, cast

import msgspec
from klein import Klein
from twisted.internet.defer import CancelledError
from twisted.internet.task import deferLater
from twisted.web import server as _server

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.document import Route, ServiceDocument, ServiceKind
from skylarkmoor_core.errors import RequestRefused
from skylarkmoor_core.ids import CustomerId, RequestId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.outcome import ErrorCode, Outcome
from skylarkmoor_daemon.answers import AnswerHead, AnswerSink, EventStreamSink, JsonSink
from skylarkmoor_daemon.calls import (
    HTTP_STATUS,
    ChatBody,
    IdempotencyKey,
    check_json,
    encode_error,
    parse_chat,
    parse_deadline_ms,
    parse_idempotency_key,
)
from skylarkmoor_daemon.metrics import Metrics

__all__ = [
    "CallAnswer",
    "CallerApi",
    "CallerSite",
    "Gateway",
    "Incoming",
    "ServiceInterface",
    "make_site",
]

# Twisted's server classes have no static types.
_WebRequest: Any = _server.Request
_Site: Any = _server.Site

_JSON = b"application/json"
# Connections without incoming data for this long are closed.
_IDLE_TIMEOUT_S = 60
_FLUSH_POLL_MS = 50

_log = part_logger("http")


@dataclass(frozen=True, slots=True)
class Incoming:
    """A validated request; `arrived_ms` and `deadline_ms` are on the monotonic clock."""

    request: RequestId
    customer: CustomerId
    route: Route
    arrived_ms: int
    deadline_ms: int
    body: bytes
    key: IdempotencyKey | None = None


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a call. It is stored under the idempotency key for repeated calls."""

    status_code: int
    body: bytes


class ServiceInterface(Protocol):
    """Operations of a service that the API uses."""

    @property
    def document(self) -> ServiceDocument:
        """The service document in force."""

    def chat(self, incoming: Incoming, chat: ChatBody, sink: AnswerSink) -> None:
        """Start a completion that writes its text to `sink`."""

    def abandon(self, request: RequestId) -> None:
        """Cancel a request whose caller disconnected."""

    async def call(self, incoming: Incoming) -> CallAnswer:
        """Run a call on a plain service; raises `RequestRefused`."""


class Gateway(Protocol):
    """Operations of the daemon that the API uses."""

    def new_request(self) -> RequestId:
        """Return a new unique request id."""

    def check_accepting(self) -> None:
        """Raise `RequestRefused` if the daemon accepts no requests."""

    def service_for(self, route: str) -> ServiceInterface | None:
        """Return the service that has a route called `route`."""

    def body_limit(self) -> int:
        """Return the largest body limit among the services, in bytes."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""

    def status(self) -> Mapping[str, object]:
        """Return the state shown at ``/admin/status``."""

    def moves(self) -> list[Mapping[str, object]]:
        """Return the moves in progress and those that ended most recently."""

    def drain(self) -> None:
        """Start to drain the daemon."""


class CallerApi:
    """HTTP routes of one daemon.

    Parameters
    ----------
    gateway : Gateway
        Interface to the daemon.
    metrics : Metrics
        Collectors rendered at ``/metrics``.
    clock : Clock
        Source of monotonic and wall-clock time.
    """

    app = Klein()

    def __init__(self, gateway: Gateway, metrics: Metrics, clock: Clock) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._clock = clock

    @app.route("/v1/chat/completions", methods=["POST"])
    async def chat(self, request: Any) -> bytes:
        """Run a chat completion."""
        return await self._handle(request, self._chat)

    @app.route("/v1/call/<route>", methods=["POST"])
    async def call(self, request: Any, route: str) -> bytes:
        """Run a call to a plain service."""

        async def run(request: Any, request_id: RequestId) -> bytes:
            return await self._call(request, request_id, route)

        return await self._handle(request, run)

    @app.route("/healthz", methods=["GET"])
    def health(self, request: Any) -> bytes:
        """Answer 200 as long as the process serves HTTP (liveness)."""
        return _json_response(request, {"healthy": True})

    @app.route("/readyz", methods=["GET"])
    def ready(self, request: Any) -> bytes:
        """Answer 200 if the daemon accepts requests and 503 otherwise (readiness)."""
        ready = self._gateway.is_ready()
        return _json_response(request, {"ready": ready}, 200 if ready else 503)

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: Any) -> bytes:
        """Return the metrics in the Prometheus text format."""
        accepts = list(request.requestHeaders.getRawHeaders("accept", []))
        content, headers = self._metrics.render(accepts)
        for name, value in headers.items():
            request.setHeader(name.encode(), value.encode())
        return content

    @app.route("/admin/status", methods=["GET"])
    def status(self, request: Any) -> bytes:
        """Return the daemon's state."""
        return _json_response(request, self._gateway.status())

    @app.route("/admin/moves", methods=["GET"])
    def moves(self, request: Any) -> bytes:
        """Return the moves in progress and those that ended most recently."""
        return _json_response(request, {"moves": self._gateway.moves()})

    @app.route("/admin/drain", methods=["POST"])
    def drain(self, request: Any) -> bytes:
        """Start to drain the daemon and return its state, with the requests that remain."""
        self._gateway.drain()
        return _json_response(request, self._gateway.status(), 202)

    async def _handle(
        self, request: Any, run: Callable[[Any, RequestId], Awaitable[bytes]]
    ) -> bytes:
        request_id = self._gateway.new_request()
        request.setHeader(b"x-request-id", request_id.encode())
        try:
            return await run(request, request_id)
        except RequestRefused as error:
            self._metrics.refused(error.code.value)
            return _error_response(request, request_id, error)
        except CancelledError:
            # The caller disconnected, so no answer can be delivered.
            return b""
        except Exception:
            _log.exception("request handler raised an exception", extra={"request": request_id})
            internal_error = RequestRefused(
                ErrorCode.UPSTREAM_FAILED, "the daemon failed", Outcome.UNKNOWN
            )
            return _error_response(request, request_id, internal_error)

    async def _chat(self, request: Any, request_id: RequestId) -> bytes:
        with _errors_before_claim(request):
            self._gateway.check_accepting()
            body = request.content.read()
            chat = parse_chat(body)
            service, route = self._find_route(chat.model, ServiceKind.ENGINE)
            incoming = self._validate(request, request_id, service.document, route, body)
            head = AnswerHead(request_id, chat.model, self._clock.wall_ms() // 1000)
            if not chat.stream:
                request.setHeader(b"content-type", _JSON)
                json_sink = JsonSink(head)
                answer: bytes = await self._run_chat(
                    service, incoming, chat, json_sink, json_sink.finished
                )
                return answer
            buffer_limit_bytes = service.document.limits.max_answer_buffer_bytes
            event_sink = EventStreamSink(request, head, buffer_limit_bytes)
            try:
                await self._run_chat(service, incoming, chat, event_sink, event_sink.finished)
            finally:
                event_sink.disconnected()
            return b""

    async def _run_chat(
        self,
        service: ServiceInterface,
        incoming: Incoming,
        chat: ChatBody,
        sink: AnswerSink,
        finished: Awaitable[Any],
    ) -> Any:
        service.chat(incoming, chat, sink)
        try:
            return await finished
        except CancelledError:
            service.abandon(incoming.request)
            raise

    async def _call(self, request: Any, request_id: RequestId, name: str) -> bytes:
        with _errors_before_claim(request):
            self._gateway.check_accepting()
            service, route = self._find_route(name, ServiceKind.PLAIN)
            body = request.content.read()
            check_json(body)
            incoming = self._validate(request, request_id, service.document, route, body)
            if route.idempotent:
                return _call_response(request, await service.call(incoming))
        return _call_response(request, await service.call(incoming))

    def _find_route(self, name: str, kind: ServiceKind) -> tuple[ServiceInterface, Route]:
        service = self._gateway.service_for(name)
        route = service.document.route(name) if service is not None else None
        if service is None or route is None or service.document.kind is not kind:
            raise RequestRefused(ErrorCode.UNKNOWN_ROUTE, f"no route is called {name!r}")
        return service, route

    def _validate(
        self,
        request: Any,
        request_id: RequestId,
        document: ServiceDocument,
        route: Route,
        body: bytes,
    ) -> Incoming:
        limit = document.limits.max_body_bytes
        if len(body) > limit:
            message = f"the body has {len(body)} bytes, {limit} are allowed"
            raise RequestRefused(ErrorCode.BODY_TOO_LARGE, message)
        name = request.getHeader("x-customer")
        customer = document.customer(name) if name is not None else None
        if customer is None:
            raise RequestRefused(ErrorCode.UNKNOWN_CUSTOMER, f"no customer is called {name!r}")
        header = request.getHeader("idempotency-key")
        key = parse_idempotency_key(header, self._clock.wall_ms()) if header is not None else None
        if key is None and not route.idempotent:
            message = f"route {route.name!r} needs the header Idempotency-Key"
            raise RequestRefused(ErrorCode.KEY_REQUIRED, message)
        deadline = parse_deadline_ms(
            request.getHeader("x-deadline-ms"), route.deadline_ms, self._clock
        )
        return Incoming(
            request=request_id,
            customer=customer.name,
            route=route,
            arrived_ms=self._clock.now_ms(),
            deadline_ms=deadline,
            body=body,
            key=key,
        )


@contextmanager
def _errors_before_claim(request: Any) -> Iterator[None]:
    """Report errors of a keyed request as `unknown` instead of `not_run`.

    Before the key is claimed, the daemon can't rule out that an earlier call with the same
    key has run.
    """
    try:
        yield
    except RequestRefused as error:
        if request.getHeader("idempotency-key") is not None:
            error.outcome = _outcome_before_claim(error.outcome)
        raise


def _outcome_before_claim(outcome: Outcome) -> Outcome:
    return Outcome.UNKNOWN if outcome is Outcome.NOT_RUN else outcome


def _call_response(request: Any, answer: CallAnswer) -> bytes:
    request.setResponseCode(answer.status_code)
    request.setHeader(b"content-type", _JSON)
    return answer.body


def _json_response(request: Any, payload: object, status: int = 200) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", _JSON)
    return msgspec.json.encode(payload)


def _error_response(request: Any, request_id: RequestId, error: RequestRefused) -> bytes:
    request.setResponseCode(HTTP_STATUS[error.code])
    request.setHeader(b"content-type", _JSON)
    if error.retry_after_ms is not None:
        request.setHeader(b"retry-after", str(-(-error.retry_after_ms // 1000)).encode())
    return encode_error(error, request_id)


def make_site(api: CallerApi, gateway: Gateway) -> "CallerSite":
    """Return a site that serves `api` and enforces the body limit while a body is read."""

    class LimitedRequest(_WebRequest):  # type: ignore[misc]
        """Rejects a body with status 413 as soon as it exceeds the limit."""

        received_bytes = 0
        refused = False

        def gotLength(self, length: int | None) -> None:  # noqa: N802
            """Reject a Content-Length over the limit before the body is read."""
            super().gotLength(length)
            if length is not None and length > gateway.body_limit():
                self._refuse_body()

        def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
            """Store a chunk of the body, or reject the body if it exceeds the limit."""
            if self.refused:
                return
            self.received_bytes += len(data)
            if self.received_bytes > gateway.body_limit():
                self._refuse_body()
                return
            super().handleContentChunk(data)

        def _refuse_body(self) -> None:
            self.refused = True
            has_key = self.requestHeaders.hasHeader("idempotency-key")
            error = RequestRefused(
                ErrorCode.BODY_TOO_LARGE,
                f"the body has more than {gateway.body_limit()} bytes",
                Outcome.UNKNOWN if has_key else Outcome.NOT_RUN,
            )
            body = encode_error(error, gateway.new_request())
            headers = [
                (b"content-type", _JSON),
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ]
            channel = cast(Any, self.channel)
            channel.writeHeaders(b"HTTP/1.1", b"413", b"Request Entity Too Large", headers)
            channel.write(body)
            channel.loseConnection()

        def requestReceived(  # noqa: N802
            self, command: bytes, path: bytes, version: bytes
        ) -> None:
            """Handle the request, unless its body was already rejected."""
            if not self.refused:
                super().requestReceived(command, path, version)

    return CallerSite(api.app.resource(), requestFactory=LimitedRequest, timeout=_IDLE_TIMEOUT_S)


class CallerSite(_Site):  # type: ignore[misc]
    """Tracks open connections, so that pending responses can be flushed before a shutdown."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._channels: set[Any] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Create the protocol of a new connection and track its channel."""
        # Twisted wraps the channel in a protocol that negotiates the HTTP version.
        wrapped = super().buildProtocol(addr)
        channel = wrapped._channel
        self._channels = {existing for existing in self._channels if _is_open(existing)}
        self._channels.add(channel)
        return wrapped

    async def flush(self, reactor: Any, limit_ms: int) -> None:
        """Close all connections once their written data is sent; wait at most `limit_ms`."""
        for channel in self._channels:
            if _is_open(channel):
                channel.loseConnection()
        waited_ms = 0
        while waited_ms < limit_ms and any(_is_open(channel) for channel in self._channels):
            await deferLater(reactor, _FLUSH_POLL_MS / 1000, lambda: None)
            waited_ms += _FLUSH_POLL_MS


def _is_open(channel: Any) -> bool:
    transport = getattr(channel, "transport", None)
    # A channel without a transport isn't connected yet.
    return transport is None or not transport.disconnected
