"""Model of the platform's weight store, whose rate all downloads share."""

import msgspec

from skylarkmoor_standins.faults import Count
from skylarkmoor_standins.rate import TokenBucket

__all__ = ["WeightFaults", "WeightModel"]


class WeightFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of the weight store.

    Attributes
    ----------
    outage : bool
        Downloads are refused, and those that go on stand still.
    delay_ms : int
        Downloads begin late by this time.
    missing : tuple of str
        Versions that the store does not have.
    """

    outage: bool = False
    delay_ms: Count = 0
    missing: tuple[str, ...] = ()


class WeightModel:
    """Hands out pieces of versions at a limited rate.

    Parameters
    ----------
    bytes_per_s : int
        Rate over all downloads.
    size_bytes : int
        Size of each version.
    now_ms : float
        Current time.
    """

    def __init__(self, bytes_per_s: int, size_bytes: int, now_ms: float) -> None:
        self.faults = WeightFaults()
        self.bytes_per_s = bytes_per_s
        self.size_bytes = size_bytes
        self._bucket = TokenBucket(bytes_per_s, now_ms)
        # An idle store starts with an empty bucket: a full one would give away a whole second's
        # worth, which is most of a small version.
        self._bucket.take(now_ms, bytes_per_s)

    def has(self, version: str) -> bool:
        """Return whether the store has a version."""
        return version not in self.faults.missing

    def take(self, now_ms: float, count: int) -> bool:
        """Take `count` bytes from the rate if they are there."""
        return not self.faults.outage and self._bucket.take(now_ms, count)

    def wait_ms(self, now_ms: float, count: int) -> float:
        """Return how long it takes until `count` bytes are there."""
        return self._bucket.wait_ms(now_ms, count)
