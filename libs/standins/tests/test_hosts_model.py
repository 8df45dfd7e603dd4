"""Guards the lag of the host list and the changes of its entries."""

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


def states(shown):
    return {entry.host: entry.state for entry in shown}


def test_changes_show_after_the_lag():
    hosts = HostListModel(lag_ms=100)
    hosts.change(HostChange(add=(ENTRY,)), now_ms=0)
    hosts.change(HostChange(leaving=("e1",)), now_ms=50)
    hosts.change(HostChange(remove=("e1",)), now_ms=60)
    assert states(hosts.shown(99)) == {}
    assert states(hosts.shown(100)) == {"e1": HostState.LIVE}
    assert states(hosts.shown(150)) == {"e1": HostState.LEAVING}
    assert states(hosts.shown(160)) == {}


def test_the_lag_can_be_switched():
    hosts = HostListModel(lag_ms=100)
    hosts.faults = HostListFaults(lag_ms=0)
    hosts.change(HostChange(add=(ENTRY,)), now_ms=0)
    assert states(hosts.shown(0)) == {"e1": HostState.LIVE}


def test_an_unknown_host_changes_nothing():
    hosts = HostListModel(lag_ms=0)
    with pytest.raises(KeyError):
        hosts.change(HostChange(add=(ENTRY,), leaving=("e2",)), now_ms=0)
    assert hosts.shown(10) == ()
