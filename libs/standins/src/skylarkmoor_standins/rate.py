"""A token bucket."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Allows a number of units a second, with bursts of up to one second's worth.

    Parameters
    ----------
    per_s : float
        Units a second.
    now_ms : float
        Time at which the bucket is full.

    Examples
    --------
    >>> bucket = TokenBucket(per_s=2, now_ms=0)
    >>> [bucket.take(0), bucket.take(0), bucket.take(0), bucket.take(500)]
    [True, True, False, True]
    """

    def __init__(self, per_s: float, now_ms: float) -> None:
        if per_s <= 0:
            raise ValueError(f"per_s must be positive, got {per_s}")
        self._per_s = per_s
        self._level = per_s
        self._at_ms = now_ms

    def take(self, now_ms: float, units: float = 1) -> bool:
        """Take `units` if they are all there."""
        self._refill(now_ms)
        if self._level < units:
            return False
        self._level -= units
        return True

    def wait_ms(self, now_ms: float, units: float) -> float:
        """Return how long it takes until `units` are there."""
        self._refill(now_ms)
        return max(0.0, (units - self._level) / self._per_s * 1000)

    def _refill(self, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - self._at_ms)
        self._level = min(self._per_s, self._level + passed_ms / 1000 * self._per_s)
        self._at_ms = max(self._at_ms, now_ms)
