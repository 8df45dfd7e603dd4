"""Guards against connections that wait for a thread, as a name lookup does."""

import pytest
import pytest_twisted
from klein import Klein

from skylarkmoor_clients.httpclient import PlatformHttp


def forbid_lookups(monkeypatch):
    from twisted.internet import reactor

    def refuse(*args, **kwargs):
        raise AssertionError("an IP address was looked up like a name")

    monkeypatch.setattr(reactor.nameResolver, "resolveHostName", refuse)


@pytest_twisted.ensureDeferred
async def test_ip_address_is_connected_to_without_a_lookup(serve, monkeypatch):
    """A hundred connections at once waited for ten threads and failed as unknown hosts."""
    app = Klein()

    @app.route("/hosts")
    def hosts(request):
        return b"{}"

    forbid_lookups(monkeypatch)
    client = PlatformHttp(serve(app))
    assert (await client.request("GET", "/hosts", timeout_ms=5_000, max_bytes=100)).body == b"{}"
    await client.close()


@pytest.mark.parametrize(
    ("url", "endpoint"),
    [(b"http://10.0.0.1:70/x", "TCP4ClientEndpoint"), (b"http://[::1]:70/x", "TCP6ClientEndpoint")],
)
def test_endpoint_fits_the_kind_of_address(url, endpoint):
    from twisted.internet import reactor
    from twisted.web.client import URI

    from skylarkmoor_clients.endpoints import AddressEndpointFactory

    made = AddressEndpointFactory(reactor).endpointForURI(URI.fromBytes(url))
    assert type(made.endpoint).__name__ == endpoint
