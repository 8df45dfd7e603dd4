"""Guards against host changes that become visible too early or are applied in part."""

import pytest

from skylarkmoor_standins.hosts_model import (
    HostChange,
    HostEntry,
    HostKind,
    HostListFaults,
    HostListModel,
    HostState,
)

ENTRY = HostEntry("e1", HostKind.UPSTREAM, "127.0.0.1:1", "d1", service="assistant")


def states(visible_hosts):
    return {entry.host: entry.state for entry in visible_hosts}


def test_changes_are_visible_after_the_lag():
    hosts = HostListModel(lag_ms=100)
    hosts.change(HostChange(add=(ENTRY,)), now_ms=0)
    hosts.change(HostChange(leaving=("e1",)), now_ms=50)
    hosts.change(HostChange(remove=("e1",)), now_ms=60)
    assert states(hosts.visible_hosts(99)) == {}
    assert states(hosts.visible_hosts(100)) == {"e1": HostState.LIVE}
    assert states(hosts.visible_hosts(150)) == {"e1": HostState.LEAVING}
    assert states(hosts.visible_hosts(160)) == {}


def test_lag_can_be_overridden():
    hosts = HostListModel(lag_ms=100)
    hosts.faults = HostListFaults(lag_ms=0)
    hosts.change(HostChange(add=(ENTRY,)), now_ms=0)
    assert states(hosts.visible_hosts(0)) == {"e1": HostState.LIVE}


def test_change_with_unknown_host_is_not_applied():
    hosts = HostListModel(lag_ms=0)
    with pytest.raises(KeyError):
        hosts.change(HostChange(add=(ENTRY,), leaving=("e2",)), now_ms=0)
    assert hosts.visible_hosts(10) == ()
