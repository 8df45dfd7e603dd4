"""Guards against draining a wrong host and against reporting a failed drain as success."""

import json

import pytest
import pytest_twisted
from klein import Klein

from skylarkmoor_clients.hostlist import HostListClient
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_operator.drain import drain
from skylarkmoor_operator.runner import ExitCode


def admin_app(calls, status):
    app = Klein()

    @app.route("/admin/drain", methods=["POST"])
    def answer(request):
        calls.append(request.path)
        request.setResponseCode(status)
        return b"{}"

    return app


def hosts_app(address):
    upstream = {
        "host": "gpu-1",
        "kind": "upstream",
        "address": address,
        "failure_domain": "nadi",
        "service": "assistant",
        "state": "live",
    }
    entry = upstream | {
        "host": "nadi-1",
        "kind": "entry",
        "service": None,
        "peer_address": "127.0.0.1:1",
    }
    app = Klein()

    @app.route("/hosts")
    def answer(request):
        return json.dumps({"hosts": [upstream, entry]})

    return app


@pytest.fixture
def drain_host(serve, log_url):
    async def call(host, *, status=200, address=None, log=True):
        calls = []
        address = address or serve(admin_app(calls, status)).removeprefix("http://")
        hosts = HostListClient(serve(hosts_app(address)))
        log = LogClient(log_url) if log else None
        return await drain(log, hosts, ManualClock(), host, author="mair"), len(calls)

    return call


@pytest_twisted.ensureDeferred
async def test_drain_is_posted_once_and_audited(drain_host, fake_log):
    assert await drain_host("nadi-1") == (ExitCode.SUCCESS, 1)
    data = fake_log.streams["audit"][0]["data"]
    assert (data["who"], data["what"], data["after"]) == ("mair", "drain nadi-1", "draining")


@pytest_twisted.ensureDeferred
async def test_drain_needs_no_log(drain_host, fake_log):
    assert await drain_host("nadi-1", log=False) == (ExitCode.SUCCESS, 1)
    assert fake_log.streams == {}


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("host", ["gpu-1", "suva-1"])
async def test_only_entry_hosts_are_drained(drain_host, host, capsys):
    assert await drain_host(host) == (ExitCode.INVALID, 0)
    assert "the entry hosts are nadi-1" in capsys.readouterr().err


@pytest_twisted.ensureDeferred
async def test_rejected_drain_is_reported_and_not_audited(drain_host, fake_log):
    assert await drain_host("nadi-1", status=403) == (ExitCode.REFUSED, 1)
    assert fake_log.streams == {}


@pytest_twisted.ensureDeferred
async def test_missing_response_is_reported_as_possible_draining(drain_host):
    with pytest.raises(PlatformError, match="'nadi-1' may be draining"):
        await drain_host("nadi-1", address="127.0.0.1:1")
