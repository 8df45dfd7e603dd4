"""Estimates when the requests that wait for the slots of a group will get one."""

from collections.abc import Iterable, Iterator
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
    """What matters of a waiting request: its longest wait, and whether it may be refused."""

    max_wait_ms: int
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


def hopeless(entries: Iterable[WaitingEntry], places_per_ms: float) -> Iterator[PlaceEstimate]:
    """Yield the requests that get no slot within their wait even at twice the recent rate.

    Parameters
    ----------
    entries : iterable of WaitingEntry
        The waiting requests in the order in which they are to start.
    places_per_ms : float
        Rate at which slots become free.

    Notes
    -----
    A request counts only those ahead of it that are not refused. These are enough to keep all slots
    busy for the whole wait of the request, so refusing it early leaves no slot idle. The time for
    which it has waited already is not subtracted: requests ahead of it may become late and fall
    behind it, or give up, so that it gets a slot in its last moments after all.

    Examples
    --------
    >>> entries = [WaitingEntry(100, True)] * 22
    >>> [each.available_in_ms for each in hopeless(entries, 0.1)]
    [220]
    """
    ahead = 0
    for index, entry in enumerate(entries):
        if entry.is_refusable and is_hopeless_behind(ahead, entry.max_wait_ms, places_per_ms):
            yield PlaceEstimate(index, round((index + 1) / places_per_ms))
        else:
            ahead += 1
