"""Tests invariant I7: a daemon exits only without outstanding work, or when it is forced to."""

import pytest

from skylarkmoor_core.messages import HostState
from skylarkmoor_policy.lifecycle import (
    AbortRequests,
    AnnounceState,
    ExitProcess,
    Lifecycle,
    LifecycleState,
    OutstandingWork,
    ReportReady,
)

DRAIN_DECISIONS = [ReportReady(False), AnnounceState(HostState.DRAINING)]
EXIT_DECISIONS = [AnnounceState(HostState.LEFT), ExitProcess(forced=False)]
FORCED_EXIT_DECISIONS = [AbortRequests(), AnnounceState(HostState.LEFT), ExitProcess(forced=True)]


def ready_lifecycle(held=None):
    lifecycle = Lifecycle()
    lifecycle.configuration_loaded()
    lifecycle.update_outstanding_work(held or OutstandingWork(running=1))
    return lifecycle


def test_daemon_accepts_requests_only_once_configured():
    lifecycle = Lifecycle()
    assert not lifecycle.accepts_requests
    assert lifecycle.configuration_loaded() == [AnnounceState(HostState.ALIVE), ReportReady(True)]
    assert lifecycle.accepts_requests


def test_ready_daemon_without_work_stays_ready():
    assert ready_lifecycle(OutstandingWork()).state is LifecycleState.READY


@pytest.mark.parametrize(
    "held", [OutstandingWork(waiting=1), OutstandingWork(running=1), OutstandingWork(claims=1)]
)
def test_first_signal_waits_for_all_outstanding_work(held):
    lifecycle = ready_lifecycle(held)
    assert lifecycle.handle_signal() == DRAIN_DECISIONS
    assert not lifecycle.accepts_requests
    assert lifecycle.outstanding_work == held
    assert lifecycle.update_outstanding_work(held) == []
    assert lifecycle.update_outstanding_work(OutstandingWork()) == EXIT_DECISIONS
    assert lifecycle.state is LifecycleState.STOPPED


def test_signal_stops_an_idle_daemon_at_once():
    assert ready_lifecycle(OutstandingWork()).handle_signal() == [*DRAIN_DECISIONS, *EXIT_DECISIONS]
    assert Lifecycle().handle_signal() == [*DRAIN_DECISIONS, *EXIT_DECISIONS]


def test_second_signal_forces_the_exit_once():
    lifecycle = ready_lifecycle()
    lifecycle.handle_signal()
    assert lifecycle.handle_signal() == FORCED_EXIT_DECISIONS
    assert lifecycle.handle_signal() == []
    assert lifecycle.update_outstanding_work(OutstandingWork()) == []


def test_first_signal_after_an_operators_drain_does_not_abort_requests():
    lifecycle = ready_lifecycle()
    assert lifecycle.drain() == DRAIN_DECISIONS
    assert lifecycle.handle_signal() == []
    assert lifecycle.update_outstanding_work(OutstandingWork(running=1)) == []
    assert lifecycle.handle_signal() == FORCED_EXIT_DECISIONS


def test_draining_daemon_does_not_become_ready_again():
    lifecycle = ready_lifecycle()
    lifecycle.drain()
    assert lifecycle.configuration_loaded() == []
    assert lifecycle.state is LifecycleState.DRAINING
