"""Connections to upstreams through a peer, by the CONNECT method of HTTP (RFC 9110, 9.3.6).

A gateway that has lost its path to an upstream sends its requests over such connections. The peer
passes bytes on and decides nothing: admission, slots, retries and the reading of answers stay with
the gateway that has the caller. It connects to listed upstreams only, so that a connection passes
one peer at most.

An upstream may end an answer by closing its connection. The kernel of a peer closes a tunnel in the
same way when the peer is killed, so the bytes of the upstream are sent in frames, each after its
length in four bytes, and an empty frame says that the upstream has closed. Both sides announce in
a header that they use frames. A side of an older build does not: its tunnel passes the bytes as
they are, a gateway then takes no close for the end of an answer, and a peer has the kernel reset
the tunnel if its process ends.

A close of the upstream ends an answer only if the upstream can have read the whole request. The
peer resets the tunnel if it still holds bytes of the request then, and so does the gateway.
"""

import struct
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionLost
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from skylarkmoor_core.errors import SettingsError
from skylarkmoor_core.ids import UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.settings import Address, parse_address
from skylarkmoor_core.tcpoptions import (
    close_when_written,
    configure_socket,
    count_unread,
    find_sending_fault,
    limit_kernel_buffers,
    reset_on_close,
    unsent_bytes,
)

__all__ = ["CONNECT_TIMEOUT_S", "TunnelEndpoint", "TunnelRefused", "TunnelServerFactory"]

# Connecting normally takes a few milliseconds. A SYN that is lost, or that a full accept queue
# drops, is sent again only after a second.
CONNECT_TIMEOUT_S = 0.4
# Time for the peer to connect to the upstream and to answer.
_TUNNEL_TIMEOUT_S = 2 * CONNECT_TIMEOUT_S
# Time for a peer to send its request after it has connected.
_REQUEST_TIMEOUT_S = 5.0
_MAX_HEAD_BYTES = 8_192
_DEFAULT_MAX_TUNNELS = 1_000
# Connections beyond the bound of tunnels, which are told so.
_REFUSING_TUNNELS = 8
_UPSTREAM_HEADER = b"skylarkmoor-upstream"
# Set by both sides if the bytes of the upstream are sent in frames.
_FRAMES_HEADER = (b"skylarkmoor-tunnel-frames", b"1")
# A frame holds what one read of the socket returns, which is at most 64 KiB.
_MAX_FRAME_BYTES = 1_048_576
_FRAME_LENGTH = struct.Struct("!I")
_END_FRAME = _FRAME_LENGTH.pack(0)
# Bytes for an upstream that a peer holds before it stops reading from the gateway. The buffer of
# Twisted's transports has the same bound.
_MAX_HELD_BYTES = 65_536
_BAD_REQUEST = 400
_UNKNOWN_UPSTREAM = 404
# The upstream has refused the connection.
_REFUSED = 502
_TOO_MANY = 503
_TIMED_OUT = 504

_log = part_logger("tunnels")


class TunnelRefused(ConnectError):
    """The peer was reached but has not connected to the upstream.

    Attributes
    ----------
    by_upstream : bool
        Whether the upstream has refused the connection.
    """

    def __init__(self, status: int) -> None:
        super().__init__(None, f"the peer answered {status}")  # type: ignore[no-untyped-call]
        self.by_upstream = status == _REFUSED


class TunnelEndpoint:
    """Connects to an upstream through a peer.

    Parameters
    ----------
    reactor : reactor
        Twisted's reactor.
    peer : Address
        Where the peer accepts tunnels.
    upstream : UpstreamId
        The upstream, which the peer has to know.
    address : tuple of (str, int)
        Address of the upstream.
    """

    def __init__(
        self, reactor: Any, peer: Address, upstream: UpstreamId, address: tuple[str, int]
    ) -> None:
        self._reactor = reactor
        self._peer = peer
        self._upstream = upstream
        self._address = address

    def connect(self, factory: Any) -> "Deferred[Any]":
        """Return a deferred that fires with the protocol, connected to the upstream.

        Notes
        -----
        It fails with `TunnelRefused` if the peer was reached.
        """
        client = _TunnelClient(self._reactor, factory, self._upstream, self._address)
        endpoint: Any = TCP4ClientEndpoint(
            self._reactor, self._peer.host, self._peer.port, timeout=CONNECT_TIMEOUT_S
        )
        connecting: Deferred[Any] = endpoint.connect(_OneProtocolFactory(client))
        return connecting.addCallback(lambda _: client.done)


class _OneProtocolFactory(Factory):
    noisy = False

    def __init__(self, protocol: Protocol) -> None:
        self._protocol = protocol

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        return self._protocol


class _TunnelClient(Protocol):
    """Asks a peer for a tunnel, and then passes all events on to the protocol inside it."""

    def __init__(
        self, reactor: Any, factory: Any, upstream: UpstreamId, address: tuple[str, int]
    ) -> None:
        self.done: Deferred[Any] = Deferred()
        self._reactor = reactor
        self._factory = factory
        self._upstream = upstream
        self._target = f"{address[0]}:{address[1]}".encode()
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._inner: Any = None
        # None if the bytes of the upstream arrive as they are.
        self._frames: _FrameReader | None = None
        self._is_ended = False
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        configure_socket(self.transport)
        head = h11.Request(
            method=b"CONNECT",
            target=self._target,
            headers=[
                (b"Host", self._target),
                (_UPSTREAM_HEADER, self._upstream.encode()),
                _FRAMES_HEADER,
            ],
        )
        data = (self._http.send(head) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(data)
        self._timer = self._reactor.callLater(_TUNNEL_TIMEOUT_S, self._fail, _TIMED_OUT)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._inner is not None:
            self._pass_on(data)
            return
        if self.done.called:
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            self._fail(_BAD_REQUEST)
            return
        if event is h11.NEED_DATA:
            return
        if not isinstance(event, h11.Response):
            self._fail(_BAD_REQUEST)
            return
        if event.status_code != 200:
            self._fail(event.status_code)
            return
        self._timer.cancel()
        self._inner = self._factory.buildProtocol(None)
        if _FRAMES_HEADER in event.headers:
            self._frames = _FrameReader(self._inner.dataReceived, self._upstream_closed)
        self._inner.makeConnection(self.transport)
        self.done.callback(self._inner)
        early = self._http.trailing_data[0]
        if early:
            self._pass_on(early)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self._inner is not None:
            if isinstance(reason.value, ConnectionDone):
                # The peer has closed, which says nothing of the upstream.
                reason = _lost("the tunnel was closed")
            self._end(reason)
        elif not self.done.called:
            self._timer.cancel()
            error = ConnectError(string=reason.getErrorMessage())  # type: ignore[no-untyped-call]
            self.done.errback(Failure(error))  # type: ignore[no-untyped-call]

    def _pass_on(self, data: bytes) -> None:
        if self._is_ended:
            return
        if self._frames is None:
            self._inner.dataReceived(data)
            return
        self._frames.dataReceived(data)  # type: ignore[no-untyped-call]
        if self._frames.is_invalid:
            self._transport.abortConnection()

    def _upstream_closed(self) -> None:
        fault = find_sending_fault(self.transport)
        self._end(connectionDone if fault is None else _lost(f"the upstream closed: {fault}"))
        self._transport.abortConnection()

    def _end(self, reason: Failure) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._inner.connectionLost(reason)

    def _fail(self, status: int) -> None:
        if self._timer.active():
            self._timer.cancel()
        self._transport.abortConnection()
        if not self.done.called:
            self.done.errback(Failure(TunnelRefused(status)))  # type: ignore[no-untyped-call]

    @property
    def _transport(self) -> Any:
        return self.transport


def _lost(reason: str) -> Failure:
    return Failure(ConnectionLost(reason))  # type: ignore[no-untyped-call]


class _FrameReader(Int32StringReceiver):
    """Reads the frames of a tunnel.

    Attributes
    ----------
    is_invalid : bool
        Whether the peer has announced a frame that is too long.
    """

    MAX_LENGTH = _MAX_FRAME_BYTES

    def __init__(self, on_data: Callable[[bytes], None], on_end: Callable[[], None]) -> None:
        self.is_invalid = False
        self._on_data = on_data
        self._on_end = on_end
        self._is_ended = False

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Pass a frame on; called by Twisted."""
        if self._is_ended:
            return
        if string:
            self._on_data(string)
        else:
            self._is_ended = True
            self._on_end()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Record that the tunnel cannot be read; called by Twisted."""
        self.is_invalid = True


class TunnelServerFactory(Factory):
    """Accepts tunnels of peers.

    Parameters
    ----------
    reactor : reactor
        Twisted's reactor.
    refusal : callable
        Returns why no connection is made to an upstream at an address, None if it may be made.
    on_connected, on_failed : callable
        Called with the upstream when a connection to it was made or has failed.
    is_closed : callable
        Returns whether an upstream gets no requests, as its failure domain is evacuated.
    max_tunnels : int
        Tunnels at a time; each uses two of the file descriptors of the process.
    kernel_buffer_bytes : int, optional
        Size of the buffers of the kernel; None for its default.

    Attributes
    ----------
    accepted : int
        Tunnels that have been made.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        refusal: Callable[[UpstreamId, Address], str | None],
        on_connected: Callable[[UpstreamId], None],
        on_failed: Callable[[UpstreamId, str], None],
        is_closed: Callable[[UpstreamId], bool] = lambda upstream: False,
        max_tunnels: int = _DEFAULT_MAX_TUNNELS,
        kernel_buffer_bytes: int | None = None,
    ) -> None:
        self.max_tunnels = max_tunnels
        self.kernel_buffer_bytes = kernel_buffer_bytes
        self.reactor = reactor
        self.is_closed = is_closed
        self.refusal = refusal
        self.on_connected = on_connected
        self.on_failed = on_failed
        self.accepted = 0
        self.open_tunnels: set[_TunnelServer] = set()

    def buildProtocol(self, addr: Any) -> "_TunnelServer | None":  # noqa: N802
        """Create the protocol of a new connection; called by Twisted, which closes it for None."""
        if len(self.open_tunnels) >= self.max_tunnels + _REFUSING_TUNNELS:
            return None
        return _TunnelServer(self)

    def held_bytes(self) -> int:
        """Return the bytes of all tunnels that the kernel has not taken yet."""
        return sum(
            unsent_bytes(end)
            for tunnel in self.open_tunnels
            for end in (tunnel.transport, tunnel.far_transport)
            if end is not None
        )

    def close(self) -> None:
        """Reset all tunnels."""
        for tunnel in list(self.open_tunnels):
            transport: Any = tunnel.transport
            transport.abortConnection()


class _TunnelServer(Protocol):
    """The connection of a peer, joined with one to an upstream."""

    def __init__(self, factory: TunnelServerFactory) -> None:
        self._factory = factory
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._far: _FarEnd | None = None
        self._is_asked = False
        self._is_closed = False
        self._upstream: UpstreamId | None = None
        # Whether the next bytes of the peer begin a request, as those before have been answered.
        self._is_between_requests = True
        self._has_frames = False
        self._timer: Any = None

    @property
    def far_transport(self) -> Any:
        """The connection to the upstream, None before it was made."""
        return None if self._far is None else self._far.transport

    def connectionMade(self) -> None:  # noqa: N802
        configure_socket(self.transport)
        limit_kernel_buffers(self._transport.getHandle(), self._factory.kernel_buffer_bytes)
        self._factory.open_tunnels.add(self)
        self._timer = self._factory.reactor.callLater(
            _REQUEST_TIMEOUT_S, self._transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._far is not None:
            self._write_to_upstream(data)
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except (h11.RemoteProtocolError, RuntimeError):
            self._transport.abortConnection()
            return
        if isinstance(event, h11.Request) and not self._is_asked:
            self._is_asked = True
            self._timer.cancel()
            # The peer sends nothing more before it has the answer.
            self._transport.pauseProducing()
            self._handle(event)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self._is_closed = True
        if self._timer.active():
            self._timer.cancel()
        self._factory.open_tunnels.discard(self)
        if self._far is not None:
            # However the peer has ended, it does not wait for the answer any more.
            self._far.abort()

    def write(self, data: bytes) -> None:
        """Pass bytes of the upstream on."""
        self._is_between_requests = True
        if self._has_frames:
            self._transport.write(_FRAME_LENGTH.pack(len(data)))
        self._transport.write(data)

    def count_unread(self) -> int:
        """Return how many bytes of the peer have arrived that were not read yet."""
        return 0 if self._is_closed else count_unread(self.transport)

    def pause(self) -> None:
        """Stop reading from the peer."""
        if not self._is_closed:
            self._transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading from the peer."""
        if not self._is_closed:
            self._transport.resumeProducing()

    def far_end_lost(self, reason: Failure) -> None:
        """Tell the peer in which way the upstream's connection was closed."""
        if self._is_closed:
            return
        self._transport.unregisterProducer()
        if not isinstance(reason.value, ConnectionDone):
            self._transport.abortConnection()
        elif self._has_frames:
            self._transport.write(_END_FRAME)
            self._transport.loseConnection()
        else:
            close_when_written(self._transport)

    def _handle(self, request: h11.Request) -> None:
        names = [value for name, value in request.headers if name == _UPSTREAM_HEADER]
        try:
            address = parse_address(request.target.decode("ascii"))
            upstream = UpstreamId(names[0].decode())
        except (SettingsError, UnicodeDecodeError, IndexError):
            self._refuse(_BAD_REQUEST)
            return
        if request.method != b"CONNECT":
            self._refuse(_BAD_REQUEST)
            return
        if len(self._factory.open_tunnels) > self._factory.max_tunnels:
            self._refuse(_TOO_MANY)
            return
        reason = self._factory.refusal(upstream, address)
        if reason is not None:
            _log.info("refused a tunnel", extra={"upstream": upstream, "why": reason})
            self._refuse(_UNKNOWN_UPSTREAM)
            return
        self._upstream = upstream
        self._has_frames = _FRAMES_HEADER in request.headers
        endpoint: Any = TCP4ClientEndpoint(
            self._factory.reactor, address.host, address.port, timeout=CONNECT_TIMEOUT_S
        )
        connecting: Deferred[_FarEnd] = endpoint.connect(_OneProtocolFactory(_FarEnd(self)))
        connecting.addCallbacks(
            lambda far: self._connected(upstream, far),
            lambda failure: self._not_connected(upstream, failure),
        )

    def _connected(self, upstream: UpstreamId, far: "_FarEnd") -> None:
        self._factory.on_connected(upstream)
        far_transport: Any = far.transport
        limit_kernel_buffers(far_transport.getHandle(), self._factory.kernel_buffer_bytes)
        if self._is_closed:
            far_transport.abortConnection()
            return
        self._factory.accepted += 1
        headers = [_FRAMES_HEADER] if self._has_frames else []
        head = h11.Response(status_code=200, headers=headers)
        self._transport.write(self._http.send(head) or b"")
        if not self._has_frames:
            reset_on_close(self.transport, True)
        self._far = far
        self._transport.resumeProducing()
        far.start()
        self._transport.registerProducer(far_transport, True)
        early = self._http.trailing_data[0]
        if early:
            self._write_to_upstream(early)

    def _write_to_upstream(self, data: bytes) -> None:
        """Pass bytes on, unless they begin a request that must not be sent any more.

        Notes
        -----
        The peer may not have heard of an evacuation. It takes a reset for the loss of the
        connection, so a request that is not idempotent is not repeated.
        """
        if self._is_between_requests and self._upstream and self._factory.is_closed(self._upstream):
            _log.info("reset a tunnel to an evacuated upstream", extra={"upstream": self._upstream})
            self._transport.abortConnection()
            return
        self._is_between_requests = False
        if self._far is not None:
            self._far.write(data)

    def _not_connected(self, upstream: UpstreamId, failure: Failure) -> None:
        self._factory.on_failed(upstream, failure.getErrorMessage())
        if not self._is_closed:
            self._refuse(_REFUSED if isinstance(failure.value, RefusedError) else _TIMED_OUT)

    def _refuse(self, status: int) -> None:
        head = h11.Response(status_code=status, headers=[(b"Content-Length", b"0")])
        self._transport.write(self._http.send(head) or b"")
        self._transport.loseConnection()

    @property
    def _transport(self) -> Any:
        return self.transport


@implementer(IHalfCloseableProtocol)
class _FarEnd(Protocol):
    """The connection to the upstream, and the pull producer of the bytes that are sent there.

    Notes
    -----
    A pull producer is told when the transport holds nothing; see `RequestWriter`.
    """

    def __init__(self, near: _TunnelServer) -> None:
        self._near = near
        # Bytes that were written since the transport held nothing.
        self._held_bytes = 0
        self._is_near_paused = False
        # What the upstream cannot have read of the request when it closed the connection.
        self._sending_fault: str | None = None

    def connectionMade(self) -> None:  # noqa: N802
        configure_socket(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._near.write(data)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Look for bytes of the request that the upstream has not read; called by Twisted."""
        held_bytes = self._held_bytes + self._near.count_unread()
        if held_bytes:
            self._sending_fault = f"{held_bytes} bytes were not passed on"
        else:
            self._sending_fault = find_sending_fault(self.transport)
        self._transport.connectionLost(connectionDone)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing; neither side closes one direction only."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self._sending_fault is not None:
            _log.info("reset a tunnel: the upstream closed", extra={"why": self._sending_fault})
            reason = _lost(self._sending_fault)
        self._near.far_end_lost(reason)

    def start(self) -> None:
        """Begin to pass bytes on."""
        self._transport.registerProducer(self, False)

    def write(self, data: bytes) -> None:
        """Pass bytes of the peer on."""
        self._held_bytes += len(data)
        self._transport.write(data)
        if self._held_bytes > _MAX_HELD_BYTES and not self._is_near_paused:
            self._is_near_paused = True
            self._near.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on from the peer, as the transport holds nothing; called by Twisted."""
        self._held_bytes = 0
        if self._is_near_paused:
            self._is_near_paused = False
            self._near.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection was lost."""

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.unregisterProducer()
        self._transport.abortConnection()

    @property
    def _transport(self) -> Any:
        return self.transport
