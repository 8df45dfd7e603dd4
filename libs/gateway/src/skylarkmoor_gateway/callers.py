"""The caller's side: HTTP/1.1 connections that carry one request at a time."""

from typing import Any
from typing import Protocol as Interface

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from skylarkmoor_gateway.messages import Headers
from skylarkmoor_gateway.sockets import tune
from skylarkmoor_policy.routetable import CallerLimits

__all__ = ["CallerConnection", "CallerFactory", "RequestSink"]

# Longest wait for a caller to take in the end of an answer before its connection is dropped.
_LINGER_S = 5.0

_REASONS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RequestSink(Interface):
    """Takes whole requests; the gateway."""

    def limits(self) -> CallerLimits:
        """Return the bounds on callers in force."""

    def draining(self) -> bool:
        """Return whether connections are to be closed after their answer."""

    def handle(self, caller: "CallerConnection", request: h11.Request, body: bytes) -> None:
        """Take a request; exactly one answer is due on the connection."""

    def opened(self, caller: "CallerConnection") -> None:
        """Note a new connection."""

    def closed(self, caller: "CallerConnection") -> None:
        """Note the end of a connection."""

    def rejected(self, status: int, why: str) -> None:
        """Note a request that was refused before it was whole."""


class CallerConnection(Protocol):
    """One connection of a caller.

    Notes
    -----
    A request is read whole before it is handled, so that it can be sent again. What a caller
    sends beyond it stays unread until the answer is complete.
    """

    def __init__(self, sink: RequestSink, reactor: Any) -> None:
        self._sink = sink
        self._reactor = reactor
        self._http: h11.Connection = self._new_http()
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._busy = False
        self._answering = False
        self._closing = False
        self._producing = False
        self._timer: Any = None
        self._reading_head = False

    @property
    def busy(self) -> bool:
        """Whether a request is being handled."""
        return self._busy

    def connectionMade(self) -> None:  # noqa: N802
        """Begin; Twisted calls this when the connection is open."""
        tune(self.transport)
        self._sink.opened(self)
        self._arm(self._sink.limits().idle_timeout_ms)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes."""
        if self._closing:
            return
        try:
            self._http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._reject(400, f"unexpected bytes: {error}")
            return
        if self._busy:
            # A pipelined request waits, within the same bound as any header.
            if len(self._http.trailing_data[0]) > self._sink.limits().max_header_bytes:
                self._transport.pauseProducing()
            return
        self._advance()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Take the end of the connection."""
        self._disarm()
        self._closing = True
        self._busy = False
        self._sink.closed(self)

    def close_when_idle(self) -> None:
        """Close the connection now if no request is in it."""
        if not self._busy and self._head is None and not self._reading_head:
            self._close()

    def start_answer(self, status: int, headers: Headers, *, streamed: bool) -> None:
        """Send the head of an answer.

        Parameters
        ----------
        streamed : bool
            Whether the body follows in pieces of unknown total length.
        """
        self._disarm()
        self._answering = True
        sent = list(headers)
        if streamed:
            sent.append((b"Transfer-Encoding", b"chunked"))
        if self._sink.draining():
            sent.append((b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=sent, reason=_REASONS.get(status, b"")))

    def send_body(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        self._send(h11.Data(data=data))

    def end_answer(self) -> None:
        """Complete the answer and read on, or close if the connection is not kept."""
        self._send(h11.EndOfMessage())
        self._finished()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        framing = (b"Content-Length", str(len(body)).encode())
        self.start_answer(status, [*headers, framing], streamed=False)
        if body:
            self.send_body(body)
        self.end_answer()

    def break_off(self) -> None:
        """Reset the connection, so that an answer that is not whole does not look complete."""
        self._busy = False
        self._close(abort=True)

    def pause_for(self, producer: Any) -> None:
        """Let this connection's congestion pause and resume a producer."""
        self.unpause()
        if self.transport is not None and not self._closing:
            self._producing = True
            self._transport.registerProducer(producer, True)

    def unpause(self) -> None:
        """Drop the producer."""
        if self._producing:
            self._producing = False
            self._transport.unregisterProducer()

    @property
    def _transport(self) -> Any:
        return self.transport

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._sink.limits().max_header_bytes
        )

    def _send(self, event: Any) -> None:
        if self._closing:
            return
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _advance(self) -> None:
        """Read events until a request is whole or more bytes are needed."""
        limits = self._sink.limits()
        while not self._closing and not self._busy:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
                return
            match event:
                case h11.NEED_DATA:
                    self._await_data(limits)
                    return
                case h11.PAUSED:
                    return
                case h11.Request():
                    self._reading_head = False
                    self._head = event
                    self._body = bytearray()
                    fault = _framing_fault(event, limits)
                    if fault is not None:
                        self._reject(*fault)
                        return
                case h11.Data(data=data):
                    self._body += data
                    if len(self._body) > limits.max_body_bytes:
                        self._reject(413, f"the body exceeds {limits.max_body_bytes} bytes")
                        return
                case h11.EndOfMessage():
                    self._whole()
                    return
                case h11.ConnectionClosed():
                    self._close()
                    return

    def _whole(self) -> None:
        head, body = self._head, bytes(self._body)
        self._head, self._body = None, bytearray()
        self._busy = True
        self._disarm()
        if head is not None:
            self._sink.handle(self, head, body)

    def _await_data(self, limits: CallerLimits) -> None:
        if self._head is not None:
            if self._http.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            # Time between two pieces of a body.
            self._arm(limits.idle_timeout_ms)
        elif self._http.trailing_data[0]:
            if not self._reading_head:
                self._reading_head = True
                self._arm(limits.header_timeout_ms)
        else:
            self._arm(limits.idle_timeout_ms)

    def _finished(self) -> None:
        self._busy = False
        self._answering = False
        if self._closing:
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._transport.resumeProducing()
            self._arm(self._sink.limits().idle_timeout_ms)
            self._advance()
        else:
            self._close()

    def _reject(self, status: int, why: str) -> None:
        """Answer a faulty request and close; it was not forwarded."""
        self._sink.rejected(status, why)
        self._head = None
        if not self._answering and self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = f"{why}\n".encode()
            headers = [
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ]
            self._send(h11.Response(status_code=status, headers=headers, reason=_REASONS[status]))
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        self._close()

    def _arm(self, delay_ms: int) -> None:
        self._disarm()
        self._timer = self._reactor.callLater(delay_ms / 1000, self._expired)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _expired(self) -> None:
        self._timer = None
        if self._busy:
            return
        if self._head is not None or self._reading_head:
            self._reject(408, "the request did not arrive in time")
        else:
            self._close()

    def _close(self, *, abort: bool = False) -> None:
        if self._closing or self.transport is None:
            return
        self._closing = True
        self._disarm()
        self.unpause()
        if abort:
            self._transport.abortConnection()
            return
        self._transport.loseConnection()
        # A peer that reads nothing would keep the connection for ever.
        self._reactor.callLater(_LINGER_S, self._abort_if_open)

    def _abort_if_open(self) -> None:
        if self.transport is not None and not getattr(self._transport, "disconnected", True):
            self._transport.abortConnection()


class CallerFactory(Factory):
    """Makes a protocol for each connection of a caller."""

    noisy = False

    def __init__(self, sink: RequestSink, reactor: Any) -> None:
        self._sink = sink
        self._reactor = reactor

    def buildProtocol(self, addr: Any) -> CallerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerConnection(self._sink, self._reactor)


def _framing_fault(head: h11.Request, limits: CallerLimits) -> tuple[int, str] | None:
    """Return status and reason if a request's framing is ambiguous or it is too large."""
    size = sum(len(name) + len(value) + len(b": \r\n") for name, value in head.headers)
    if size + len(head.target) > limits.max_header_bytes:
        # The parser bounds only a header that arrives in pieces.
        return 431, f"the header exceeds {limits.max_header_bytes} bytes"
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # Two readers of such a request may disagree on where it ends.
        return 400, "both Transfer-Encoding and Content-Length are set"
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            return 413, f"the body exceeds {limits.max_body_bytes} bytes"
    if not head.target.startswith(b"/"):
        return 400, f"the target {head.target!r} is not a path"
    return None
