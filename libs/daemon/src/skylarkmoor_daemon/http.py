"""The callers' API and the operators' API."""

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
from skylarkmoor_daemon.answers import AnswerHead, AnswerSink, EventSink, WholeSink
from skylarkmoor_daemon.calls import (
    STATUS,
    ChatBody,
    IdempotencyKey,
    check_json,
    deadline_ms,
    encode_error,
    parse_chat,
    parse_key,
)
from skylarkmoor_daemon.metrics import Metrics

__all__ = [
    "CallAnswer",
    "CallerApi",
    "CallerSite",
    "Gateway",
    "Incoming",
    "ServicePort",
    "make_site",
]

# The classes of Twisted's server have no static types.
_WebRequest: Any = _server.Request
_Site: Any = _server.Site

_JSON = b"application/json"
# A connection that sends nothing for this long is closed.
_IDLE_S = 60
_FLUSH_MS = 50

_log = part_logger("http")


@dataclass(frozen=True, slots=True)
class Incoming:
    """A request that passed the checks of the API; `deadline_ms` is monotonic."""

    request: RequestId
    customer: CustomerId
    route: Route
    arrived_ms: int
    deadline_ms: int
    body: bytes
    key: IdempotencyKey | None = None


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a call; it is kept for resends of its key."""

    status_code: int
    body: bytes


class ServicePort(Protocol):
    """What the API needs of a service."""

    @property
    def document(self) -> ServiceDocument:
        """The document in force."""

    def chat(self, incoming: Incoming, chat: ChatBody, sink: AnswerSink) -> None:
        """Start a completion; its text goes to `sink`."""

    def abandon(self, request: RequestId) -> None:
        """Give up a request whose caller has gone."""

    async def call(self, incoming: Incoming) -> CallAnswer:
        """Run a call on a plain service; raises `RequestRefused`."""


class Gateway(Protocol):
    """What the API needs of the daemon."""

    def new_request(self) -> RequestId:
        """Return a fresh request id."""

    def check_accepting(self) -> None:
        """Raise `RequestRefused` if no requests are taken."""

    def service_for(self, route: str) -> ServicePort | None:
        """Return the service that has a route called `route`."""

    def body_limit(self) -> int:
        """Return the largest body that any service takes, in bytes."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""

    def status(self) -> Mapping[str, object]:
        """Return the state that operators see."""

    def moves(self) -> list[Mapping[str, object]]:
        """Return the moves in progress and the last ended ones."""

    def drain(self) -> None:
        """Start a drain."""


class CallerApi:
    """The HTTP API of one daemon.

    Parameters
    ----------
    gateway : Gateway
        The daemon.
    metrics : Metrics
        Rendered at ``/metrics``.
    clock : Clock
        Source of times.
    """

    app = Klein()

    def __init__(self, gateway: Gateway, metrics: Metrics, clock: Clock) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._clock = clock

    @app.route("/v1/chat/completions", methods=["POST"])
    async def chat(self, request: Any) -> bytes:
        """Answer a chat completion."""
        return await self._answer(request, self._chat)

    @app.route("/v1/call/<route>", methods=["POST"])
    async def call(self, request: Any, route: str) -> bytes:
        """Answer a call to a plain service."""

        async def run(request: Any, request_id: RequestId) -> bytes:
            return await self._call(request, request_id, route)

        return await self._answer(request, run)

    @app.route("/healthz", methods=["GET"])
    def health(self, request: Any) -> bytes:
        """Answer 200 while the process works."""
        return _json(request, {"healthy": True})

    @app.route("/readyz", methods=["GET"])
    def ready(self, request: Any) -> bytes:
        """Answer 200 if requests are welcome and 503 otherwise."""
        ready = self._gateway.is_ready()
        return _json(request, {"ready": ready}, 200 if ready else 503)

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request: Any) -> bytes:
        """Render the metrics."""
        accepts = list(request.requestHeaders.getRawHeaders("accept", []))
        content, headers = self._metrics.render(accepts)
        for name, value in headers.items():
            request.setHeader(name.encode(), value.encode())
        return content

    @app.route("/admin/status", methods=["GET"])
    def status(self, request: Any) -> bytes:
        """Show the daemon's state."""
        return _json(request, self._gateway.status())

    @app.route("/admin/moves", methods=["GET"])
    def moves(self, request: Any) -> bytes:
        """Show the moves."""
        return _json(request, {"moves": self._gateway.moves()})

    @app.route("/admin/drain", methods=["POST"])
    def drain(self, request: Any) -> bytes:
        """Start a drain and show what is still held."""
        self._gateway.drain()
        return _json(request, self._gateway.status(), 202)

    async def _answer(
        self, request: Any, run: Callable[[Any, RequestId], Awaitable[bytes]]
    ) -> bytes:
        request_id = self._gateway.new_request()
        request.setHeader(b"x-request-id", request_id.encode())
        try:
            return await run(request, request_id)
        except RequestRefused as error:
            self._metrics.refused(error.code.value)
            return _refuse(request, request_id, error)
        except CancelledError:
            # The caller has gone; there is no one to answer.
            return b""
        except Exception:
            _log.exception("a request failed", extra={"request": request_id})
            failed = RequestRefused(ErrorCode.UPSTREAM_FAILED, "the daemon failed", Outcome.UNKNOWN)
            return _refuse(request, request_id, failed)

    async def _chat(self, request: Any, request_id: RequestId) -> bytes:
        with _unclaimed(request):
            self._gateway.check_accepting()
            body = request.content.read()
            chat = parse_chat(body)
            service, route = self._find(chat.model, ServiceKind.ENGINE)
            incoming = self._incoming(request, request_id, service.document, route, body)
            head = AnswerHead(request_id, chat.model, self._clock.wall_ms() // 1000)
            if not chat.stream:
                request.setHeader(b"content-type", _JSON)
                whole = WholeSink(head)
                answer: bytes = await self._finished(service, incoming, chat, whole, whole.finished)
                return answer
            limit_bytes = service.document.limits.max_answer_buffer_bytes
            events = EventSink(request, head, limit_bytes)
            try:
                await self._finished(service, incoming, chat, events, events.finished)
            finally:
                events.disconnected()
            return b""

    async def _finished(
        self,
        service: ServicePort,
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
        with _unclaimed(request):
            self._gateway.check_accepting()
            service, route = self._find(name, ServiceKind.PLAIN)
            body = request.content.read()
            check_json(body)
            incoming = self._incoming(request, request_id, service.document, route, body)
            if route.idempotent:
                return _called(request, await service.call(incoming))
        return _called(request, await service.call(incoming))

    def _find(self, name: str, kind: ServiceKind) -> tuple[ServicePort, Route]:
        service = self._gateway.service_for(name)
        route = service.document.route(name) if service is not None else None
        if service is None or route is None or service.document.kind is not kind:
            raise RequestRefused(ErrorCode.UNKNOWN_ROUTE, f"no route is called {name!r}")
        return service, route

    def _incoming(
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
        key = parse_key(header, self._clock.wall_ms()) if header is not None else None
        if key is None and not route.idempotent:
            message = f"route {route.name!r} needs the header Idempotency-Key"
            raise RequestRefused(ErrorCode.KEY_REQUIRED, message)
        deadline = deadline_ms(request.getHeader("x-deadline-ms"), route.deadline_ms, self._clock)
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
def _unclaimed(request: Any) -> Iterator[None]:
    """Weaken refusals of a call with a key: an earlier copy of it may have run."""
    try:
        yield
    except RequestRefused as error:
        if request.getHeader("idempotency-key") is not None:
            error.outcome = _without_claim(error.outcome)
        raise


def _without_claim(outcome: Outcome) -> Outcome:
    return Outcome.UNKNOWN if outcome is Outcome.NOT_RUN else outcome


def _called(request: Any, answer: CallAnswer) -> bytes:
    request.setResponseCode(answer.status_code)
    request.setHeader(b"content-type", _JSON)
    return answer.body


def _json(request: Any, payload: object, status: int = 200) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", _JSON)
    return msgspec.json.encode(payload)


def _refuse(request: Any, request_id: RequestId, error: RequestRefused) -> bytes:
    request.setResponseCode(STATUS[error.code])
    request.setHeader(b"content-type", _JSON)
    if error.retry_after_ms is not None:
        request.setHeader(b"retry-after", str(-(-error.retry_after_ms // 1000)).encode())
    return encode_error(error, request_id)


def make_site(api: CallerApi, gateway: Gateway) -> "CallerSite":
    """Return the site that serves `api` and checks the body limit while reading."""

    class LimitedRequest(_WebRequest):  # type: ignore[misc]
        """Refuses a body as soon as it exceeds the limit."""

        received = 0
        refused = False

        def gotLength(self, length: int | None) -> None:  # noqa: N802
            """Refuse a declared length over the limit before the body is read."""
            super().gotLength(length)
            if length is not None and length > gateway.body_limit():
                self._refuse_body()

        def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
            """Keep a part of the body, unless it exceeds the limit."""
            if self.refused:
                return
            self.received += len(data)
            if self.received > gateway.body_limit():
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
            """Handle the request, unless it was refused while it was read."""
            if not self.refused:
                super().requestReceived(command, path, version)

    return CallerSite(api.app.resource(), requestFactory=LimitedRequest, timeout=_IDLE_S)


class CallerSite(_Site):  # type: ignore[misc]
    """Knows its open connections, so that a stop can let callers read their answers."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._channels: set[Any] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Make the protocol of a new connection and remember it."""
        # The protocol is wrapped by one that chooses the version of HTTP.
        wrapped = super().buildProtocol(addr)
        channel = wrapped._channel
        self._channels = {known for known in self._channels if _is_open(known)}
        self._channels.add(channel)
        return wrapped

    async def flush(self, reactor: Any, limit_ms: int) -> None:
        """Close all connections after what was written to them; wait at most `limit_ms`."""
        for channel in self._channels:
            if _is_open(channel):
                channel.loseConnection()
        waited_ms = 0
        while waited_ms < limit_ms and any(_is_open(channel) for channel in self._channels):
            await deferLater(reactor, _FLUSH_MS / 1000, lambda: None)
            waited_ms += _FLUSH_MS


def _is_open(channel: Any) -> bool:
    transport = getattr(channel, "transport", None)
    # Before its connection is made, a protocol has no transport yet.
    return transport is None or not transport.disconnected
