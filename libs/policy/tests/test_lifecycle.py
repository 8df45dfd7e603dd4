"""Guards I7: a daemon ends only when nothing is held, or when it is forced to."""

import pytest

from skylarkmoor_core.messages import HostState
from skylarkmoor_policy.lifecycle import (
    Abort,
    AnnounceState,
    Exit,
    Held,
    Lifecycle,
    LifecycleState,
    ReportReady,
)

DRAIN = [ReportReady(False), AnnounceState(HostState.DRAINING)]
END = [AnnounceState(HostState.LEFT), Exit(forced=False)]
FORCE = [Abort(), AnnounceState(HostState.LEFT), Exit(forced=True)]


def ready(held=None):
    lifecycle = Lifecycle()
    lifecycle.configured()
    lifecycle.held(held or Held(running=1))
    return lifecycle


def test_daemon_takes_requests_only_once_configured():
    lifecycle = Lifecycle()
    assert not lifecycle.accepts_requests
    assert lifecycle.configured() == [AnnounceState(HostState.ALIVE), ReportReady(True)]
    assert lifecycle.accepts_requests


def test_ready_daemon_that_holds_nothing_goes_on():
    assert ready(Held()).state is LifecycleState.READY


@pytest.mark.parametrize("held", [Held(waiting=1), Held(running=1), Held(claims=1)])
def test_first_signal_waits_for_everything_held(held):
    lifecycle = ready(held)
    assert lifecycle.signal() == DRAIN
    assert not lifecycle.accepts_requests
    assert lifecycle.held_requests == held
    assert lifecycle.held(held) == []
    assert lifecycle.held(Held()) == END
    assert lifecycle.state is LifecycleState.STOPPED


def test_signal_ends_an_empty_daemon_at_once():
    assert ready(Held()).signal() == [*DRAIN, *END]
    assert Lifecycle().signal() == [*DRAIN, *END]


def test_second_signal_forces_the_end_once():
    lifecycle = ready()
    lifecycle.signal()
    assert lifecycle.signal() == FORCE
    assert lifecycle.signal() == []
    assert lifecycle.held(Held()) == []


def test_first_signal_after_an_operators_drain_does_not_cut_off_requests():
    lifecycle = ready()
    assert lifecycle.drain() == DRAIN
    assert lifecycle.signal() == []
    assert lifecycle.held(Held(running=1)) == []
    assert lifecycle.signal() == FORCE


def test_draining_daemon_does_not_become_ready_again():
    lifecycle = ready()
    lifecycle.drain()
    assert lifecycle.configured() == []
    assert lifecycle.state is LifecycleState.DRAINING
