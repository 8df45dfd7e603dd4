"""What every part of the daemon may know of the daemon."""

from typing import Protocol

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.ids import HostId, Incarnation
from skylarkmoor_daemon.metrics import Metrics

__all__ = ["DaemonContext"]


class DaemonContext(Protocol):
    """Identity, clock and metrics of the daemon."""

    @property
    def host(self) -> HostId:
        """Host of the daemon."""

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the daemon."""

    @property
    def clock(self) -> Clock:
        """Source of times."""

    @property
    def metrics(self) -> Metrics:
        """The daemon's metrics."""
