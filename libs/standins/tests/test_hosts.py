"""Guards against missing fields in the host list's HTTP answer and accepted invalid changes."""

import pytest_twisted

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_standins.hosts_model import HostListModel


@pytest_twisted.ensureDeferred
async def test_host_entries_have_all_fields(start):
    from skylarkmoor_standins.hosts import HostListService

    hosts = start(HostListService(HostListModel(lag_ms=0), SystemClock()).app)
    entry = {
        "host": "h1",
        "kind": "entry",
        "address": "127.0.0.1:1",
        "failure_domain": "d1",
        "peer_address": "127.0.0.1:2",
    }
    assert await hosts.post("/hosts", {"add": [entry]}) == (200, {})
    visible_entry = entry | {"service": None, "state": "live", "checks_fencing": False}
    assert await hosts.get("/hosts") == (200, {"hosts": [visible_entry]})
    assert (await hosts.post("/hosts", {"leaving": ["h2"]}))[0] == 400
    await hosts.post("/faults", {"outage": True})
    assert (await hosts.get("/hosts"))[0] == 503
