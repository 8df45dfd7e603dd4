"""Checks how many requests an upstream got against the limits that it had named."""

from bisect import bisect_left
from collections.abc import Sequence

__all__ = ["WINDOW_MS", "allowed", "excess"]

WINDOW_MS = 4_000
# From this time after the first answer with a limit on, the limit has to be kept.
_CONTACT_MS = 3_000
# An answer counts as known from this time after it was passed on.
_HEARD_MS = 500


def allowed(limit_per_s: float) -> float:
    """Return how many requests may reach an upstream in a window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000 + 5


def excess(times_ms: Sequence[float], limits: Sequence[tuple[float, float | None]]) -> float:
    """Return by how much the requests of any window exceed what is allowed, 0 if none does.

    Parameters
    ----------
    times_ms : sequence of float
        When the requests arrived.
    limits : sequence of (float, float or None)
        Time of each change of the limit, and the new one.
    """
    times_ms = sorted(times_ms)
    worst = 0.0
    for number, start_ms in enumerate(times_ms):
        limit = _limit_of_window(start_ms, limits)
        if limit is not None:
            count = bisect_left(times_ms, start_ms + WINDOW_MS) - number
            worst = max(worst, count - allowed(limit))
    return worst


def _limit_of_window(
    start_ms: float, changes: Sequence[tuple[float, float | None]]
) -> float | None:
    """Return the highest limit that was named for a window, None if it was not limited."""
    named = [time_ms for time_ms, limit in changes if limit is not None]
    if not named or start_ms < named[0] + _CONTACT_MS:
        return None
    before = [limit for time_ms, limit in changes if time_ms <= start_ms - _HEARD_MS]
    during = [
        limit for time_ms, limit in changes if start_ms - _HEARD_MS < time_ms < start_ms + WINDOW_MS
    ]
    limits = [*before[-1:], *during]
    return None if None in limits else max(each for each in limits if each is not None)
