"""HTTP client for upstreams: engines and plain services."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IReactorTCP, IReactorTime, IStreamClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer  # type: ignore[import-untyped]

from skylarkmoor_clients.endpoints import AddressEndpointFactory
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import UpstreamError
from skylarkmoor_core.ids import AttemptId, Incarnation, Offset, UpstreamId, VersionId
from skylarkmoor_core.settings import Address
from skylarkmoor_policy.requests import AttemptResult, LoadReport

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "GenerateCall",
    "LineStream",
    "OrderAnswer",
    "OrderKind",
    "UpstreamBroken",
    "UpstreamClient",
    "UpstreamLeaving",
    "UpstreamRejected",
    "UpstreamReport",
    "UpstreamStalled",
    "attempt_result",
]

_CONNECT_TIMEOUT_S = 1.0
_CONTROL_TIMEOUT_S = 1.0
# An engine sends the response head when it accepts the request, not with the first token.
_RESPONSE_HEAD_TIMEOUT_S = 5.0
# Loading a version waits for the weight store, which is rate-limited.
_ORDER_TIMEOUT_S = 30.0
# A line of a stream holds one token, so a longer line is a fault of the upstream.
_MAX_LINE_BYTES = 1_000_000
_MAX_BODY_BYTES = 4_000_000


class UpstreamBroken(UpstreamError):
    """The connection broke, or the answer was invalid, after a byte may have been sent."""


class UpstreamStalled(UpstreamError):
    """The upstream did not answer in time, but the connection stayed open."""


class UpstreamLeaving(UpstreamError):
    """The upstream refused the request because it is leaving, and ran nothing of it."""


class UpstreamRejected(UpstreamError):
    """The upstream answered with a status other than 200."""

    def __init__(self, message: str, status: int, body: bytes) -> None:
        super().__init__(message, sent=True)
        self.status = status
        self.body = body


class OrderKind(Enum):
    """Operations that an order requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class OrderAnswer(Enum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    # The engine has seen a newer fencing token.
    STALE_TOKEN = "old_token"


class GenerateCall(msgspec.Struct, frozen=True):
    """Request body of ``POST /generate``."""

    attempt: AttemptId
    version: VersionId
    prompt: str
    max_tokens: int
    start_position: int


class UpstreamReport(msgspec.Struct, frozen=True):
    """Response body of ``GET /report``; plain services omit the fields with defaults."""

    incarnation: int
    as_of_ms: int
    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 1
    max_batch: int = 1
    versions: tuple[str, ...] = ()
    role: str = ""
    leaving: bool = False


class CacheEventKind(Enum):
    """Kinds of changes to blocks of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(msgspec.Struct, frozen=True):
    """A change to blocks of an engine's prefix cache."""

    kind: CacheEventKind
    blocks: tuple[int, ...]


class CacheEvents(msgspec.Struct, frozen=True):
    """Response body of ``GET /events``; event numbers restart with each incarnation."""

    incarnation: int
    events: tuple[CacheEvent, ...]
    next: int


@dataclass(slots=True)
class _SendState:
    """Deadline of a request, and whether it got a connection, so that a byte may be sent."""

    deadline_wall_ms: int | None = None
    sent: bool = False


class _SendRefusedError(Exception):
    """The caller's check immediately before the first byte forbade sending."""


@implementer(IStreamClientEndpoint)
class _GuardedEndpoint:
    """Endpoint that runs the caller's check after connecting and before the first byte."""

    def __init__(
        self, endpoint: Any, send_state: _SendState, may_send: Callable[[], bool] | None
    ) -> None:
        self._endpoint = endpoint
        self._send_state = send_state
        self._may_send = may_send

    def connect(self, factory: Factory) -> Deferred[Any]:
        """Connect, run the check, then record that bytes may be sent."""
        connected: Deferred[Any] = self._endpoint.connect(factory)
        return connected.addCallback(self._check_before_sending)

    def _check_before_sending(self, protocol: Any) -> Any:
        if self._may_send is not None and not self._may_send():
            protocol.transport.abortConnection()
            raise _SendRefusedError("the caller no longer allows the request to be sent")
        self._send_state.sent = True
        return protocol


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Creates the guarded endpoint for one address."""

    def __init__(
        self,
        reactor: IReactorTCP,
        address: Address,
        send_state: _SendState,
        may_send: Callable[[], bool] | None,
    ) -> None:
        kind = TCP6ClientEndpoint if ":" in address.host else TCP4ClientEndpoint
        endpoint = kind(reactor, address.host, address.port, timeout=_CONNECT_TIMEOUT_S)
        self._endpoint = _GuardedEndpoint(endpoint, send_state, may_send)

    def endpointForURI(self, uri: object) -> _GuardedEndpoint:  # noqa: N802
        """Return the endpoint, whatever the URI: all requests go to one address."""
        return self._endpoint


class LineStream(Protocol):
    """Reads a response body line by line, with back-pressure.

    Parameters
    ----------
    on_line : callable
        Receives each line as bytes and returns whether to read on. If it returns False, the
        connection is closed.

    Attributes
    ----------
    finished : Deferred
        Fires with None at the end of the body; fails with `UpstreamBroken` if the connection
        broke before.
    """

    def __init__(self, on_line: Callable[[bytes], bool]) -> None:
        self.finished: Deferred[None] = Deferred()
        self._on_line = on_line
        self._partial_line = b""
        self._aborted = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass each complete line to `on_line`."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if self._aborted:
                return
            if line.strip() and not self._on_line(line):
                self.abort()
        if len(self._partial_line) > _MAX_LINE_BYTES:
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fire `finished`."""
        if self.finished.called:
            return
        if isinstance(reason.value, ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(
                UpstreamBroken(f"connection lost during the response: {reason.value}", sent=True)
            )

    def pause(self) -> None:
        """Stop reading from the upstream until `resume` is called."""
        if self.transport is not None:
            cast(Any, self.transport).pauseProducing()

    def resume(self) -> None:
        """Continue reading after `pause`."""
        if self.transport is not None:
            cast(Any, self.transport).resumeProducing()

    def abort(self) -> None:
        """Close the connection, which fails `finished` unless the body was complete."""
        self._aborted = True
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()


class _BodyReader(Protocol):
    """Reads a whole response body of bounded length."""

    def __init__(self) -> None:
        self.finished: Deferred[bytes] = Deferred(lambda _: self._close())
        self._chunks: list[bytes] = []
        self._length = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer a chunk of the body; close the connection if the body is too long."""
        self._chunks.append(data)
        self._length += len(data)
        if self._length > _MAX_BODY_BYTES:
            self._close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fire `finished` with the whole body, or fail it if the body is incomplete."""
        if self.finished.called:
            return
        # A body that ends with its connection is a JSON object, which cannot be decoded if a part
        # of it is missing.
        if isinstance(reason.value, (ResponseDone, PotentialDataLoss)):
            self.finished.callback(b"".join(self._chunks))
        else:
            self.finished.errback(reason)

    def _close(self) -> None:
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()


class UpstreamClient:
    """HTTP client of one upstream.

    Parameters
    ----------
    upstream : str
        Id of the upstream.
    address : Address
        Address on which the upstream listens.
    reactor : reactor
        Twisted reactor that makes the connections.
    clock : Clock
        Converts wall-clock times in reports to the monotonic clock.

    Notes
    -----
    Every request except those for reports and events uses a new connection. If the upstream had
    just closed a pooled connection, the client could not tell whether the upstream read a byte.
    """

    def __init__(self, upstream: UpstreamId, address: Address, reactor: Any, clock: Clock) -> None:
        self.upstream = upstream
        self.address = address
        self._reactor = reactor
        self._clock = clock
        make_pool: Any = HTTPConnectionPool
        make_agent: Any = Agent.usingEndpointFactory
        self._pool = make_pool(reactor)
        self._pool.maxPersistentPerHost = 1
        endpoints = AddressEndpointFactory(reactor, _CONNECT_TIMEOUT_S)
        agent = make_agent(reactor, endpoints, self._pool)
        self._control_client: Any = HTTPClient(agent)

    def close(self) -> None:
        """Close the pooled connection for reports and events."""
        self._pool.closeCachedConnections()

    async def generate(
        self,
        call: GenerateCall,
        on_line: Callable[[bytes], bool],
        *,
        deadline_wall_ms: int | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> LineStream:
        """Start a generation and return its stream.

        Parameters
        ----------
        call : GenerateCall
            The request.
        on_line : callable
            As for `LineStream`.
        deadline_wall_ms : int, optional
            The caller's deadline in epoch milliseconds, passed on to the upstream.
        may_send : callable, optional
            Checked after connecting, immediately before the first byte.

        Raises
        ------
        UpstreamError
            If no stream was started; `sent` tells whether a byte may have been sent.
        """
        send_state = _SendState(deadline_wall_ms)
        body = msgspec.json.encode(call)
        return await self._open_stream(
            "/generate", body, on_line, send_state, may_send, _RESPONSE_HEAD_TIMEOUT_S
        )

    async def resume(
        self, attempt: AttemptId, position: int, on_line: Callable[[bytes], bool]
    ) -> LineStream:
        """Ask for the rest of a stream from `position`, in tokens.

        Raises
        ------
        UpstreamError
            If the upstream cannot resume the attempt.
        """
        body = msgspec.json.encode({"attempt": attempt, "position": position})
        return await self._open_stream(
            "/resume", body, on_line, _SendState(), None, _CONTROL_TIMEOUT_S
        )

    async def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt.

        Raises
        ------
        UpstreamError
            If the upstream did not confirm the cancellation.
        """
        body = msgspec.json.encode({"attempt": attempt})
        await self._send_and_read("POST", "/cancel", body, _CONTROL_TIMEOUT_S)

    async def call(
        self,
        attempt: AttemptId,
        route: str,
        body: bytes,
        *,
        timeout_ms: int,
        deadline_wall_ms: int | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> bytes:
        """Run a call on a plain service and return its result as JSON text.

        Parameters
        ----------
        attempt : str
            Id that the service echoes.
        route : str
            Name of the route.
        body : bytes
            JSON text.
        timeout_ms : int
            Longest wait in milliseconds.
        deadline_wall_ms : int, optional
            The caller's deadline in epoch milliseconds, passed on to the upstream.
        may_send : callable, optional
            Checked after connecting, immediately before the first byte.

        Raises
        ------
        UpstreamError
            If the call failed; `sent` tells whether a byte may have been sent.
        """
        text = msgspec.json.encode({"attempt": attempt, "route": route, "body": msgspec.Raw(body)})
        answer = await self._send_and_read(
            "POST", "/call", text, timeout_ms / 1000, may_send, deadline_wall_ms
        )
        try:
            decoded = msgspec.json.decode(answer, type=_CallResponse)
        except (msgspec.DecodeError, RecursionError) as error:
            raise UpstreamBroken(
                f"{self.upstream}: invalid response to a call: {error}", sent=True
            ) from error
        if decoded.attempt != attempt:
            raise UpstreamBroken(
                f"{self.upstream}: response is for another attempt, {decoded.attempt!r}", sent=True
            )
        return bytes(decoded.result)

    async def report(self) -> tuple[LoadReport, UpstreamReport]:
        """Return the upstream's load report, first in the scheduler's form, then as received.

        Raises
        ------
        UpstreamError
            If there is no valid answer.
        """
        answer = await self._get_body("/report")
        try:
            report = msgspec.json.decode(answer, type=UpstreamReport)
        except (msgspec.DecodeError, RecursionError) as error:
            raise UpstreamBroken(
                f"{self.upstream}: invalid load report: {error}", sent=True
            ) from error
        age_ms = max(0, self._clock.wall_ms() - report.as_of_ms)
        load = LoadReport(
            upstream=self.upstream,
            incarnation=Incarnation(report.incarnation),
            as_of_ms=self._clock.now_ms() - age_ms,
            running=report.running,
            waiting=report.waiting,
            kv_used_tokens=report.kv_used_tokens,
            kv_capacity_tokens=report.kv_capacity_tokens,
            max_batch=report.max_batch,
            versions=tuple(VersionId(version) for version in report.versions),
            leaving=report.leaving,
        )
        return load, report

    async def events(self, first: int) -> CacheEvents:
        """Return cache events from number `first` on.

        Raises
        ------
        UpstreamError
            If there is no valid answer.
        """
        answer = await self._get_body(f"/events?from={first}")
        try:
            return msgspec.json.decode(answer, type=CacheEvents)
        except (msgspec.DecodeError, RecursionError) as error:
            raise UpstreamBroken(
                f"{self.upstream}: invalid cache events: {error}", sent=True
            ) from error

    async def order(self, order: OrderKind, version: VersionId, fencing: Offset) -> OrderAnswer:
        """Send an order with a fencing token to an engine.

        Raises
        ------
        UpstreamError
            If the upstream did not accept the order, other than for an old fencing token.
        """
        body = msgspec.json.encode({"order": order.value, "version": version, "fencing": fencing})
        try:
            await self._send_and_read("POST", "/orders", body, _ORDER_TIMEOUT_S)
        except UpstreamRejected as error:
            if error.status == 409:
                return OrderAnswer.STALE_TOKEN
            raise
        return OrderAnswer.ACCEPTED

    async def _get_body(self, path: str) -> bytes:
        pending_response = self._control_client.get(f"http://{self.address}{path}", unbuffered=True)
        pending_response.addTimeout(
            _CONTROL_TIMEOUT_S, cast(IReactorTime, self._reactor), _raise_timeout
        )
        try:
            response = await pending_response
        except ConnectError as error:
            raise UpstreamError(f"{self.upstream}: {_describe_error(error)}", sent=False) from error
        except Exception as error:
            raise UpstreamBroken(f"{self.upstream}: {_describe_error(error)}", sent=True) from error
        if response.code != 200:
            raise await self._error_for_response(response)
        return await self._read_body(response, _CONTROL_TIMEOUT_S)

    async def _open_stream(
        self,
        path: str,
        body: bytes,
        on_line: Callable[[bytes], bool],
        send_state: _SendState,
        may_send: Callable[[], bool] | None,
        timeout_s: float,
    ) -> LineStream:
        response = await self._open_response("POST", path, body, send_state, may_send, timeout_s)
        stream = LineStream(on_line)
        cast(Any, response).deliverBody(stream)
        return stream

    async def _send_and_read(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        may_send: Callable[[], bool] | None = None,
        deadline_wall_ms: int | None = None,
    ) -> bytes:
        send_state = _SendState(deadline_wall_ms)
        response = await self._open_response(method, path, body, send_state, may_send, timeout_s)
        return await self._read_body(response, timeout_s)

    async def _open_response(
        self,
        method: str,
        path: str,
        body: bytes | None,
        send_state: _SendState,
        may_send: Callable[[], bool] | None,
        timeout_s: float,
    ) -> IResponse:
        factory = _EndpointFactory(self._reactor, self.address, send_state, may_send)
        make_agent: Any = Agent.usingEndpointFactory
        client: Any = HTTPClient(make_agent(self._reactor, factory))
        headers = {"content-type": "application/json"}
        if send_state.deadline_wall_ms is not None:
            headers["x-deadline-ms"] = str(send_state.deadline_wall_ms)
        url = f"http://{self.address}{path}"
        try:
            pending_response = client.request(
                method,
                url,
                data=body,
                headers=headers,
                unbuffered=True,
                # Following a redirect would send the request twice.
                allow_redirects=False,
            )
            pending_response.addTimeout(
                timeout_s, cast(IReactorTime, self._reactor), _raise_timeout
            )
            response = await pending_response
        except Exception as error:
            text = f"{self.upstream}: {_describe_error(error)}"
            if send_state.sent and isinstance(error, TimeoutError):
                raise UpstreamStalled(text, sent=True) from error
            if send_state.sent:
                raise UpstreamBroken(text, sent=True) from error
            raise UpstreamError(text, sent=False) from error
        if response.code == 200:
            return cast(IResponse, response)
        raise await self._error_for_response(response)

    async def _error_for_response(self, response: Any) -> UpstreamError:
        leaving = response.code == 503 and response.headers.hasHeader(b"x-leaving")
        if leaving:
            # The connection stays open until its response body is read.
            discarded_body = _BodyReader()
            discarded_body.finished.addErrback(lambda _: b"")
            response.deliverBody(discarded_body)
            return UpstreamLeaving(f"{self.upstream} is leaving", sent=False)
        try:
            body = await self._read_body(response, _CONTROL_TIMEOUT_S)
        except UpstreamError:
            body = b""
        return UpstreamRejected(f"{self.upstream}: status {response.code}", response.code, body)

    async def _read_body(self, response: Any, timeout_s: float) -> bytes:
        reader = _BodyReader()
        response.deliverBody(reader)
        reader.finished.addTimeout(timeout_s, cast(IReactorTime, self._reactor), _raise_timeout)
        try:
            return await reader.finished
        except TimeoutError as error:
            raise UpstreamStalled(
                f"{self.upstream}: {_describe_error(error)}", sent=True
            ) from error
        except Exception as error:
            raise UpstreamBroken(f"{self.upstream}: {_describe_error(error)}", sent=True) from error


class _CallResponse(msgspec.Struct, frozen=True):
    """Response body of ``POST /call``."""

    attempt: str
    result: msgspec.Raw


def attempt_result(error: UpstreamError) -> AttemptResult:
    """Return the result of an attempt that failed with `error`."""
    match error:
        case UpstreamLeaving():
            return AttemptResult.LEAVING
        case UpstreamRejected(status=409) | UpstreamRejected(status=429):
            # The upstream refused the request because of its state and did not start it.
            return AttemptResult.NOT_STARTED
        case UpstreamRejected() | UpstreamStalled():
            return AttemptResult.FAILED
        case UpstreamError(sent=False):
            return AttemptResult.NOT_STARTED
        case _:
            return AttemptResult.CRASHED


def _raise_timeout(result: object, timeout_s: float) -> None:
    # The HTTP client wraps the cancellation error, so only this error identifies a timeout.
    raise TimeoutError(f"no response within {timeout_s} s")


def _describe_error(error: Exception) -> str:
    reasons = getattr(error, "reasons", None)
    if reasons:
        return "; ".join(str(reason.value) for reason in reasons)
    return str(error) or type(error).__name__
