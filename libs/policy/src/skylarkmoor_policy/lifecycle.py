"""Lifecycle of a daemon: starting, ready, draining and stopped."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from skylarkmoor_core.messages import HostState

__all__ = [
    "AbortRequests",
    "AnnounceState",
    "ExitProcess",
    "Lifecycle",
    "LifecycleDecision",
    "LifecycleState",
    "OutstandingWork",
    "ReportReady",
]


class LifecycleState(Enum):
    """Lifecycle state of a daemon."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class OutstandingWork:
    """Outstanding work that a draining daemon waits for before it exits.

    Attributes
    ----------
    waiting : int
        Number of queued requests.
    running : int
        Number of requests dispatched to upstreams.
    claims : int
        Number of claim requests from other daemons that were accepted and not yet answered.
    """

    waiting: int = 0
    running: int = 0
    claims: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether there is no outstanding work."""
        return not (self.waiting or self.running or self.claims)


@dataclass(frozen=True, slots=True)
class ReportReady:
    """Set the answer of `/readyz`; a daemon that is not ready accepts no requests."""

    ready: bool


@dataclass(frozen=True, slots=True)
class AnnounceState:
    """Announce this host state to all peers at once."""

    state: HostState


@dataclass(frozen=True, slots=True)
class AbortRequests:
    """End every outstanding request and report its true outcome.

    Requests that were not dispatched end as `not_run`, or as their claim allows. It is not known
    how far the others ran.
    """


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Exit the process after all answers have been sent."""

    forced: bool


LifecycleDecision = ReportReady | AnnounceState | AbortRequests | ExitProcess
_Decisions = list[LifecycleDecision]


class _MachineData:
    """Data of the state machine, which has none besides its state."""


class _Inputs(Protocol):
    def state(self) -> LifecycleState: ...
    def configure(self) -> _Decisions: ...
    def drain(self) -> _Decisions: ...
    def signal(self) -> _Decisions: ...
    def empty(self) -> _Decisions: ...


_builder = TypeMachineBuilder(_Inputs, _MachineData)
_starting = _builder.state("starting")
_ready = _builder.state("ready")
# Draining by order of an operator; the first signal does not force the exit.
_draining_by_operator = _builder.state("draining_by_operator")
_draining = _builder.state("draining")
_stopped = _builder.state("stopped")

_starting.upon(_Inputs.state).loop().returns(LifecycleState.STARTING)
_ready.upon(_Inputs.state).loop().returns(LifecycleState.READY)
_draining_by_operator.upon(_Inputs.state).loop().returns(LifecycleState.DRAINING)
_draining.upon(_Inputs.state).loop().returns(LifecycleState.DRAINING)
_stopped.upon(_Inputs.state).loop().returns(LifecycleState.STOPPED)


@_starting.upon(_Inputs.configure).to(_ready)
def _become_ready(inputs: _Inputs, data: _MachineData) -> _Decisions:
    return [AnnounceState(HostState.ALIVE), ReportReady(True)]


@_starting.upon(_Inputs.drain).to(_draining_by_operator)
@_starting.upon(_Inputs.signal).to(_draining)
@_ready.upon(_Inputs.drain).to(_draining_by_operator)
@_ready.upon(_Inputs.signal).to(_draining)
def _start_draining(inputs: _Inputs, data: _MachineData) -> _Decisions:
    return [ReportReady(False), AnnounceState(HostState.DRAINING)]


@_draining.upon(_Inputs.signal).to(_stopped)
def _force_exit(inputs: _Inputs, data: _MachineData) -> _Decisions:
    return [AbortRequests(), AnnounceState(HostState.LEFT), ExitProcess(forced=True)]


@_draining_by_operator.upon(_Inputs.empty).to(_stopped)
@_draining.upon(_Inputs.empty).to(_stopped)
def _exit_when_empty(inputs: _Inputs, data: _MachineData) -> _Decisions:
    return [AnnounceState(HostState.LEFT), ExitProcess(forced=False)]


# The first signal after an operator's drain only arms the forced exit by the next one.
@_draining_by_operator.upon(_Inputs.signal).to(_draining)
@_starting.upon(_Inputs.empty).loop()
@_ready.upon(_Inputs.configure).loop()
@_ready.upon(_Inputs.empty).loop()
@_draining_by_operator.upon(_Inputs.configure).loop()
@_draining_by_operator.upon(_Inputs.drain).loop()
@_draining.upon(_Inputs.configure).loop()
@_draining.upon(_Inputs.drain).loop()
@_stopped.upon(_Inputs.configure).loop()
@_stopped.upon(_Inputs.drain).loop()
@_stopped.upon(_Inputs.signal).loop()
@_stopped.upon(_Inputs.empty).loop()
def _no_decisions(inputs: _Inputs, data: _MachineData) -> _Decisions:
    return []


_Machine = _builder.build()


class Lifecycle:
    """State machine of the daemon, which returns the actions due after each transition.

    Notes
    -----
    Transitions only go forward: a draining daemon is replaced by a new process and does not
    become ready again. A log outage does not make a ready daemon unready, because the
    configuration stays in force.
    """

    def __init__(self) -> None:
        self._machine = _Machine(_MachineData())
        self._outstanding_work = OutstandingWork()

    @property
    def state(self) -> LifecycleState:
        """Current lifecycle state."""
        return self._machine.state()

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are accepted."""
        return self.state is LifecycleState.READY

    @property
    def outstanding_work(self) -> OutstandingWork:
        """The outstanding work that was last reported."""
        return self._outstanding_work

    def configuration_loaded(self) -> list[LifecycleDecision]:
        """Record that a configuration document, from the fully read log or a peer, is in force."""
        return self._machine.configure()

    def drain(self) -> list[LifecycleDecision]:
        """Start draining by order of an operator."""
        return [*self._machine.drain(), *self._exit_if_empty()]

    def handle_signal(self) -> list[LifecycleDecision]:
        """Handle a termination signal; the second one forces the exit."""
        return [*self._machine.signal(), *self._exit_if_empty()]

    def update_outstanding_work(self, work: OutstandingWork) -> list[LifecycleDecision]:
        """Update the outstanding work; call it after each change and at least every second."""
        self._outstanding_work = work
        return self._exit_if_empty()

    def _exit_if_empty(self) -> list[LifecycleDecision]:
        return self._machine.empty() if self._outstanding_work.is_empty else []
