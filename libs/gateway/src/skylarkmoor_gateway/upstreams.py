"""Client side of the gateway: HTTP/1.1 connections to upstreams and their pools."""

from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

import h11
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.tcpoptions import (
    configure_socket,
    find_sending_fault,
    limit_kernel_buffers,
)
from skylarkmoor_gateway.messages import Headers
from skylarkmoor_gateway.readpacing import PacedReader, ReadPacer
from skylarkmoor_gateway.requestwriting import RequestWriter
from skylarkmoor_gateway.tunnels import CONNECT_TIMEOUT_S
from skylarkmoor_policy.memorybounds import MAX_READ_BYTES

__all__ = [
    "ConnectionLimits",
    "PathObserver",
    "ResponseReader",
    "UpstreamConnection",
    "UpstreamPool",
]

# For upstreams without a keep-alive header, which close idle connections after a few seconds.
_DEFAULT_IDLE_MS = 4_000
# Fraction of the upstream's keep-alive time for which an idle connection is reused, so that no
# request is sent while the upstream closes the connection.
_KEEP_ALIVE_FRACTION = 0.5
# Maximum per upstream.
_MAX_IDLE_CONNECTIONS = 32
# Upstreams send a few hundred bytes of headers; a larger head indicates a faulty one.
_MAX_HEAD_BYTES = 65_536
# Heads before the answer, such as 100 and 103. Upstreams send one or two.
_MAX_INFORMATIONAL_HEADS = 100
# Highest status of HTTP (RFC 9110, section 15). The parser rejects those below 100, and those that
# are not three digits.
_MAX_STATUS = 599


class ResponseReader(Interface):
    """Receives the response to one request."""

    def response_head(self, status: int, headers: Headers) -> None:
        """Process the response head."""

    def response_data(self, data: bytes) -> None:
        """Process a chunk of the body."""

    def response_end(self) -> None:
        """Process the end of a complete response."""

    def response_failed(self, reason: str) -> None:
        """Process a connection failure before the response was complete."""


class PathObserver(Interface):
    """Is told what the direct connections to an upstream show of the path to it."""

    def connected(self) -> None:
        """Record that a connection was made."""

    def failed(self, reason: str) -> None:
        """Record that a connection could not be made."""

    def heard(self) -> None:
        """Record that the upstream has sent something."""


@implementer(IHalfCloseableProtocol)
class UpstreamConnection(Protocol):
    """A connection to an upstream, without pipelining."""

    def __init__(self, pool: "UpstreamPool") -> None:
        self._pool = pool
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._reader: ResponseReader | None = None
        # Of the current request, or of the last one.
        self._writer: RequestWriter | None = None
        # What was wrong with the request when the upstream closed the connection.
        self._sending_fault: str | None = None
        # Requests that were sent on the connection.
        self.sent = 0
        self.idle_since_ms = 0
        self.idle_limit_ms = _DEFAULT_IDLE_MS
        self._open = False
        self._is_paused_by_caller = False
        self._informational_heads = 0
        self._incoming = PacedReader(
            pool.pacer, self._consume, self._pause_reading, self._resume_reading
        )

    @property
    def usable(self) -> bool:
        """Whether the connection is open and idle."""
        return self._open and self._reader is None and self._http.our_state is h11.IDLE

    def connectionMade(self) -> None:  # noqa: N802
        """Set socket options; called by Twisted."""
        self._open = True
        configure_socket(self.transport)
        limit_kernel_buffers(self._transport.getHandle(), self._pool.limits.kernel_buffer_bytes)

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, reader: ResponseReader
    ) -> None:
        """Send a request; the reader is told of its end or its failure exactly once."""
        self._reader = reader
        self._informational_heads = 0
        self.sent += 1
        self._transport.bufferSize = self._pool.limits.read_bytes()
        head = h11.Request(method=method, target=target, headers=headers)
        head_bytes = self._http.send(head) or b""
        body_bytes = (self._http.send(h11.Data(data=body)) or b"") if body else b""
        body_bytes += self._http.send(h11.EndOfMessage()) or b""
        self._writer = RequestWriter(self._transport, head_bytes, body_bytes)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; called by Twisted."""
        self._pool.heard()
        if self._reader is None:
            # Unsolicited bytes; the connection cannot be reused.
            self.abort()
            return
        if self._writer is not None and not self._writer.has_begun:
            self._fail_response("bytes arrived before the request was sent")
            return
        self._incoming.feed(data)

    def _consume(self, data: bytes) -> None:
        if self._reader is None:
            # The response has ended in an earlier turn.
            self.abort()
            return
        try:
            self._http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._fail_response(f"not an HTTP answer: {error}")

    def readConnectionLost(self) -> None:  # noqa: N802
        """Handle an orderly end of what the upstream sends; called by Twisted.

        Notes
        -----
        The kernel shows an orderly end also if the upstream has not read the whole request, or if
        a reset has followed. Only while the socket is open can the kernel be asked for these.
        """
        self._sending_fault = find_sending_fault(self.transport)
        self._transport.connectionLost(connectionDone)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing; the gateway never closes one direction only."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Finish or fail the current response; called by Twisted."""
        self._open = False
        self._pool.discard(self)
        if self._reader is None:
            return
        if isinstance(reason.value, ConnectionDone):
            self._incoming.end(self._closed)
        else:
            self._fail_response(f"lost: {reason.getErrorMessage()}")

    def _closed(self) -> None:
        """End the response; only an orderly close can end one without a length.

        Notes
        -----
        The close is that of an upstream that has failed if it has not read the whole request.
        """
        if self._writer is not None and not self._writer.is_written:
            self._fail_response("closed while the request was being written")
            return
        if self._sending_fault is not None:
            self._fail_response(f"closed: {self._sending_fault}")
            return
        try:
            self._http.receive_data(b"")
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._fail_response(f"closed: {error}")
            return
        self._fail_response("closed before an answer")

    def abort(self) -> None:
        """Reset the connection and discard a response in progress without telling its reader."""
        self._reader = None
        self._open = False
        self._incoming.reset()
        self._pool.discard(self)
        if self.transport is not None:
            self._transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading while the caller is slow; called by Twisted."""
        self._is_paused_by_caller = True
        self._pause_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading; called by Twisted."""
        self._is_paused_by_caller = False
        self._resume_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the exchange handles a closed caller connection."""

    def _pause_reading(self) -> None:
        if self._open:
            self._transport.pauseProducing()

    def _resume_reading(self) -> None:
        if self._open and not self._is_paused_by_caller and not self._incoming.is_waiting:
            self._transport.resumeProducing()

    @property
    def _transport(self) -> Any:
        return self.transport

    def _process_events(self) -> None:
        while self._reader is not None:
            data, event = self._next_events()
            if data:
                self._reader.response_data(data)
            if self._reader is None:
                return
            match event:
                case h11.RemoteProtocolError():
                    raise event
                case h11.NEED_DATA | h11.PAUSED:
                    return
                case h11.Response(status_code=status) if status > _MAX_STATUS:
                    # Not an answer, whatever its headers say: the request may have been executed.
                    self._fail_response(f"{status} is no status of HTTP")
                    return
                case h11.Response():
                    self._reader.response_head(event.status_code, list(event.headers.raw_items()))
                case h11.InformationalResponse():
                    self._informational_heads += 1
                    if self._informational_heads > _MAX_INFORMATIONAL_HEADS:
                        self._fail_response(
                            f"more than {_MAX_INFORMATIONAL_HEADS} heads came before the answer"
                        )
                        return
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.ConnectionClosed():
                    self._fail_response("closed before an answer")
                    return

    def _next_events(self) -> tuple[bytes, Any]:
        """Return the next part of the body and what comes after it, an event or an error."""
        parts: list[bytes] = []
        while True:
            event: Any
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                event = error
            if not isinstance(event, h11.Data):
                return b"".join(parts), event
            parts.append(bytes(event.data))

    def _complete(self) -> None:
        reader, self._reader = self._reader, None
        reusable = (
            self._open
            and self._writer is not None
            and self._writer.is_written
            and not self._incoming.has_pending
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if reusable:
            self._incoming.reset()
            # The caller of this response may have paused it, and does not resume it any more.
            self.resumeProducing()
            self._http.start_next_cycle()
            self._pool.release(self)
        else:
            self.abort()
        if reader is not None:
            reader.response_end()

    def _fail_response(self, reason: str) -> None:
        reader, self._reader = self._reader, None
        self.abort()
        if reader is not None:
            reader.response_failed(reason)


class _UpstreamFactory(Factory):
    noisy = False

    def __init__(self, pool: "UpstreamPool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> UpstreamConnection:  # noqa: N802
        """Create the protocol of a new connection; called by Twisted."""
        return UpstreamConnection(self._pool)


class ConnectionLimits:
    """Bounds of the connections to all upstreams.

    Parameters
    ----------
    max_idle : int or None
        Idle connections; None for no bound.
    kernel_buffer_bytes : int or None
        Size of the buffers of the kernel; None for its default.

    Attributes
    ----------
    idle : int
        Idle connections in all pools.
    read_bytes : callable
        Returns how much a connection may read at once.
    """

    def __init__(self, max_idle: int | None = None, kernel_buffer_bytes: int | None = None) -> None:
        self.max_idle = max_idle
        self.kernel_buffer_bytes = kernel_buffer_bytes
        self.idle = 0
        self.read_bytes: Callable[[], int] = lambda: MAX_READ_BYTES

    def has_room(self) -> bool:
        """Return whether one more connection may stay open without a request."""
        return self.max_idle is None or self.idle < self.max_idle


class UpstreamPool:
    """Connection pool of one upstream.

    Parameters
    ----------
    reactor : reactor
        Twisted's reactor.
    clock : Clock
        Time source.
    address : tuple of (str, int)
        Host and port of the upstream.
    observer : PathObserver, optional
        Told of the connections, if they are direct ones.
    endpoint : endpoint, optional
        What makes the connections; by default they are made to the address itself.
    pacer : ReadPacer, optional
        Gives turns to connections whose bytes take long to read.
    limits : ConnectionLimits, optional
        Bounds that all pools share.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        observer: PathObserver | None = None,
        endpoint: Any = None,
        pacer: ReadPacer | None = None,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.address = address
        self.limits = limits or ConnectionLimits()
        self.pacer = pacer or ReadPacer(reactor)
        self.connections_opened = 0
        self._reactor = reactor
        self._clock = clock
        self._idle: list[UpstreamConnection] = []
        self._observer = observer
        self._endpoint: Any = endpoint or TCP4ClientEndpoint(
            reactor, address[0], address[1], timeout=CONNECT_TIMEOUT_S
        )

    def acquire(self, max_idle_ms: int | None = None) -> UpstreamConnection | None:
        """Return the most recently used idle connection, None if there is none.

        Parameters
        ----------
        max_idle_ms : int, optional
            Additional bound on the idle time of the connection.
        """
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle.pop()
            self.limits.idle -= 1
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.usable or idle_ms > connection.idle_limit_ms:
                connection.abort()
            elif max_idle_ms is not None and idle_ms > max_idle_ms:
                self._idle.append(connection)
                self.limits.idle += 1
                return None
            else:
                return connection
        return None

    def connect(self) -> "Deferred[UpstreamConnection]":
        """Open a new connection; the deferred fails with the connection error."""
        self.connections_opened += 1
        connecting: Deferred[UpstreamConnection] = self._endpoint.connect(_UpstreamFactory(self))
        return connecting.addCallbacks(self._connected, self._not_connected)

    def _connected(self, connection: UpstreamConnection) -> UpstreamConnection:
        if self._observer is not None:
            self._observer.connected()
        return connection

    def _not_connected(self, failure: Failure) -> Failure:
        if self._observer is not None:
            self._observer.failed(failure.getErrorMessage())
        return failure

    def heard(self) -> None:
        """Record that the upstream has sent something."""
        if self._observer is not None:
            self._observer.heard()

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after a complete response."""
        connection.idle_since_ms = self._clock.now_ms()
        if len(self._idle) >= _MAX_IDLE_CONNECTIONS or not self.limits.has_room():
            connection.abort()
        else:
            self._idle.append(connection)
            self.limits.idle += 1

    def set_keep_alive(self, connection: UpstreamConnection, keep_alive_ms: int) -> None:
        """Set the reuse limit of a connection from the upstream's keep-alive time."""
        connection.idle_limit_ms = int(keep_alive_ms * _KEEP_ALIVE_FRACTION)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self._idle:
            self._idle.remove(connection)
            self.limits.idle -= 1

    def close_expired(self) -> None:
        """Close connections that have exceeded their idle limit."""
        now_ms = self._clock.now_ms()
        for connection in list(self._idle):
            if now_ms - connection.idle_since_ms > connection.idle_limit_ms:
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.abort()
