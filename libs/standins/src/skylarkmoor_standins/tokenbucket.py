"""Token-bucket rate limiter."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token-bucket rate limiter whose burst size is one second of its rate.

    Parameters
    ----------
    rate_per_s : float
        Units added per second.
    now_ms : float
        Creation time, at which the bucket is full.

    Examples
    --------
    >>> bucket = TokenBucket(rate_per_s=2, now_ms=0)
    >>> [bucket.take(0), bucket.take(0), bucket.take(0), bucket.take(500)]
    [True, True, False, True]
    """

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        if rate_per_s <= 0:
            raise ValueError(f"rate_per_s must be positive, got {rate_per_s}")
        self._rate_per_s = rate_per_s
        self._available = rate_per_s
        self._refilled_ms = now_ms

    def take(self, now_ms: float, units: float = 1) -> bool:
        """Take `units` from the bucket and return true, or take none and return false."""
        self._refill(now_ms)
        if self._available < units:
            return False
        self._available -= units
        return True

    def wait_ms(self, now_ms: float, units: float) -> float:
        """Return the milliseconds until `units` are available."""
        self._refill(now_ms)
        return max(0.0, (units - self._available) / self._rate_per_s * 1000)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        self._available = min(
            self._rate_per_s, self._available + elapsed_ms / 1000 * self._rate_per_s
        )
        self._refilled_ms = max(self._refilled_ms, now_ms)
