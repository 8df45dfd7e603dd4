"""Permits to send requests to upstreams that have named a limit.

The limit of an upstream is a sum over all daemons, so each request needs a permit of the dispatcher
of its slot group. Each daemon follows how many permits the others have issued, so that one that
takes over, or two that dispatch at once, do not add up to more than the limit.
"""

from collections.abc import Collection

from skylarkmoor_policy.ratelimits import TokenBucket
from skylarkmoor_policy.upstreamnotices import InstanceId

__all__ = ["PermitTable"]

# Time for which permits may be saved up. It covers the ticks of a dispatcher and moments without a
# free slot; a longer one would be a burst for an upstream in need.
_BURST_S = 0.5
# An upstream that wants fewer requests than this is still asked at this rate, because only an
# answer tells that the limit has ended.
_MIN_REQUESTS_PER_S = 0.2
# Time for which no permit is issued at most after peers have issued more than their share. Reports
# of peers that were cut off arrive all at once.
_MAX_DEBT_S = 1.0


class PermitTable:
    """Token buckets of the instances that have named a limit.

    Attributes
    ----------
    issued : dict
        Permits that this daemon has issued since it knows the limit, by instance.

    Notes
    -----
    A bucket begins empty: what was sent before the limit was known, or by another dispatcher, may
    have used it up. While peers are silent, the rate is scaled down to the fraction of the fleet
    that is reachable, because those that are cut off issue permits as well.
    """

    def __init__(self) -> None:
        self.issued: dict[InstanceId, int] = {}
        self._buckets: dict[InstanceId, TokenBucket] = {}
        self._limits_per_s: dict[InstanceId, float] = {}
        # Permits that may be saved up for instances that bear fewer than usual.
        self._sizes: dict[InstanceId, float] = {}
        self._reachable_fraction = 1.0

    def set_limit(
        self,
        instance: InstanceId,
        limit_per_s: float | None,
        now_ms: int,
        max_saved: float | None = None,
    ) -> None:
        """Set the requests per second that an instance accepts; None ends its limit.

        Parameters
        ----------
        max_saved : float or None
            Bound on the permits that may be saved up, beside the usual one.
        """
        if limit_per_s is None:
            for table in (self._limits_per_s, self._buckets, self.issued, self._sizes):
                table.pop(instance, None)
            return
        self._sizes.pop(instance, None)
        if max_saved is not None:
            self._sizes[instance] = max_saved
        self._limits_per_s[instance] = limit_per_s
        self.issued.setdefault(instance, 0)
        if instance not in self._buckets:
            self._buckets[instance] = TokenBucket(0, 0, 0)
        self._resize(instance, now_ms)

    def set_reachable_fraction(self, fraction: float, now_ms: int) -> None:
        """Set the fraction of the fleet, from 0 to 1, whose reports are recent."""
        if fraction != self._reachable_fraction:
            self._reachable_fraction = fraction
            for instance in self._buckets:
                self._resize(instance, now_ms)

    def may_issue(self, instance: InstanceId, now_ms: int) -> bool:
        """Return whether a request may be sent to an instance now."""
        bucket = self._buckets.get(instance)
        return bucket is None or bucket.has(now_ms)

    def issue(self, instance: InstanceId, now_ms: int) -> bool:
        """Use up a permit, and return whether the instance has named a limit.

        Notes
        -----
        The caller has checked `may_issue`.
        """
        bucket = self._buckets.get(instance)
        if bucket is None:
            return False
        bucket.take(now_ms)
        self.issued[instance] += 1
        return True

    def remove(self, instance: InstanceId, count: int) -> None:
        """Remove the permits that a peer has issued."""
        if instance in self._buckets:
            debt = max(1.0, self._rate_per_s(instance) * _MAX_DEBT_S)
            self._buckets[instance].remove(count, at_least=-debt)

    def reset(self, now_ms: int) -> None:
        """Empty all buckets, because this daemon has not followed its peers for some time."""
        for instance in self._buckets:
            self._buckets[instance] = TokenBucket(0, 0, 0)
            self._resize(instance, now_ms)

    def keep(self, instances: Collection[InstanceId]) -> None:
        """Forget all other instances."""
        for instance in self._buckets.keys() - set(instances):
            self.set_limit(instance, None, 0)

    def _rate_per_s(self, instance: InstanceId) -> float:
        limit_per_s = max(self._limits_per_s[instance], _MIN_REQUESTS_PER_S)
        return limit_per_s * self._reachable_fraction

    def _resize(self, instance: InstanceId, now_ms: int) -> None:
        bucket = self._buckets[instance]
        # What was earned so far, at the rate until now.
        bucket.has(now_ms)
        rate_per_s = self._rate_per_s(instance)
        size = max(1.0, rate_per_s * _BURST_S)
        bucket.resize(rate_per_s, min(size, self._sizes.get(instance, size)))
