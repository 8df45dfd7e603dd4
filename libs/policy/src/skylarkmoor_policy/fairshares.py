"""Fair shares of the customers whose requests compete for slots, by recently granted work."""

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from skylarkmoor_core.ids import CustomerId, HostId, Incarnation
from skylarkmoor_policy.routetable import CustomerPolicy

__all__ = ["FairShares", "counted_work", "customer_weights"]

# Half-life of granted work. A flood of 5 to 11 s is noticed within its first seconds, and work that
# was granted before it is forgotten soon after.
_HALF_LIFE_MS = 3_000
# Multiple of its share up to which a customer does not count as above it. Work is granted in whole
# requests, so recent work is never exactly the share.
_TOLERANCE = 1.1
# Highest level: at least 16 times the share.
_MAX_LEVEL = 5
# Work counted for a request that costs less, such as a plain call, which has no tokens.
_MIN_WORK_TOKENS = 20
# Most work counted for one request, as callers state the numbers of tokens themselves. It keeps the
# cumulative counts of a process within what a message can carry.
_MAX_WORK_TOKENS = 1 << 24
# Weight of a customer whose weight is not known; weights are relative to the mean.
_MEAN_WEIGHT = 1.0
# Time without a grant after which the count of a customer is removed and begins again from zero.
# After ten half-lives, a thousandth of the work is left.
_COUNT_EXPIRY_MS = 10 * _HALF_LIFE_MS
# Work below which a customer is removed, in tokens.
_NEGLIGIBLE_TOKENS = 1.0
# Bounds the memory for the case that the configuration changes the names of customers often. The
# design size is 1,800 customers.
_MAX_CUSTOMERS = 4_096
# Customers in a report, those with the most work first: about 500 bytes.
_MAX_REPORTED_CUSTOMERS = 32
# Time for which a grant is reported, and multiple of the interval of the reports if that is longer,
# so that each grant is in at least two reports and one of them may be lost.
_MIN_REPORT_WINDOW_MS = 1_000
_REPORT_WINDOW_INTERVALS = 2.5
# Half-lives after which the scale of the sums is reset, well before they overflow.
_MAX_SCALE_HALF_LIVES = 200


def customer_weights(customers: Iterable[CustomerPolicy]) -> dict[CustomerId, float]:
    """Return the weights of customers by their limits, relative to the mean limit.

    Notes
    -----
    Limits in tokens and limits in requests are not comparable, so each kind has its own mean. A
    customer without a limit has the mean weight.

    Examples
    --------
    >>> slow = CustomerPolicy(CustomerId("slow"), (), units_per_s=1)
    >>> fast = CustomerPolicy(CustomerId("fast"), (), units_per_s=3)
    >>> customer_weights([slow, fast, CustomerPolicy(CustomerId("unlimited"), ())])
    {'slow': 0.5, 'fast': 1.5, 'unlimited': 1.0}
    """
    known = list(customers)
    rates: dict[bool, list[float]] = {True: [], False: []}
    for customer in known:
        if customer.units_per_s > 0:
            rates[customer.limits_tokens].append(customer.units_per_s)
    means = {kind: math.fsum(values) / len(values) for kind, values in rates.items() if values}
    return {
        customer.name: customer.units_per_s / means[customer.limits_tokens]
        if customer.units_per_s > 0
        else _MEAN_WEIGHT
        for customer in known
    }


def counted_work(work_tokens: float) -> int:
    """Return the work that is counted for a request of an estimated cost in prompt tokens."""
    return int(min(_MAX_WORK_TOKENS, max(_MIN_WORK_TOKENS, work_tokens)))


@dataclass(slots=True)
class _Count:
    """Cumulative work of a customer, and when it last changed."""

    total: int = 0
    changed_ms: int = 0


@dataclass(slots=True)
class _PeerCounts:
    """Counts that one process of a peer has reported.

    Attributes
    ----------
    complete_from_ms : int
        Time from which a customer without a count has had none at the peer either.
    """

    incarnation: Incarnation
    complete_from_ms: int
    counts: dict[str, _Count] = field(default_factory=dict)


class FairShares:
    """Work that the fleet has recently granted to each customer.

    Notes
    -----
    The shares are max-min fair. A customer with waiting requests wants more than it has, and one
    without has what it wants. What the latter leave is divided among the former by weight, so
    the share of a waiting customer is its part by weight of what the waiting customers together
    have had. One customer that waits alone is always at its share, which keeps the order as it
    is without contention.

    Work decays, so an idle customer is at most behind by its share of one mean lifetime of granted
    work (4.3 s), however long it was idle.
    """

    def __init__(self) -> None:
        # Sums of granted work by customer, each multiplied by 2 ** (time / half-life) since
        # `_scale_start_ms`. Only their ratios matter, so nothing has to be updated as they decay.
        self._scaled_work: dict[str, float] = {}
        self._scale_start_ms: int | None = None
        self._own: dict[str, _Count] = {}
        self._peers: dict[HostId, _PeerCounts] = {}

    def record_grant(self, customer: str, work_tokens: int, now_ms: int) -> None:
        """Count the work of a request that this daemon has granted a slot."""
        work_tokens = counted_work(work_tokens)
        count = self._own.setdefault(customer, _Count())
        count.total += work_tokens
        count.changed_ms = now_ms
        self._add(customer, work_tokens, now_ms)

    def add_peer_counts(
        self, peer: HostId, incarnation: Incarnation, counts: Mapping[str, int], now_ms: int
    ) -> None:
        """Count the work that a peer has granted since its last report.

        Parameters
        ----------
        counts : mapping of str to int
            Cumulative work by customer, as `granted_work` of the peer returns it.

        Notes
        -----
        When a peer is first heard, the times of its grants are not known, so only later ones are
        counted. A count that is lower than before has begun again from zero.
        """
        known = self._peers.get(peer)
        if known is None:
            known = self._peers[peer] = _PeerCounts(incarnation, now_ms + _COUNT_EXPIRY_MS)
        elif known.incarnation != incarnation:
            known = self._peers[peer] = _PeerCounts(incarnation, now_ms)
        for customer, total in counts.items():
            count = known.counts.get(customer)
            if count is None:
                increment = total if now_ms >= known.complete_from_ms else 0
                count = known.counts[customer] = _Count()
            else:
                increment = total - count.total if total >= count.total else total
            count.total, count.changed_ms = total, now_ms
            if increment > 0:
                self._add(customer, increment, now_ms)

    def forget_peer(self, peer: HostId) -> None:
        """Remove the counts of a peer that has left; the work that it granted stays."""
        self._peers.pop(peer, None)

    def granted_work(self, now_ms: int, report_interval_ms: int) -> dict[str, int]:
        """Return the cumulative work of customers with recent grants of this daemon."""
        window_ms = max(_MIN_REPORT_WINDOW_MS, report_interval_ms * _REPORT_WINDOW_INTERVALS)
        changed = [
            customer
            for customer, count in self._own.items()
            if now_ms - count.changed_ms <= window_ms
        ]
        reported = heapq.nlargest(
            _MAX_REPORTED_CUSTOMERS,
            changed,
            key=lambda customer: (self._scaled_work.get(customer, 0.0), customer),
        )
        return {customer: self._own[customer].total for customer in sorted(reported)}

    def levels(self, weights: Mapping[str, float]) -> dict[str, int]:
        """Return how far each of the customers that compete is above its share.

        Parameters
        ----------
        weights : mapping of str to float
            Weights of the competing customers; one that is not positive stands for the mean.

        Returns
        -------
        dict of str to int
            0 for a customer up to its share, 1 for one below twice its share, 2 for one below four
            times its share, and so on.
        """
        if len(weights) < 2:
            return dict.fromkeys(weights, 0)
        positive = {name: _positive(weight) for name, weight in weights.items()}
        work = {name: self._scaled_work.get(name, 0.0) for name in weights}
        work_per_weight = math.fsum(work.values()) / math.fsum(positive.values())
        return {name: _level(work[name], positive[name] * work_per_weight) for name in weights}

    def recent_work(self, customer: str, now_ms: int) -> float:
        """Return the decayed sum of the work granted to a customer, in tokens."""
        scale = self._scale(now_ms)
        return self._scaled_work.get(customer, 0.0) / scale

    def expire(self, now_ms: int) -> None:
        """Remove the customers whose work has decayed, and their counts."""
        scale = self._scale(now_ms)
        self._scaled_work = {
            customer: work
            for customer, work in self._scaled_work.items()
            if work >= _NEGLIGIBLE_TOKENS * scale
        }
        self._own = _unexpired(self._own, now_ms - _COUNT_EXPIRY_MS)
        for known in self._peers.values():
            # Later than at the peer, so that a count that is missing here began from zero there.
            known.counts = _unexpired(known.counts, now_ms - 2 * _COUNT_EXPIRY_MS)

    def _add(self, customer: str, work_tokens: int, now_ms: int) -> None:
        scale = self._scale(now_ms)
        self._scaled_work[customer] = self._scaled_work.get(customer, 0.0) + work_tokens * scale
        if len(self._scaled_work) > _MAX_CUSTOMERS:
            least = min(self._scaled_work, key=self._scaled_work.__getitem__)
            del self._scaled_work[least]
            self._own.pop(least, None)

    def _scale(self, now_ms: int) -> float:
        """Return the factor of work granted now; the scale of all sums is reset now and then."""
        if self._scale_start_ms is None:
            self._scale_start_ms = now_ms
        half_lives = (now_ms - self._scale_start_ms) / _HALF_LIFE_MS
        if half_lives > _MAX_SCALE_HALF_LIVES:
            factor = 2.0 ** -min(half_lives, 1_000.0)
            self._scaled_work = {name: work * factor for name, work in self._scaled_work.items()}
            self._scale_start_ms, half_lives = now_ms, 0.0
        return float(2.0**half_lives)


def _positive(weight: float) -> float:
    return weight if weight > 0 else _MEAN_WEIGHT


def _level(work: float, share: float) -> int:
    if work <= share * _TOLERANCE:
        return 0
    # A share can be too small for its inverse.
    ratio = work / share if share > 0 else math.inf
    return _MAX_LEVEL if ratio >= 2 ** (_MAX_LEVEL - 1) else 1 + int(math.log2(max(1.0, ratio)))


def _unexpired(counts: dict[str, _Count], since_ms: int) -> dict[str, _Count]:
    return {name: count for name, count in counts.items() if count.changed_ms >= since_ms}
