"""Wall and monotonic clocks in milliseconds, real and simulated."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """A source of wall-clock and monotonic readings in milliseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""

    def now_ms(self) -> int:
        """Return milliseconds on a monotonic clock."""


class SystemClock:
    """The clocks of the operating system."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def now_ms(self) -> int:
        """Return milliseconds on a monotonic clock.

        Notes
        -----
        The clock keeps counting while the process is stopped by a signal and while the host is
        suspended, so a lease holder that was paused sees that its lease has expired.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock:
    """A clock that advances only when `advance` is called.

    Parameters
    ----------
    now_ms : int
        Initial monotonic reading.
    wall_offset_ms : int
        Wall-clock reading minus monotonic reading.

    Examples
    --------
    >>> clock = ManualClock(now_ms=5)
    >>> clock.advance(10)
    >>> clock.now_ms()
    15
    """

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 0) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self._now_ms + self._wall_offset_ms

    def now_ms(self) -> int:
        """Return the monotonic reading."""
        return self._now_ms

    def advance(self, step_ms: int) -> None:
        """Advance both readings by `step_ms`.

        Raises
        ------
        ValueError
            If `step_ms` is negative.
        """
        if step_ms < 0:
            raise ValueError(f"step_ms must not be negative, got {step_ms}")
        self._now_ms += step_ms
