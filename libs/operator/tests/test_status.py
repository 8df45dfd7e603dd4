"""Guards against a wrong report of the documents in force on each entry host."""

import json

import pytest
import pytest_twisted
from klein import Klein

from skylarkmoor_clients.hostlist import HostListClient
from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_operator.runner import ExitCode
from skylarkmoor_operator.status import print_status


def entry_host(host, url):
    address = url.removeprefix("http://")
    return {
        "host": host,
        "kind": "entry",
        "address": address,
        "failure_domain": "nadi",
        "state": "live",
        "peer_address": "127.0.0.1:1",
    }


def status_app(status):
    app = Klein()

    @app.route("/admin/status")
    def answer(request):
        return status if isinstance(status, str) else json.dumps(status)

    return app


def hosts_app(hosts):
    app = Klein()

    @app.route("/hosts")
    def answer(request):
        return json.dumps({"hosts": hosts})

    return app


@pytest_twisted.ensureDeferred
async def test_each_host_status_is_compared_with_the_accepted_offset(
    serve, fake_log, log_url, publication, capsys
):
    fake_log.add("config", publication(None))
    fake_log.add("config", publication(0, author="mair", version="v2"))
    hosts = [
        entry_host("a", serve(status_app({"state": "alive", "documents": {"assistant": 1}}))),
        entry_host("b", serve(status_app({"state": "draining", "documents": {"assistant": 0}}))),
        entry_host("b2", serve(status_app({"state": "draining", "documents": {"assistant": 1}}))),
        entry_host("c", serve(status_app({"state": "alive", "documents": {}}))),
        entry_host("d", "http://127.0.0.1:1"),
        entry_host("e", serve(status_app([]))),
        entry_host("f", serve(status_app("[" * 9_000))),
    ]
    code = await print_status(LogClient(log_url), HostListClient(serve(hosts_app(hosts))), None)
    lines = capsys.readouterr().out.splitlines()
    assert code is ExitCode.SUCCESS
    assert lines[:5] == [
        "assistant: accepted at offset 1, version v2, by mair at 1970-01-01T00:00:01Z",
        "assistant: in force on 2 of 7 entry hosts",
        "  a (nadi): current",
        "  b (nadi): offset 0, draining",
        "  b2 (nadi): current, draining",
    ]
    assert lines[5] == "  c (nadi): no document, alive"
    assert lines[6].startswith("  d (nadi): unknown")
    assert lines[7].startswith("  e (nadi): unknown")
    assert lines[8].startswith("  f (nadi): unknown")


@pytest_twisted.ensureDeferred
async def test_document_is_printed_when_the_host_list_is_unavailable(
    fake_log, log_url, publication, capsys
):
    fake_log.add("config", publication(None))
    with pytest.raises(PlatformError):
        await print_status(LogClient(log_url), HostListClient("http://127.0.0.1:1"), "assistant")
    assert '"service": "assistant"' in capsys.readouterr().out


@pytest_twisted.ensureDeferred
async def test_unknown_service_is_reported_as_an_error(log_url, capsys):
    hosts = HostListClient("http://127.0.0.1:1")
    assert await print_status(LogClient(log_url), hosts, "orders") is ExitCode.REFUSED
    assert "'orders' has no accepted document" in capsys.readouterr().err
