"""Decides when each daemon of a group reads a topic of the log, so that one read serves all."""

__all__ = ["READERS", "ReadSchedule"]

# Daemons of a group, first in its order, that read regularly or wait for new records. The second
# one reads for the group as soon as the first has failed to.
READERS = 2
# Daemons that read one after the other, before all others read for themselves. If the store
# rejects some hosts, one of these is likely to reach it.
_GRADED_RANKS = 6


class ReadSchedule:
    """Time since the last read that is known, and when this daemon reads itself.

    Parameters
    ----------
    interval_ms : int
        Age of the last read at which the first daemon of the group reads.
    max_interval_ms : int
        Age at which every daemon reads for itself.

    Notes
    -----
    The age counts from the beginning of a read, of this daemon or of a peer that has passed its
    result on, so the bound on the age holds whoever reads.

    Examples
    --------
    >>> schedule = ReadSchedule(interval_ms=1_800, max_interval_ms=2_400)
    >>> schedule.due_ms(rank=0)
    0
    >>> schedule.confirm(10_000)
    >>> [schedule.due_ms(rank) for rank in (0, 1, 6, 45)]
    [11800, 11900, 12400, 12400]
    """

    def __init__(self, interval_ms: int, max_interval_ms: int) -> None:
        if max_interval_ms < interval_ms:
            raise ValueError(
                f"the maximum interval of {max_interval_ms} ms is below the interval of"
                f" {interval_ms} ms"
            )
        self._interval_ms = interval_ms
        self._max_interval_ms = max_interval_ms
        self._confirmed_ms: int | None = None

    def confirm(self, began_ms: int) -> None:
        """Record that everything that was in the topic at a time has been read."""
        if self._confirmed_ms is None or began_ms > self._confirmed_ms:
            self._confirmed_ms = began_ms

    def due_ms(self, rank: int) -> int:
        """Return when the daemon with a rank in its group reads, 0 if there was no read yet."""
        if self._confirmed_ms is None:
            return 0
        graded = min(rank, _GRADED_RANKS)
        delay_ms = (self._max_interval_ms - self._interval_ms) * graded // _GRADED_RANKS
        return self._confirmed_ms + self._interval_ms + delay_ms
