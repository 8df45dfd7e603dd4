"""Interface through which the daemon's components read its identity, clock and metrics."""

from typing import Protocol

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_daemon.metrics import Metrics

__all__ = ["DaemonContext"]


class DaemonContext(Protocol):
    """Identity, clock and metrics of the daemon."""

    @property
    def host(self) -> HostId:
        """Host that the daemon runs as."""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of this daemon process."""

    @property
    def clock(self) -> Clock:
        """Source of monotonic and wall-clock time."""

    @property
    def metrics(self) -> Metrics:
        """Collectors to which the components report."""
