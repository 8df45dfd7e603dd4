"""The upstream's side: HTTP/1.1 connections and a pool of them for each upstream."""

from typing import Any
from typing import Protocol as Interface

import h11
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_gateway.messages import Headers
from skylarkmoor_gateway.sockets import tune

__all__ = ["AnswerReader", "UpstreamConnection", "UpstreamPool"]

# A connection takes some milliseconds; an upstream that drops the opening packet because its
# queue is full is not worth waiting for.
_CONNECT_TIMEOUT_S = 1.0
# Upstreams that name no time close idle connections after a few seconds.
_IDLE_MS = 4_000
# Part of the named time after which a connection is not used again, so that no request meets
# the upstream's close.
_IDLE_PART = 0.5
# Idle connections kept for one upstream.
_MAX_IDLE = 32
# Upstreams send a few hundred bytes of headers; more comes from a faulty one.
_MAX_HEAD_BYTES = 65_536


class AnswerReader(Interface):
    """Takes what an upstream answers to one request."""

    def answer_head(self, status: int, headers: Headers) -> None:
        """Take the head."""

    def answer_data(self, data: bytes) -> None:
        """Take a part of the body."""

    def answer_end(self) -> None:
        """Take the end of a whole answer."""

    def answer_broken(self, why: str) -> None:
        """Take the end of a connection before the answer was whole."""


class UpstreamConnection(Protocol):
    """A connection to an upstream that carries one request at a time."""

    def __init__(self, pool: "UpstreamPool") -> None:
        self._pool = pool
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._reader: AnswerReader | None = None
        self.idle_since_ms = 0
        self.idle_limit_ms = _IDLE_MS
        self._open = False

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return self._open and self._reader is None and self._http.our_state is h11.IDLE

    def connectionMade(self) -> None:  # noqa: N802
        """Begin; Twisted calls this when the connection is open."""
        self._open = True
        tune(self.transport)

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, reader: AnswerReader
    ) -> None:
        """Send a request; the reader gets exactly one end."""
        self._reader = reader
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes."""
        if self._reader is None:
            # Bytes that answer no request.
            self.drop()
            return
        try:
            self._http.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as error:
            self._broken(f"not an HTTP answer: {error}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Take the end of the connection."""
        self._open = False
        self._pool.forget(self)
        if self._reader is None:
            return
        if isinstance(reason.value, ConnectionDone):
            # Only an orderly close can end an answer without a length.
            try:
                self._http.receive_data(b"")
                self._advance()
            except h11.RemoteProtocolError as error:
                self._broken(f"closed: {error}")
                return
            self._broken("closed before an answer")
        else:
            self._broken(f"lost: {reason.getErrorMessage()}")

    def drop(self) -> None:
        """Close the connection; an answer still due is not wanted any more."""
        self._reader = None
        self._open = False
        self._pool.forget(self)
        if self.transport is not None:
            self._transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading while the caller is slow."""
        if self._open:
            self._transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        if self._open:
            self._transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the caller's end is reported to its request."""

    @property
    def _transport(self) -> Any:
        return self.transport

    def _advance(self) -> None:
        while self._reader is not None:
            event = self._http.next_event()
            match event:
                case h11.NEED_DATA | h11.PAUSED:
                    return
                case h11.Response():
                    self._reader.answer_head(event.status_code, list(event.headers.raw_items()))
                case h11.Data(data=data):
                    self._reader.answer_data(bytes(data))
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.ConnectionClosed():
                    self._broken("closed before an answer")
                    return

    def _complete(self) -> None:
        reader, self._reader = self._reader, None
        reusable = (
            self._open
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if reusable:
            self._http.start_next_cycle()
            self._pool.keep(self)
        else:
            self.drop()
        if reader is not None:
            reader.answer_end()

    def _broken(self, why: str) -> None:
        reader, self._reader = self._reader, None
        self.drop()
        if reader is not None:
            reader.answer_broken(why)


class _UpstreamFactory(Factory):
    noisy = False

    def __init__(self, pool: "UpstreamPool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> UpstreamConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return UpstreamConnection(self._pool)


class UpstreamPool:
    """Connections to one upstream.

    Parameters
    ----------
    reactor : reactor
        Twisted's reactor.
    clock : Clock
        Source of times.
    address : tuple of (str, int)
        Where the upstream listens.
    """

    def __init__(self, reactor: Any, clock: Clock, address: tuple[str, int]) -> None:
        self.address = address
        self.opened = 0
        self._reactor = reactor
        self._clock = clock
        self._idle: list[UpstreamConnection] = []
        self._endpoint: Any = TCP4ClientEndpoint(
            reactor, address[0], address[1], timeout=_CONNECT_TIMEOUT_S
        )

    def take(self, max_idle_ms: int | None = None) -> UpstreamConnection | None:
        """Return an idle connection, the one used last first; None if there is none.

        Parameters
        ----------
        max_idle_ms : int, optional
            Tighter bound on how long the connection was idle.
        """
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle.pop()
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.usable or idle_ms > connection.idle_limit_ms:
                connection.drop()
            elif max_idle_ms is not None and idle_ms > max_idle_ms:
                self._idle.append(connection)
                return None
            else:
                return connection
        return None

    def connect(self) -> "Deferred[UpstreamConnection]":
        """Open a new connection; the result fails with the connection's error."""
        self.opened += 1
        connecting: Deferred[UpstreamConnection] = self._endpoint.connect(_UpstreamFactory(self))
        return connecting

    def keep(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer is complete."""
        connection.idle_since_ms = self._clock.now_ms()
        if len(self._idle) >= _MAX_IDLE:
            connection.drop()
        else:
            self._idle.append(connection)

    def note_keep_alive(self, connection: UpstreamConnection, keep_alive_ms: int) -> None:
        """Take the time for which the upstream keeps an idle connection."""
        connection.idle_limit_ms = int(keep_alive_ms * _IDLE_PART)

    def forget(self, connection: UpstreamConnection) -> None:
        """Drop a connection that has ended from the idle ones."""
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        now_ms = self._clock.now_ms()
        for connection in list(self._idle):
            if now_ms - connection.idle_since_ms > connection.idle_limit_ms:
                connection.drop()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.drop()
