"""Estimates when the requests that wait for the slots of a group will get one."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

__all__ = ["PlaceEstimate", "SlotWaits", "WaitingEntry", "hopeless", "is_hopeless_behind"]

# Half-life of what is known of the rate, in time with waiting requests. Upstreams crash and return
# within seconds.
_HALF_LIFE_MS = 2_000
# Grants, and time with waiting requests, below which nothing is estimated.
_MIN_GRANTS = 8.0
_MIN_CONTENDED_MS = 200.0
# Time without waiting requests after which what is known of the rate is too old.
_EXPIRY_MS = 10_000
# Multiple of the recent rate at which a request must still come too late to be refused. The rate
# may rise by half when the upstreams of one of three failure domains return.
_REFUSAL_RATE_FACTOR = 2.0


class SlotWaits:
    """Rate at which the slots of a group become free while requests wait for them.

    Notes
    -----
    While requests wait, each slot that becomes free is granted at once, so the rate of grants is
    the number of slots divided by the mean time for which a slot is held (Little's law). The
    daemon that grants the slots of a group need not know when they are released by others.
    """

    def __init__(self) -> None:
        self._grants = 0.0
        self._contended_ms = 0.0
        self._is_contended = False
        self._observed_ms = 0

    def observe(self, now_ms: int) -> None:
        """Count the time since the last call if requests have waited since then."""
        elapsed_ms = max(0, now_ms - self._observed_ms)
        self._observed_ms = now_ms
        if self._is_contended and elapsed_ms:
            keep = 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
            self._grants *= keep
            self._contended_ms = self._contended_ms * keep + elapsed_ms
        elif elapsed_ms > _EXPIRY_MS:
            self._grants = self._contended_ms = 0.0

    def record_grant(self) -> None:
        """Count a slot that was granted, if it became free while requests were waiting."""
        if self._is_contended:
            self._grants += 1

    def set_contended(self, is_contended: bool) -> None:
        """Set whether requests wait from now on."""
        self._is_contended = is_contended

    def places_per_ms(self) -> float | None:
        """Return the rate at which slots become free, None if too little is known."""
        if self._grants < _MIN_GRANTS or self._contended_ms < _MIN_CONTENDED_MS:
            return None
        return self._grants / self._contended_ms


@dataclass(frozen=True, slots=True)
class WaitingEntry:
    """What matters of a waiting request for the estimate.

    Attributes
    ----------
    max_wait_ms, left_ms : int
        How long it waits for a slot, and how much of that is left.
    is_refusable : bool
        Whether it may be refused early.
    """

    max_wait_ms: int
    left_ms: int
    is_refusable: bool


@dataclass(frozen=True, slots=True)
class PlaceEstimate:
    """A waiting request that gets no slot in time, by its index in the order.

    Attributes
    ----------
    available_in_ms : int
        Time until a slot becomes free for it at the recent rate.
    """

    index: int
    available_in_ms: int


def is_hopeless_behind(ahead: int, max_wait_ms: int, places_per_ms: float) -> bool:
    """Return whether a request behind `ahead` others gets no slot even at twice the rate.

    Notes
    -----
    The first request of the order has a chance at any rate.
    """
    return ahead > max_wait_ms * places_per_ms * _REFUSAL_RATE_FACTOR


def hopeless(
    entries: Sequence[WaitingEntry], places_per_ms: float, slots: int
) -> Iterator[PlaceEstimate]:
    """Yield the requests that get no slot within their wait, the last in the order first.

    Parameters
    ----------
    entries : sequence of WaitingEntry
        The waiting requests in the order in which they are to start.
    places_per_ms : float
        Rate at which slots become free.
    slots : int
        Slots that may become free at once.

    Notes
    -----
    Such a request has more ahead of it than get a slot in its whole wait at twice the rate. The
    time for which it has waited is not subtracted, because requests ahead of it may become late and
    fall behind it, or give up.

    It is also behind no slot that stays idle later: enough requests remain that wait at least as
    long as it, so that twice the rate, and all slots becoming free at once, cannot use them up
    before it would have given up. A new request is therefore refused only when as many newer ones
    have come.

    Examples
    --------
    >>> entries = [WaitingEntry(100, 100, True)] * 30
    >>> [each.available_in_ms for each in hopeless(entries, 0.1, 4)]
    [300, 290, 280, 270, 260, 250]
    """
    remaining_ms = sorted(entry.left_ms for entry in entries)
    for index in range(len(entries) - 1, -1, -1):
        entry = entries[index]
        if not entry.is_refusable:
            continue
        if not is_hopeless_behind(index, entry.max_wait_ms, places_per_ms):
            continue
        position = bisect_left(remaining_ms, entry.left_ms)
        # Without the request itself.
        others = len(remaining_ms) - position - 1
        if others >= slots + entry.left_ms * places_per_ms * _REFUSAL_RATE_FACTOR:
            del remaining_ms[position]
            yield PlaceEstimate(index, round((index + 1) / places_per_ms))
