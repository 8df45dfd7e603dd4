"""Guards against treating an invalid host list as a list from which hosts have left."""

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


def host_list_json(*hosts):
    return json.dumps({"hosts": hosts})


@pytest_twisted.ensureDeferred
async def test_fetch_returns_every_field(serve):
    hosts = HostListClient(serve(app_answering(host_list_json(ENTRY, UPSTREAM))))
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
        ('{"x":' + "[" * 9_000, "host list cannot be decoded"),
        (host_list_json(ENTRY, ENTRY), "'nadi-1' is listed twice"),
        (host_list_json(ENTRY | {"host": ""}), "has no id"),
        (host_list_json(ENTRY | {"state": "gone"}), "gone"),
        (host_list_json(ENTRY | {"address": "nadi:80"}), "address of 'nadi-1'"),
        (host_list_json(ENTRY | {"peer_address": None}), "has no peer_address"),
        (host_list_json(ENTRY | {"peer_address": "nadi"}), "peer_address of 'nadi-1'"),
        (host_list_json(ENTRY, UPSTREAM | {"service": None}), "upstream 'gpu-1' has no service"),
        ("x" * 2_000_001, "exceeds 2000000 bytes"),
    ],
)
async def test_list_with_an_invalid_entry_is_rejected_as_a_whole(serve, body, fault):
    hosts = HostListClient(serve(app_answering(body)))
    with pytest.raises(PlatformError, match=fault):
        await hosts.fetch()


@pytest_twisted.ensureDeferred
async def test_error_status_is_rejected_despite_a_valid_list(serve):
    hosts = HostListClient(serve(app_answering(host_list_json(), status=503)))
    with pytest.raises(PlatformError, match="503"):
        await hosts.fetch()


@pytest_twisted.ensureDeferred
async def test_request_without_a_response_times_out(serve):
    hosts = HostListClient(serve(app_answering(Deferred())), timeout_ms=50)
    with pytest.raises(PlatformError, match="no complete answer within 50 ms"):
        await hosts.fetch()
