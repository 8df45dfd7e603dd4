"""Endpoints that connect to the IP address in a URL without a name lookup."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from skylarkmoor_core.tcpoptions import configure_socket

__all__ = ["AddressEndpointFactory"]

_CONNECT_TIMEOUT_S = 30.0
# The services send a few hundred bytes of headers. Twisted bounds each line of a head, but not
# their number.
_MAX_HEAD_BYTES = 262_144
_HEAD_END = b"\r\n\r\n"


class _BoundedHeads(ProtocolWrapper):
    """Aborts a connection on which the head of a response does not end."""

    def __init__(self, factory: Any, wrapped: Any) -> None:
        super().__init__(factory, wrapped)
        self._head_bytes: int | None = None
        self._tail = b""

    def write(self, data: bytes) -> None:
        """Send a request, or a part of one; called by Twisted."""
        self._expect_head()
        super().write(data)  # type: ignore[no-untyped-call]

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        """Send a request, or a part of one; called by Twisted."""
        self._expect_head()
        super().writeSequence(data)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on while they may belong to a head of the allowed size."""
        if self._head_bytes is not None:
            if _HEAD_END in self._tail + data:
                self._head_bytes = None
            else:
                self._head_bytes += len(data)
                self._tail = (self._tail + data)[-len(_HEAD_END) + 1 :]
                if self._head_bytes > _MAX_HEAD_BYTES:
                    transport: Any = self.transport
                    transport.abortConnection()
                    return
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def _expect_head(self) -> None:
        self._head_bytes, self._tail = 0, b""


class _BoundedHeadsFactory(WrappingFactory):
    protocol = _BoundedHeads
    noisy = False


@implementer(IStreamClientEndpoint)
class _ConfiguredEndpoint:
    """Connects like another endpoint, and detects dead connections."""

    def __init__(self, endpoint: Any) -> None:
        self.endpoint = endpoint

    def connect(self, factory: Any) -> "Deferred[Any]":
        """Open a connection; called by Twisted."""
        wrapping: Any = _BoundedHeadsFactory
        connecting: Deferred[Any] = self.endpoint.connect(wrapping(factory))
        return connecting.addCallback(_configure)


def _configure(wrapper: Any) -> Any:
    configure_socket(wrapper.transport)
    return wrapper.wrappedProtocol


@implementer(IAgentEndpointFactory)
class AddressEndpointFactory:
    """Makes the endpoints of a Twisted `Agent` for URLs that hold an IP address.

    Parameters
    ----------
    reactor : reactor
        Twisted reactor that makes the connections.
    connect_timeout_s : float
        Maximum time for establishing a connection.

    Notes
    -----
    Without it an `Agent` looks up IP addresses like names, in a pool of ten threads, so that on a
    busy host a connection waits for these threads and may fail as an unknown host.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float = _CONNECT_TIMEOUT_S) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> _ConfiguredEndpoint:  # noqa: N802
        """Return the endpoint for the address and port of a URL."""
        host = uri.host.decode("ascii")
        make: Any = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return _ConfiguredEndpoint(make(self._reactor, host, uri.port, self._connect_timeout_s))
