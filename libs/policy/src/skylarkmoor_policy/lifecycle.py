"""The life of a daemon from its start to its orderly or forced end."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

from skylarkmoor_core.messages import HostState

__all__ = [
    "Abort",
    "AnnounceState",
    "Exit",
    "Held",
    "Lifecycle",
    "LifecycleDecision",
    "LifecycleState",
    "ReportReady",
]


class LifecycleState(Enum):
    """State of a daemon."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Held:
    """What keeps a draining daemon from its end, as operators see it.

    Attributes
    ----------
    waiting : int
        Requests in the queues.
    running : int
        Requests dispatched to upstreams.
    claims : int
        Claims of other daemons that this one has taken and not answered.
    """

    waiting: int = 0
    running: int = 0
    claims: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held."""
        return not (self.waiting or self.running or self.claims)


@dataclass(frozen=True, slots=True)
class ReportReady:
    """Answer `/readyz` this way from now on; a daemon that is not ready takes no requests."""

    ready: bool


@dataclass(frozen=True, slots=True)
class AnnounceState:
    """Tell the peers this state at once."""

    state: HostState


@dataclass(frozen=True, slots=True)
class Abort:
    """End every request held with its true outcome.

    Requests that were not dispatched end as `not_run`, or as their claim allows; of the others
    it is not known how far they ran.
    """


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process after all answers were sent."""

    forced: bool


LifecycleDecision = ReportReady | AnnounceState | Abort | Exit
_Decisions = list[LifecycleDecision]


class _Data:
    """The machine has no data besides its state."""


class _Inputs(Protocol):
    def state(self) -> LifecycleState: ...
    def configure(self) -> _Decisions: ...
    def drain(self) -> _Decisions: ...
    def signal(self) -> _Decisions: ...
    def empty(self) -> _Decisions: ...


_builder = TypeMachineBuilder(_Inputs, _Data)
_starting = _builder.state("starting")
_ready = _builder.state("ready")
# Draining at an operator's request; the first signal does not force the end.
_drained = _builder.state("drained")
_draining = _builder.state("draining")
_stopped = _builder.state("stopped")

_starting.upon(_Inputs.state).loop().returns(LifecycleState.STARTING)
_ready.upon(_Inputs.state).loop().returns(LifecycleState.READY)
_drained.upon(_Inputs.state).loop().returns(LifecycleState.DRAINING)
_draining.upon(_Inputs.state).loop().returns(LifecycleState.DRAINING)
_stopped.upon(_Inputs.state).loop().returns(LifecycleState.STOPPED)


@_starting.upon(_Inputs.configure).to(_ready)
def _serve(inputs: _Inputs, data: _Data) -> _Decisions:
    return [AnnounceState(HostState.ALIVE), ReportReady(True)]


@_starting.upon(_Inputs.drain).to(_drained)
@_starting.upon(_Inputs.signal).to(_draining)
@_ready.upon(_Inputs.drain).to(_drained)
@_ready.upon(_Inputs.signal).to(_draining)
def _start_draining(inputs: _Inputs, data: _Data) -> _Decisions:
    return [ReportReady(False), AnnounceState(HostState.DRAINING)]


@_draining.upon(_Inputs.signal).to(_stopped)
def _force(inputs: _Inputs, data: _Data) -> _Decisions:
    return [Abort(), AnnounceState(HostState.LEFT), Exit(forced=True)]


@_drained.upon(_Inputs.empty).to(_stopped)
@_draining.upon(_Inputs.empty).to(_stopped)
def _end(inputs: _Inputs, data: _Data) -> _Decisions:
    return [AnnounceState(HostState.LEFT), Exit(forced=False)]


# An operator's drain followed by the first signal.
@_drained.upon(_Inputs.signal).to(_draining)
@_starting.upon(_Inputs.empty).loop()
@_ready.upon(_Inputs.configure).loop()
@_ready.upon(_Inputs.empty).loop()
@_drained.upon(_Inputs.configure).loop()
@_drained.upon(_Inputs.drain).loop()
@_draining.upon(_Inputs.configure).loop()
@_draining.upon(_Inputs.drain).loop()
@_stopped.upon(_Inputs.configure).loop()
@_stopped.upon(_Inputs.drain).loop()
@_stopped.upon(_Inputs.signal).loop()
@_stopped.upon(_Inputs.empty).loop()
def _nothing(inputs: _Inputs, data: _Data) -> _Decisions:
    return []


_Machine = _builder.build()


class Lifecycle:
    """The state of this daemon and what follows from its changes.

    Notes
    -----
    The machine goes forward only: a daemon that drains is replaced by a new process and not
    made ready again. Losing the log does not make a ready daemon unready, because the
    configuration stays in force.
    """

    def __init__(self) -> None:
        self._machine = _Machine(_Data())
        self._held = Held()

    @property
    def state(self) -> LifecycleState:
        """State of the daemon."""
        return self._machine.state()

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are taken."""
        return self.state is LifecycleState.READY

    @property
    def held_requests(self) -> Held:
        """What was held when last reported."""
        return self._held

    def configured(self) -> list[LifecycleDecision]:
        """Take note that a document is in force, from the log read to its end or from a peer."""
        return self._machine.configure()

    def drain(self) -> list[LifecycleDecision]:
        """Take an operator's order to drain."""
        return [*self._machine.drain(), *self._end_if_empty()]

    def signal(self) -> list[LifecycleDecision]:
        """Take a signal to end; the second one forces the end."""
        return [*self._machine.signal(), *self._end_if_empty()]

    def held(self, held: Held) -> list[LifecycleDecision]:
        """Take what the daemon holds; call it after each change and at least once a second."""
        self._held = held
        return self._end_if_empty()

    def _end_if_empty(self) -> list[LifecycleDecision]:
        return self._machine.empty() if self._held.is_empty else []
