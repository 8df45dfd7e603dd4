"""Tests invariant I7: a daemon exits only without outstanding work, or when it is forced to."""

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

DRAIN_DECISIONS = [ReportReady(False), AnnounceState(HostState.DRAINING)]
EXIT_DECISIONS = [AnnounceState(HostState.LEFT), Exit(forced=False)]
FORCED_EXIT_DECISIONS = [Abort(), AnnounceState(HostState.LEFT), Exit(forced=True)]


def ready_lifecycle(held=None):
    lifecycle = Lifecycle()
    lifecycle.configured()
    lifecycle.held(held or Held(running=1))
    return lifecycle


def test_daemon_accepts_requests_only_once_configured():
    lifecycle = Lifecycle()
    assert not lifecycle.accepts_requests
    assert lifecycle.configured() == [AnnounceState(HostState.ALIVE), ReportReady(True)]
    assert lifecycle.accepts_requests


def test_ready_daemon_without_work_stays_ready():
    assert ready_lifecycle(Held()).state is LifecycleState.READY


@pytest.mark.parametrize("held", [Held(waiting=1), Held(running=1), Held(claims=1)])
def test_first_signal_waits_for_all_outstanding_work(held):
    lifecycle = ready_lifecycle(held)
    assert lifecycle.signal() == DRAIN_DECISIONS
    assert not lifecycle.accepts_requests
    assert lifecycle.held_requests == held
    assert lifecycle.held(held) == []
    assert lifecycle.held(Held()) == EXIT_DECISIONS
    assert lifecycle.state is LifecycleState.STOPPED


def test_signal_stops_an_idle_daemon_at_once():
    assert ready_lifecycle(Held()).signal() == [*DRAIN_DECISIONS, *EXIT_DECISIONS]
    assert Lifecycle().signal() == [*DRAIN_DECISIONS, *EXIT_DECISIONS]


def test_second_signal_forces_the_exit_once():
    lifecycle = ready_lifecycle()
    lifecycle.signal()
    assert lifecycle.signal() == FORCED_EXIT_DECISIONS
    assert lifecycle.signal() == []
    assert lifecycle.held(Held()) == []


def test_first_signal_after_an_operators_drain_does_not_abort_requests():
    lifecycle = ready_lifecycle()
    assert lifecycle.drain() == DRAIN_DECISIONS
    assert lifecycle.signal() == []
    assert lifecycle.held(Held(running=1)) == []
    assert lifecycle.signal() == FORCED_EXIT_DECISIONS


def test_draining_daemon_does_not_become_ready_again():
    lifecycle = ready_lifecycle()
    lifecycle.drain()
    assert lifecycle.configured() == []
    assert lifecycle.state is LifecycleState.DRAINING
