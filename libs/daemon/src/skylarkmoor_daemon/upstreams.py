"""Client of the engine and plain-service protocols."""

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
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer  # type: ignore[import-untyped]

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
# An engine sends the head of a stream when it takes the request, not with the first token.
_HEAD_TIMEOUT_S = 5.0
# An order to load a version waits for the weight store, which is rate-limited.
_ORDER_TIMEOUT_S = 30.0
# A line of a stream holds one token; anything longer is a fault of the upstream.
_MAX_LINE_BYTES = 1_000_000
_MAX_BODY_BYTES = 4_000_000


class UpstreamBroken(UpstreamError):
    """The connection broke after a byte of the request may have left."""


class UpstreamStalled(UpstreamError):
    """The upstream did not answer in time, though the connection holds."""


class UpstreamLeaving(UpstreamError):
    """The upstream refused the request because it is leaving; nothing ran."""


class UpstreamRejected(UpstreamError):
    """The upstream answered with an error status."""

    def __init__(self, message: str, status: int, body: bytes) -> None:
        super().__init__(message, sent=True)
        self.status = status
        self.body = body


class OrderKind(Enum):
    """What an order asks an engine to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class OrderAnswer(Enum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    # The engine has seen a newer fencing token.
    OLD_TOKEN = "old_token"


class GenerateCall(msgspec.Struct, frozen=True):
    """Body of ``POST /generate``."""

    attempt: AttemptId
    version: VersionId
    prompt: str
    max_tokens: int
    start_position: int


class UpstreamReport(msgspec.Struct, frozen=True):
    """Body of ``GET /report``; fields that a plain service leaves out have defaults."""

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
    """What happened to blocks of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache."""

    kind: CacheEventKind
    blocks: tuple[int, ...]


class CacheEvents(msgspec.Struct, frozen=True):
    """Body of ``GET /events``; numbers start again with a new incarnation."""

    incarnation: int
    events: tuple[CacheEvent, ...]
    next: int


@dataclass(slots=True)
class _Flight:
    """A request's deadline, and whether it has got a connection, so that a byte may have left."""

    deadline_wall_ms: int | None = None
    sent: bool = False


class _WithheldError(Exception):
    """The caller's last check before the first byte said no."""


@implementer(IStreamClientEndpoint)
class _GuardedEndpoint:
    """Runs a last check between connecting and the first byte."""

    def __init__(self, endpoint: Any, flight: _Flight, may_send: Callable[[], bool] | None) -> None:
        self._endpoint = endpoint
        self._flight = flight
        self._may_send = may_send

    def connect(self, factory: Factory) -> Deferred[Any]:
        """Connect, then check, then note that bytes may leave."""
        connected: Deferred[Any] = self._endpoint.connect(factory)
        return connected.addCallback(self._check)

    def _check(self, protocol: Any) -> Any:
        if self._may_send is not None and not self._may_send():
            protocol.transport.abortConnection()
            raise _WithheldError("the last check before sending failed")
        self._flight.sent = True
        return protocol


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Makes guarded endpoints for one address."""

    def __init__(
        self,
        reactor: IReactorTCP,
        address: Address,
        flight: _Flight,
        may_send: Callable[[], bool] | None,
    ) -> None:
        kind = TCP6ClientEndpoint if ":" in address.host else TCP4ClientEndpoint
        endpoint = kind(reactor, address.host, address.port, timeout=_CONNECT_TIMEOUT_S)
        self._endpoint = _GuardedEndpoint(endpoint, flight, may_send)

    def endpointForURI(self, uri: object) -> _GuardedEndpoint:  # noqa: N802
        """Return the endpoint; every request goes to the one address."""
        return self._endpoint


class LineStream(Protocol):
    """Reads an answer line by line, with back-pressure.

    Parameters
    ----------
    on_line : callable
        Gets each line as bytes and returns whether to read on. Otherwise the connection is
        closed.

    Attributes
    ----------
    finished : Deferred
        Fires with None when the answer was read to its end, fails with `UpstreamBroken`
        when the connection broke.
    """

    def __init__(self, on_line: Callable[[bytes], bool]) -> None:
        self.finished: Deferred[None] = Deferred()
        self._on_line = on_line
        self._rest = b""
        self._aborted = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on each complete line."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if self._aborted:
                return
            if line.strip() and not self._on_line(line):
                self.abort()
        if len(self._rest) > _MAX_LINE_BYTES:
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the end of the answer."""
        if self.finished.called:
            return
        if isinstance(reason.value, ResponseDone):
            self.finished.callback(None)
        else:
            self.finished.errback(UpstreamBroken(f"answer broke off: {reason.value}", sent=True))

    def pause(self) -> None:
        """Stop reading from the upstream until `resume` is called."""
        if self.transport is not None:
            cast(Any, self.transport).pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self.transport is not None:
            cast(Any, self.transport).resumeProducing()

    def abort(self) -> None:
        """Close the connection; `finished` fails."""
        self._aborted = True
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()


class _BodyReader(Protocol):
    """Reads a whole answer of bounded length."""

    def __init__(self) -> None:
        self.finished: Deferred[bytes] = Deferred(lambda _: self._close())
        self._parts: list[bytes] = []
        self._length = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part."""
        self._parts.append(data)
        self._length += len(data)
        if self._length > _MAX_BODY_BYTES:
            self._close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Hand over the whole answer, or the reason why it is not whole."""
        if self.finished.called:
            return
        if isinstance(reason.value, ResponseDone):
            self.finished.callback(b"".join(self._parts))
        else:
            self.finished.errback(reason)

    def _close(self) -> None:
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()


class UpstreamClient:
    """Client of one upstream.

    Parameters
    ----------
    upstream : str
        Id of the upstream.
    address : Address
        Where it listens.
    reactor : reactor
        Makes the connections.
    clock : Clock
        Translates the upstream's report times.

    Notes
    -----
    Every request but those for reports and events uses a connection of its own. A pooled
    connection that the upstream has just closed would make it impossible to tell whether a byte
    was read by the upstream.
    """

    def __init__(self, upstream: UpstreamId, address: Address, reactor: Any, clock: Clock) -> None:
        self.upstream = upstream
        self.address = address
        self._reactor = reactor
        self._clock = clock
        make_pool: Any = HTTPConnectionPool
        make_agent: Any = Agent
        self._pool = make_pool(reactor)
        self._pool.maxPersistentPerHost = 1
        agent = make_agent(reactor, connectTimeout=_CONNECT_TIMEOUT_S, pool=self._pool)
        self._control: Any = HTTPClient(agent)

    def close(self) -> None:
        """Close the connection that is kept for reports and events."""
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
            If no stream was started; `sent` tells whether a byte may have left.
        """
        flight = _Flight(deadline_wall_ms)
        body = msgspec.json.encode(call)
        return await self._stream("/generate", body, on_line, flight, may_send, _HEAD_TIMEOUT_S)

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
        return await self._stream("/resume", body, on_line, _Flight(), None, _CONTROL_TIMEOUT_S)

    async def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt.

        Raises
        ------
        UpstreamError
            If the upstream did not take the order.
        """
        body = msgspec.json.encode({"attempt": attempt})
        await self._send("POST", "/cancel", body, _CONTROL_TIMEOUT_S)

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
            If the call failed; `sent` tells whether a byte may have left.
        """
        text = msgspec.json.encode({"attempt": attempt, "route": route, "body": msgspec.Raw(body)})
        answer = await self._send(
            "POST", "/call", text, timeout_ms / 1000, may_send, deadline_wall_ms
        )
        try:
            decoded = msgspec.json.decode(answer, type=_CallAnswer)
        except msgspec.DecodeError as error:
            raise UpstreamBroken(f"invalid answer: {error}", sent=True) from error
        if decoded.attempt != attempt:
            raise UpstreamBroken(f"answer is for attempt {decoded.attempt!r}", sent=True)
        return bytes(decoded.result)

    async def report(self) -> tuple[LoadReport, UpstreamReport]:
        """Return the upstream's load report, for the scheduler and as sent.

        Raises
        ------
        UpstreamError
            If there is no valid answer.
        """
        answer = await self._get("/report")
        try:
            report = msgspec.json.decode(answer, type=UpstreamReport)
        except msgspec.DecodeError as error:
            raise UpstreamBroken(f"invalid report: {error}", sent=True) from error
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
        answer = await self._get(f"/events?from={first}")
        try:
            return msgspec.json.decode(answer, type=CacheEvents)
        except msgspec.DecodeError as error:
            raise UpstreamBroken(f"invalid cache events: {error}", sent=True) from error

    async def order(self, order: OrderKind, version: VersionId, fencing: Offset) -> OrderAnswer:
        """Give an order with a fencing token.

        Raises
        ------
        UpstreamError
            If the upstream did not answer the order.
        """
        body = msgspec.json.encode({"order": order.value, "version": version, "fencing": fencing})
        try:
            await self._send("POST", "/orders", body, _ORDER_TIMEOUT_S)
        except UpstreamRejected as error:
            if error.status == 409:
                return OrderAnswer.OLD_TOKEN
            raise
        return OrderAnswer.ACCEPTED

    async def _get(self, path: str) -> bytes:
        asked = self._control.get(f"http://{self.address}{path}", unbuffered=True)
        asked.addTimeout(_CONTROL_TIMEOUT_S, cast(IReactorTime, self._reactor), _time_out)
        try:
            response = await asked
        except ConnectError as error:
            raise UpstreamError(f"{self.upstream}: {_reason(error)}", sent=False) from error
        except Exception as error:
            raise UpstreamBroken(f"{self.upstream}: {_reason(error)}", sent=True) from error
        if response.code != 200:
            raise await self._rejection(response)
        return await self._read(response, _CONTROL_TIMEOUT_S)

    async def _stream(
        self,
        path: str,
        body: bytes,
        on_line: Callable[[bytes], bool],
        flight: _Flight,
        may_send: Callable[[], bool] | None,
        timeout_s: float,
    ) -> LineStream:
        response = await self._request("POST", path, body, flight, may_send, timeout_s)
        stream = LineStream(on_line)
        cast(Any, response).deliverBody(stream)
        return stream

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        may_send: Callable[[], bool] | None = None,
        deadline_wall_ms: int | None = None,
    ) -> bytes:
        flight = _Flight(deadline_wall_ms)
        response = await self._request(method, path, body, flight, may_send, timeout_s)
        return await self._read(response, timeout_s)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        flight: _Flight,
        may_send: Callable[[], bool] | None,
        timeout_s: float,
    ) -> IResponse:
        factory = _EndpointFactory(self._reactor, self.address, flight, may_send)
        make_agent: Any = Agent.usingEndpointFactory
        client: Any = HTTPClient(make_agent(self._reactor, factory))
        headers = {"content-type": "application/json"}
        if flight.deadline_wall_ms is not None:
            headers["x-deadline-ms"] = str(flight.deadline_wall_ms)
        url = f"http://{self.address}{path}"
        try:
            asked = client.request(
                method,
                url,
                data=body,
                headers=headers,
                unbuffered=True,
                # A redirect would send the request a second time.
                allow_redirects=False,
            )
            asked.addTimeout(timeout_s, cast(IReactorTime, self._reactor), _time_out)
            response = await asked
        except Exception as error:
            text = f"{self.upstream}: {_reason(error)}"
            if flight.sent and isinstance(error, TimeoutError):
                raise UpstreamStalled(text, sent=True) from error
            if flight.sent:
                raise UpstreamBroken(text, sent=True) from error
            raise UpstreamError(text, sent=False) from error
        if response.code == 200:
            return cast(IResponse, response)
        raise await self._rejection(response)

    async def _rejection(self, response: Any) -> UpstreamError:
        leaving = response.code == 503 and response.headers.hasHeader(b"x-leaving")
        if leaving:
            # A connection whose answer is not read stays open.
            unread = _BodyReader()
            unread.finished.addErrback(lambda _: b"")
            response.deliverBody(unread)
            return UpstreamLeaving(f"{self.upstream} is leaving", sent=False)
        try:
            body = await self._read(response, _CONTROL_TIMEOUT_S)
        except UpstreamError:
            body = b""
        return UpstreamRejected(f"{self.upstream}: status {response.code}", response.code, body)

    async def _read(self, response: Any, timeout_s: float) -> bytes:
        reader = _BodyReader()
        response.deliverBody(reader)
        reader.finished.addTimeout(timeout_s, cast(IReactorTime, self._reactor), _time_out)
        try:
            return await reader.finished
        except TimeoutError as error:
            raise UpstreamStalled(f"{self.upstream}: {_reason(error)}", sent=True) from error
        except Exception as error:
            raise UpstreamBroken(f"{self.upstream}: {_reason(error)}", sent=True) from error


class _CallAnswer(msgspec.Struct, frozen=True):
    """Body of the answer to ``POST /call``."""

    attempt: str
    result: msgspec.Raw


def attempt_result(error: UpstreamError) -> AttemptResult:
    """Return how an attempt that failed with `error` ended."""
    match error:
        case UpstreamLeaving():
            return AttemptResult.LEAVING
        case UpstreamRejected(status=409) | UpstreamRejected(status=429):
            # The state of the upstream does not allow the request, so it was not taken.
            return AttemptResult.NOT_STARTED
        case UpstreamRejected() | UpstreamStalled():
            return AttemptResult.FAILED
        case UpstreamError(sent=False):
            return AttemptResult.NOT_STARTED
        case _:
            return AttemptResult.CRASHED


def _time_out(result: object, timeout_s: float) -> None:
    # The HTTP client wraps the cancellation, so the time-out is told by this alone.
    raise TimeoutError(f"no answer within {timeout_s} s")


def _reason(error: Exception) -> str:
    reasons = getattr(error, "reasons", None)
    if reasons:
        return "; ".join(str(reason.value) for reason in reasons)
    return str(error) or type(error).__name__
