"""Guards the host list against taking a faulty answer for hosts that left."""

import json

import pytest
import pytest_twisted
from klein import Klein
from twisted.internet.defer import Deferred

from skylarkmoor_clients.hostlist import HostEntry, HostKind, HostListClient, ListedState
from skylarkmoor_core.errors import PlatformError

ENTRY = {
    "host": "nadi-1",
    "kind": "entry",
    "address": "10.0.0.1:80",
    "failure_domain": "nadi",
    "service": None,
    "state": "live",
    "checks_fencing": False,
    "peer_address": "10.0.0.1:81",
}
UPSTREAM = {
    "host": "gpu-1",
    "kind": "upstream",
    "address": "10.0.1.1:80",
    "failure_domain": "suva",
    "service": "assistant",
    "state": "leaving",
    "checks_fencing": True,
}


def app_answering(body, status=200):
    app = Klein()

    @app.route("/hosts")
    def hosts(request):
        request.setResponseCode(status)
        return body

    return app


def listing(*hosts):
    return json.dumps({"hosts": hosts})


@pytest_twisted.ensureDeferred
async def test_fetch_returns_every_field(serve):
    hosts = HostListClient(serve(app_answering(listing(ENTRY, UPSTREAM))))
    assert await hosts.fetch() == (
        HostEntry(
            host="nadi-1",
            kind=HostKind.ENTRY,
            address="10.0.0.1:80",
            failure_domain="nadi",
            state=ListedState.LIVE,
            peer_address="10.0.0.1:81",
        ),
        HostEntry(
            host="gpu-1",
            kind=HostKind.UPSTREAM,
            address="10.0.1.1:80",
            failure_domain="suva",
            state=ListedState.LEAVING,
            service="assistant",
            checks_fencing=True,
        ),
    )


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    ("body", "fault"),
    [
        ("{}", "hosts"),
        ('{"x":' + "[" * 9_000, "not a host list"),
        (listing(ENTRY, ENTRY), "'nadi-1' is listed twice"),
        (listing(ENTRY | {"host": ""}), "has no id"),
        (listing(ENTRY | {"state": "gone"}), "gone"),
        (listing(ENTRY | {"address": "nadi:80"}), "address of 'nadi-1'"),
        (listing(ENTRY | {"peer_address": None}), "has no peer_address"),
        (listing(ENTRY | {"peer_address": "nadi"}), "peer_address of 'nadi-1'"),
        (listing(ENTRY, UPSTREAM | {"service": None}), "upstream 'gpu-1' has no service"),
        ("x" * 2_000_001, "exceeds 2000000 bytes"),
    ],
)
async def test_list_with_a_fault_is_refused_whole(serve, body, fault):
    hosts = HostListClient(serve(app_answering(body)))
    with pytest.raises(PlatformError, match=fault):
        await hosts.fetch()


@pytest_twisted.ensureDeferred
async def test_error_status_is_refused_even_with_a_list(serve):
    hosts = HostListClient(serve(app_answering(listing(), status=503)))
    with pytest.raises(PlatformError, match="503"):
        await hosts.fetch()


@pytest_twisted.ensureDeferred
async def test_silent_host_list_times_out(serve):
    hosts = HostListClient(serve(app_answering(Deferred())), timeout_ms=50)
    with pytest.raises(PlatformError, match="no answer"):
        await hosts.fetch()
