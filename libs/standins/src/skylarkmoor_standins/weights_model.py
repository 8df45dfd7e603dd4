"""Model of the platform's weight store, whose bandwidth all downloads share."""

import msgspec

from skylarkmoor_standins.fault_settings import NonNegativeInt
from skylarkmoor_standins.tokenbucket import TokenBucket

__all__ = ["WeightFaults", "WeightModel"]


class WeightFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that the weight store injects.

    Attributes
    ----------
    outage : bool
        New downloads are refused and running ones make no progress.
    delay_ms : int
        Delay before a download starts.
    missing : tuple of str
        Versions for which the store answers 404.
    """

    outage: bool = False
    delay_ms: NonNegativeInt = 0
    missing: tuple[str, ...] = ()


class WeightModel:
    """Rate limiter over all downloads, with the size of versions and the injected faults.

    Parameters
    ----------
    bytes_per_s : int
        Total rate of all downloads together.
    size_bytes : int
        Size of the weights of each version.
    now_ms : float
        Current time, at which the rate limiter's bucket is empty.
    """

    def __init__(self, bytes_per_s: int, size_bytes: int, now_ms: float) -> None:
        self.faults = WeightFaults()
        self.bytes_per_s = bytes_per_s
        self.size_bytes = size_bytes
        self._bucket = TokenBucket(bytes_per_s, now_ms)
        # Starts with an empty bucket: a full one would let the first second of the rate pass at
        # once, which is most of a small version.
        self._bucket.take(now_ms, bytes_per_s)

    def has_version(self, version: str) -> bool:
        """Return whether the store can serve a version."""
        return version not in self.faults.missing

    def take(self, now_ms: float, count: int) -> bool:
        """Take `count` bytes from the rate limiter; return false if it cannot grant them."""
        return not self.faults.outage and self._bucket.take(now_ms, count)

    def wait_ms(self, now_ms: float, count: int) -> float:
        """Return the milliseconds until the rate limiter can grant `count` bytes."""
        return self._bucket.wait_ms(now_ms, count)
