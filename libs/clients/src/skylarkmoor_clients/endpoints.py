"""Endpoints that connect to the IP address in a URL without a name lookup."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from skylarkmoor_core.tcpoptions import configure_socket

__all__ = ["AddressEndpointFactory"]

_CONNECT_TIMEOUT_S = 30.0


@implementer(IStreamClientEndpoint)
class _ConfiguredEndpoint:
    """Connects like another endpoint, and detects dead connections."""

    def __init__(self, endpoint: Any) -> None:
        self.endpoint = endpoint

    def connect(self, factory: Any) -> "Deferred[Any]":
        """Open a connection; called by Twisted."""
        connecting: Deferred[Any] = self.endpoint.connect(factory)
        return connecting.addCallback(_configure)


def _configure(protocol: Any) -> Any:
    configure_socket(protocol.transport)
    return protocol


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
