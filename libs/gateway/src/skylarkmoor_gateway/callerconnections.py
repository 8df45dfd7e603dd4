"""Server side of the gateway: HTTP/1.1 connections of callers, without pipelining."""

from typing import Any
from typing import Protocol as Interface

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.tcpoptions import (
    close_when_written,
    configure_socket,
    reset_on_close,
    unsent_bytes,
)
from skylarkmoor_gateway.memoryaccount import MemoryAccount
from skylarkmoor_gateway.messages import Headers
from skylarkmoor_gateway.readpacing import ReadPacer
from skylarkmoor_policy.memorybounds import FREE_BODY_BYTES, SMALL_BODY_BYTES, GrantResult
from skylarkmoor_policy.routetable import CallerLimits

__all__ = ["CallerConnection", "CallerConnectionFactory", "RequestHandler"]

# Time for a caller to read the rest of a response after which a closing connection is aborted.
_CLOSE_TIMEOUT_S = 5.0

# Chunks of a request body that are accepted whatever their size, and bytes of the body for each
# further one. A chunk costs as much to parse as a kilobyte in a larger one.
_MAX_SMALL_CHUNKS = 1_024
_MIN_CHUNK_BYTES = 8
# Chunks that are parsed in a turn after the small ones above, which take about 10 ms. After a
# request with more chunks or header fields, the next one waits for a turn.
_MAX_CHUNKS_PER_TURN = 512
_MAX_FIELDS_PER_TURN = 256
# Bytes of chunk sizes and chunk extensions that are accepted whatever the body, and for each byte
# of it. Extensions are discarded, so that only their number would show that they never end.
_MAX_FRAMING_BYTES = 65_536
_MAX_FRAMING_FRACTION = 2

# Retry-After of a request that is refused because the gateway holds too much. Uploads end within
# seconds, and callers that come back later find room.
_FULL_RETRY_AFTER = b"1.000"

# Statuses whose responses have no body.
_STATUSES_WITHOUT_BODY = (204, 304)

_REASON_PHRASES = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

_log = part_logger("caller")


class RequestHandler(Interface):
    """Receives complete requests and connection events; implemented by the gateway.

    Attributes
    ----------
    memory : MemoryAccount
        Counts what is held for callers.
    pacer : ReadPacer
        Gives turns to callers whose bytes take long to parse.
    """

    memory: MemoryAccount
    pacer: ReadPacer

    def limits(self) -> CallerLimits:
        """Return the size limits and timeouts for callers."""

    def draining(self) -> bool:
        """Return whether connections are to be closed after their current response."""

    def handle(self, caller: "CallerConnection", request: h11.Request, body: bytes) -> None:
        """Process a request and send exactly one response on the connection."""

    def caller_connected(self, caller: "CallerConnection") -> None:
        """Register a new connection."""

    def caller_disconnected(self, caller: "CallerConnection") -> None:
        """Unregister a connection that was closed."""

    def request_rejected(self, status: int, reason: str) -> None:
        """Record a request that was rejected before it was read completely."""


class CallerConnection(Protocol):
    """An HTTP/1.1 connection of a caller.

    Notes
    -----
    A request is buffered completely before it is handled, so that it can be retried. Pipelined
    requests are not processed until the kernel has taken the response before them completely,
    which it does only while the caller reads. At most one of them is processed in a turn of the
    event loop, so that their number delays no other caller.
    """

    def __init__(self, handler: RequestHandler, reactor: Any) -> None:
        self._handler = handler
        self._reactor = reactor
        self._http: h11.Connection = self._new_http_connection()
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._chunks = 0
        self._busy = False
        self._response_started = False
        # Whether the request in progress is HEAD, and whether its response may have a body.
        self._is_head = False
        self._has_body = True
        self._closing = False
        self._has_producer = False
        # Whether the response ends with the connection, because the caller speaks HTTP/1.0.
        self._close_delimited = False
        self._timer: Any = None
        self._close_timer: Any = None
        self._reading_head = False
        self._memory = handler.memory
        self._holding = self._memory.add(self)
        # Whether the body waits for its grant, and the size of the grant.
        self._awaits_grant = False
        self._granted_bytes = 0
        # Whether the last response is not written completely, and how much of it was left when
        # that was last looked at.
        self._awaits_write = False
        self._unsent_bytes = 0
        # Whether the connection waits for its turn, and whether it has sent what takes long.
        self._is_yielding = False
        self._is_slow = False
        # Bytes of the body with its framing.
        self._body_wire_bytes = 0

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._busy

    def connectionMade(self) -> None:  # noqa: N802
        """Set socket options and start the idle timer; called by Twisted."""
        configure_socket(self.transport)
        self._transport.bufferSize = self._memory.read_bytes()
        self._handler.caller_connected(self)
        self._start_timer(self._handler.limits().idle_timeout_ms)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; called by Twisted."""
        if self._closing:
            return
        self._memory.received(self._holding, len(data))
        self._transport.bufferSize = self._memory.read_bytes()
        if self._head is not None:
            self._body_wire_bytes += len(data)
        try:
            self._http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._reject(400, f"unexpected bytes: {error}")
            return
        if self._busy or self._awaits_write or self._is_yielding:
            # Bytes of a pipelined request are buffered up to the header size limit.
            max_bytes = self._handler.limits().max_header_bytes
            if self._memory.is_tight() or len(self._http.trailing_data[0]) > max_bytes:
                self._pause_reading()
            return
        if self._is_slow and self._head is None and not self._reading_head:
            self._yield()
            return
        self._process_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Clean up after the connection was closed; called by Twisted."""
        self._cancel_timer()
        if self._close_timer is not None and self._close_timer.active():
            self._close_timer.cancel()
        self._closing = True
        self._busy = False
        self._discard_received()
        if self._is_yielding:
            self._handler.pacer.withdraw(self)
        self._memory.remove(self._holding)
        self._handler.caller_disconnected(self)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or partly received."""
        if not self._busy and self._head is None and not self._reading_head:
            self._close()

    def close_now(self) -> None:
        """Close the connection, or reset it if a response is in progress."""
        self._close(abort=self._response_started)

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the kernel has not taken yet."""
        return unsent_bytes(self.transport)

    def body_granted(self) -> None:
        """Go on with a request whose body has waited for its grant."""
        if self._awaits_grant and not self._closing:
            self._awaits_grant = False
            self._resume_reading()
            self._process_events()

    def give_way(self, status: int, reason: str) -> None:
        """Refuse the request that is being received, or close the connection."""
        if self._busy or self.unsent_bytes():
            # The caller has not read a response, and would not read this one either.
            self._busy = False
            self._close(abort=True)
        elif self._head is not None or self._reading_head:
            self._reject(status, reason)
        else:
            self._close()

    @property
    def is_memory_tight(self) -> bool:
        """Whether as little as possible is to be held for the caller."""
        return self._memory.is_tight()

    def response_held(self, count: int) -> None:
        """Set the bytes of the response that are held back for a retry."""
        self._memory.response_held(self._holding, count)

    def start_response(self, status: int, headers: Headers, *, streamed: bool) -> None:
        """Send the response head.

        Parameters
        ----------
        streamed : bool
            Whether the length of the body is unknown, so that it is sent with chunked encoding.
        """
        self._cancel_timer()
        self._response_started = True
        self._has_body = not self._is_head and status not in _STATUSES_WITHOUT_BODY
        all_headers = list(headers)
        if streamed:
            all_headers.append((b"Transfer-Encoding", b"chunked"))
        if self._handler.draining():
            all_headers.append((b"Connection", b"close"))
        self._send(
            h11.Response(
                status_code=status, headers=all_headers, reason=_REASON_PHRASES.get(status, b"")
            )
        )
        self._close_delimited = (
            streamed and self._has_body and self._http.their_http_version == b"1.0"
        )
        if self._close_delimited and not self._closing:
            # The caller would take any orderly close for the end of the response.
            reset_on_close(self.transport, True)

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the response body, unless the response has none."""
        if self._has_body:
            self._send(h11.Data(data=data))

    def end_response(self) -> None:
        """Complete the response, then read the next request or close the connection."""
        self._send(h11.EndOfMessage())
        self._finish_response()

    def send_response(
        self, status: int, headers: Headers, body: bytes, content_length: int | None = None
    ) -> None:
        """Send a complete response.

        Parameters
        ----------
        content_length : int, optional
            Length that a response to HEAD announces, if it is not that of `body`.
        """
        is_announced = self._is_head and content_length is not None
        length = content_length if is_announced else len(body)
        all_headers = list(headers)
        if status not in _STATUSES_WITHOUT_BODY:
            all_headers.append((b"Content-Length", str(length).encode()))
        self.start_response(status, all_headers, streamed=False)
        if body:
            self.send_body(body)
        self.end_response()

    def abort_response(self) -> None:
        """Reset the connection, so that a partial response does not look complete."""
        self._busy = False
        self._close(abort=True)

    def register_producer(self, producer: Any) -> None:
        """Apply this connection's backpressure to a producer."""
        self.unregister_producer()
        if self.transport is not None and not self._closing:
            self._has_producer = True
            self._transport.registerProducer(producer, True)

    def unregister_producer(self) -> None:
        """Stop applying backpressure to the producer."""
        if self._has_producer:
            self._has_producer = False
            self._transport.unregisterProducer()

    @property
    def _transport(self) -> Any:
        return self.transport

    def _new_http_connection(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._handler.limits().max_header_bytes
        )

    def _send(self, event: Any) -> None:
        if self._closing:
            return
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            _log.error("a response cannot be written", extra={"why": str(error)})
            self.unregister_producer()
            self.abort_response()
            return
        if data:
            self._transport.write(data)
            self._memory.written(self._holding, len(data))

    def _pause_reading(self) -> None:
        self._transport.pauseProducing()
        self._memory.paused(self._holding, True)

    def _resume_reading(self) -> None:
        self._memory.paused(self._holding, False)
        self._transport.resumeProducing()

    def _process_events(self) -> None:
        """Process parser events until a request is complete or more bytes are needed."""
        limits = self._handler.limits()
        chunks_before = self._chunks
        while not self._closing and not self._busy and not self._awaits_grant:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
                return
            match event:
                case h11.NEED_DATA:
                    self._wait_for_data(limits)
                    return
                case h11.PAUSED:
                    return
                case h11.Request():
                    self._reading_head = False
                    self._head = event
                    self._body = bytearray()
                    self._chunks = chunks_before = 0
                    self._is_slow = len(event.headers) > _MAX_FIELDS_PER_TURN
                    self._body_wire_bytes = 0
                    self._granted_bytes = FREE_BODY_BYTES
                    self._memory.request_began(self._holding)
                    rejection = _validate_head(event, limits)
                    if rejection is not None:
                        self._reject(*rejection)
                        return
                    self._request_grant(_content_length(event))
                case h11.Data(data=data):
                    self._body += data
                    self._chunks += 1
                    if self._chunks > _MAX_SMALL_CHUNKS + len(self._body) // _MIN_CHUNK_BYTES:
                        self._reject(400, f"the body has {self._chunks} chunks of a few bytes")
                        return
                    if len(self._body) > limits.max_body_bytes:
                        self._reject(413, f"the body exceeds {limits.max_body_bytes} bytes")
                        return
                    if self._body_wire_bytes > _MAX_FRAMING_BYTES + len(self._body) * (
                        1 + _MAX_FRAMING_FRACTION
                    ):
                        self._reject(400, "the body has more framing than content")
                        return
                    if len(self._body) > self._granted_bytes:
                        # The length is not announced.
                        is_small = len(self._body) <= SMALL_BODY_BYTES
                        self._request_grant(SMALL_BODY_BYTES if is_small else limits.max_body_bytes)
                    chunks_in_turn = self._chunks - chunks_before
                    if self._chunks > _MAX_SMALL_CHUNKS and chunks_in_turn >= _MAX_CHUNKS_PER_TURN:
                        self._yield()
                        return
                case h11.EndOfMessage():
                    self._handle_request()
                    return
                case h11.ConnectionClosed():
                    self._close()
                    return

    def _handle_request(self) -> None:
        head, body = self._head, bytes(self._body)
        self._head, self._body = None, bytearray()
        self._busy = True
        self._is_slow = self._is_slow or self._chunks > _MAX_CHUNKS_PER_TURN
        self._memory.request_complete(self._holding)
        self._cancel_timer()
        if head is not None:
            self._is_head = head.method == b"HEAD"
            self._handler.handle(self, head, body)

    def _request_grant(self, size: int) -> None:
        """Ask for the memory of a body, and read nothing more until it is granted."""
        if size <= self._granted_bytes:
            return
        self._granted_bytes = size
        match self._memory.grant(self._holding, size):
            case GrantResult.WAITING:
                self._awaits_grant = True
                # The wait has a bound of its own.
                self._cancel_timer()
                self._pause_reading()
            case GrantResult.REFUSED:
                self._reject(503, "too many large bodies are received now")
            case GrantResult.GRANTED:
                pass

    def _wait_for_data(self, limits: CallerLimits) -> None:
        if self._head is not None:
            if self._http.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            # Bounds the time between two chunks of the body.
            self._start_timer(limits.idle_timeout_ms)
        elif self._http.trailing_data[0]:
            if not self._reading_head:
                self._reading_head = True
                self._start_timer(limits.header_timeout_ms)
        else:
            self._start_timer(limits.idle_timeout_ms)

    def _finish_response(self) -> None:
        self._busy = False
        self._response_started = False
        if self._closing:
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._start_timer(self._handler.limits().idle_timeout_ms)
            self._memory.request_ended(self._holding, len(self._http.trailing_data[0]))
            self._await_written()
        else:
            self._memory.discarded(self._holding)
            self._close()

    def _await_written(self) -> None:
        """Process the next request once the kernel has taken the whole response."""
        self.unregister_producer()
        self._awaits_write = True
        self._unsent_bytes = self.unsent_bytes()
        self._has_producer = True
        self._transport.registerProducer(_WrittenObserver(self), False)

    def response_written(self) -> None:
        """Process the next request; called when the transport may have written the response."""
        if not self._awaits_write or self.unsent_bytes():
            return
        self._awaits_write = False
        self.unregister_producer()
        if self._closing:
            return
        if self._is_slow and self._http.trailing_data[0]:
            self._yield()
            return
        self._resume_reading()
        self._process_events()

    def _yield(self) -> None:
        """Go on after the other callers whose bytes take long to parse."""
        if self._awaits_grant or self._closing:
            return
        self._is_yielding = True
        self._pause_reading()
        self._handler.pacer.enqueue(self)

    def run(self) -> None:
        """Go on with the bytes that have arrived; called by the pacer."""
        self._is_yielding = False
        if not self._closing:
            self._resume_reading()
            self._process_events()

    def _discard_received(self) -> None:
        """Free what has been received, as the closed connection may be referred to for a while."""
        self._head, self._body = None, bytearray()
        self._awaits_grant = False
        if not self._busy:
            self._http = self._new_http_connection()

    def _reject(self, status: int, reason: str) -> None:
        """Send an error response to an invalid request and close; nothing was forwarded."""
        self._handler.request_rejected(status, reason)
        self._head, self._body = None, bytearray()
        self._awaits_grant = False
        self._memory.discarded(self._holding)
        if not self._response_started and self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = f"{reason}\n".encode()
            headers = [
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ]
            if status == 503:
                headers.append((b"Retry-After", _FULL_RETRY_AFTER))
            self._send(
                h11.Response(
                    status_code=status, headers=headers, reason=_REASON_PHRASES.get(status, b"")
                )
            )
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        self._close()

    def _start_timer(self, delay_ms: int) -> None:
        self._cancel_timer()
        self._timer = self._reactor.callLater(delay_ms / 1000, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self._busy:
            return
        if self._head is not None or self._reading_head:
            self._reject(408, "the request did not arrive in time")
        elif self._awaits_write and self.unsent_bytes() < self._unsent_bytes:
            # The caller reads the response, if slowly.
            self._unsent_bytes = self.unsent_bytes()
            self._start_timer(self._handler.limits().idle_timeout_ms)
        else:
            self._close()

    def _close(self, *, abort: bool = False) -> None:
        if self._closing or self.transport is None:
            return
        self._closing = True
        self._cancel_timer()
        self.unregister_producer()
        if abort:
            self._transport.abortConnection()
            return
        if self._close_delimited:
            close_when_written(self._transport)
        else:
            self._transport.loseConnection()
        # A caller that does not read would otherwise keep the connection open indefinitely.
        self._close_timer = self._reactor.callLater(_CLOSE_TIMEOUT_S, self._abort_if_open)

    def _abort_if_open(self) -> None:
        if self.transport is not None and not getattr(self._transport, "disconnected", True):
            self._transport.abortConnection()


class _WrittenObserver:
    """A pull producer, which the transport asks for more when it has written all."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection

    def resumeProducing(self) -> None:  # noqa: N802
        """Tell the connection; called by Twisted at the registration too."""
        self._connection.response_written()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection was lost."""


class CallerConnectionFactory(Factory):
    """Creates a `CallerConnection` for each accepted connection, up to the bound of connections."""

    noisy = False

    def __init__(self, handler: RequestHandler, reactor: Any) -> None:
        self._handler = handler
        self._reactor = reactor

    def buildProtocol(self, addr: Any) -> CallerConnection | None:  # noqa: N802
        """Create the protocol of a new connection; called by Twisted, which closes it for None."""
        if not self._handler.memory.may_accept():
            return None
        return CallerConnection(self._handler, self._reactor)


def _content_length(head: h11.Request) -> int:
    """Return the announced length of the body, 0 if there is none."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


def _validate_head(head: h11.Request, limits: CallerLimits) -> tuple[int, str] | None:
    """Return error status and reason if the head is too large, ambiguous or not supported."""
    size = sum(len(name) + len(value) + len(b": \r\n") for name, value in head.headers)
    if size + len(head.target) > limits.max_header_bytes:
        # The parser enforces its limit only on a head that arrives in several reads.
        return 431, f"the header exceeds {limits.max_header_bytes} bytes"
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # Intermediaries may disagree on the end of such a request (request smuggling).
        return 400, "both Transfer-Encoding and Content-Length are set"
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            return 413, f"the body exceeds {limits.max_body_bytes} bytes"
    if not head.target.startswith(b"/"):
        return 400, f"the target {head.target!r} is not a path"
    return None
