"""Endpoints that connect to the IP address in a URL without a name lookup."""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

__all__ = ["AddressEndpointFactory"]

_CONNECT_TIMEOUT_S = 30.0


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

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint | TCP6ClientEndpoint:  # noqa: N802
        """Return the endpoint for the address and port of a URL."""
        host = uri.host.decode("ascii")
        make: Any = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint: TCP4ClientEndpoint | TCP6ClientEndpoint = make(
            self._reactor, host, uri.port, self._connect_timeout_s
        )
        return endpoint
