"""Connections to upstreams through a peer, by the CONNECT method of HTTP (RFC 9110, 9.3.6).

A gateway that has lost its path to an upstream sends its requests over such connections. The peer
passes bytes on and decides nothing: admission, slots, retries and the reading of answers stay with
the gateway that has the caller. It connects to listed upstreams only, so that a connection passes
one peer at most.
"""

from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectionDone
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from skylarkmoor_core.errors import SettingsError
from skylarkmoor_core.ids import UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.settings import Address, parse_address
from skylarkmoor_core.tcpoptions import configure_socket

__all__ = ["CONNECT_TIMEOUT_S", "TunnelEndpoint", "TunnelRefused", "TunnelServerFactory"]

# Connecting normally takes a few milliseconds. A SYN that is lost, or that a full accept queue
# drops, is sent again only after a second.
CONNECT_TIMEOUT_S = 0.4
# Time for the peer to connect to the upstream and to answer.
_TUNNEL_TIMEOUT_S = 2 * CONNECT_TIMEOUT_S
# Time for a peer to send its request after it has connected.
_REQUEST_TIMEOUT_S = 5.0
_MAX_HEAD_BYTES = 8_192
# Each uses two of the file descriptors of the process.
_MAX_TUNNELS = 1_000
_UPSTREAM_HEADER = b"skylarkmoor-upstream"
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
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        configure_socket(self.transport)
        head = h11.Request(
            method=b"CONNECT",
            target=self._target,
            headers=[(b"Host", self._target), (_UPSTREAM_HEADER, self._upstream.encode())],
        )
        data = (self._http.send(head) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(data)
        self._timer = self._reactor.callLater(_TUNNEL_TIMEOUT_S, self._fail, _TIMED_OUT)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._inner is not None:
            self._inner.dataReceived(data)
            return
        if self.done.called:
            return
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            self._fail(_BAD_REQUEST)
            return
        if not isinstance(event, h11.Response):
            return
        if event.status_code != 200:
            self._fail(event.status_code)
            return
        self._timer.cancel()
        self._inner = self._factory.buildProtocol(None)
        self._inner.makeConnection(self.transport)
        self.done.callback(self._inner)
        early = self._http.trailing_data[0]
        if early:
            self._inner.dataReceived(early)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self._inner is not None:
            self._inner.connectionLost(reason)
        elif not self.done.called:
            self._timer.cancel()
            error = ConnectError(string=reason.getErrorMessage())  # type: ignore[no-untyped-call]
            self.done.errback(Failure(error))  # type: ignore[no-untyped-call]

    def _fail(self, status: int) -> None:
        if self._timer.active():
            self._timer.cancel()
        self._transport.abortConnection()
        if not self.done.called:
            self.done.errback(Failure(TunnelRefused(status)))  # type: ignore[no-untyped-call]

    @property
    def _transport(self) -> Any:
        return self.transport


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
    ) -> None:
        self.reactor = reactor
        self.refusal = refusal
        self.on_connected = on_connected
        self.on_failed = on_failed
        self.accepted = 0
        self.open_tunnels: set[Protocol] = set()

    def buildProtocol(self, addr: Any) -> "_TunnelServer":  # noqa: N802
        """Create the protocol of a new connection; called by Twisted."""
        return _TunnelServer(self)

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
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        configure_socket(self.transport)
        self._factory.open_tunnels.add(self)
        self._timer = self._factory.reactor.callLater(
            _REQUEST_TIMEOUT_S, self._transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._far is not None:
            self._far.write(data)
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
            self._handle(event)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self._is_closed = True
        if self._timer.active():
            self._timer.cancel()
        self._factory.open_tunnels.discard(self)
        if self._far is not None:
            _close_other(self._far.transport, reason)

    def write(self, data: bytes) -> None:
        """Pass bytes of the upstream on."""
        self._transport.write(data)

    def far_end_lost(self, reason: Failure) -> None:
        """Close the connection of the peer in the way in which the upstream's was closed."""
        if not self._is_closed:
            _close_other(self.transport, reason)

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
        if len(self._factory.open_tunnels) > _MAX_TUNNELS:
            self._refuse(_TOO_MANY)
            return
        reason = self._factory.refusal(upstream, address)
        if reason is not None:
            _log.info("refused a tunnel", extra={"upstream": upstream, "why": reason})
            self._refuse(_UNKNOWN_UPSTREAM)
            return
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
        if self._is_closed:
            far_transport.abortConnection()
            return
        self._factory.accepted += 1
        self._transport.write(self._http.send(h11.Response(status_code=200, headers=[])) or b"")
        self._far = far
        far_transport.registerProducer(self.transport, True)
        self._transport.registerProducer(far_transport, True)
        early = self._http.trailing_data[0]
        if early:
            far.write(early)

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


class _FarEnd(Protocol):
    """The connection to the upstream."""

    def __init__(self, near: _TunnelServer) -> None:
        self._near = near

    def connectionMade(self) -> None:  # noqa: N802
        configure_socket(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._near.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self._near.far_end_lost(reason)

    def write(self, data: bytes) -> None:
        """Pass bytes of the peer on."""
        transport: Any = self.transport
        transport.write(data)


def _close_other(transport: Any, reason: Failure) -> None:
    """Close one side of a tunnel as the other side was closed, orderly or by a reset."""
    transport.unregisterProducer()
    if isinstance(reason.value, ConnectionDone):
        transport.loseConnection()
    else:
        transport.abortConnection()
