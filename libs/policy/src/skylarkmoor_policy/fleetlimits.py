"""Fleet-wide limits that daemons enforce by exchanging cumulative counts."""

import math
import sys
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, Incarnation, ServiceName
from skylarkmoor_policy.limitshares import limit_group
from skylarkmoor_policy.ratelimits import TokenBucket
from skylarkmoor_policy.routetable import CustomerPolicy

__all__ = ["FleetQuotas", "FleetRetryBudget", "PeerCounters"]

# A peer without a report for this long may be partitioned and still admit requests.
PEER_SILENT_MS = 1_000
# A peer without a report for this long is considered gone. Partitions last up to about 10 s.
PEER_EXPIRY_MS = 12_000
# Fraction of the fleet's retry budget that may be used before each daemon is limited to its own
# share. The rest covers the estimate of the retries that peers have sent since their last report.
_SHARED_BUDGET_FRACTION = 0.5
# Fraction of the fleet's retry budget from which on it counts as used up. The rest covers daemons
# that retry more than this one.
_SPENT_BUDGET_FRACTION = 0.9
# Fraction of its own share that a daemon may use while the fleet's budget is used up.
_OVERDRAWN_SHARE_FRACTION = 0.5
# Fraction of the tolerance on a customer's limit that enlarges its bucket. The rest covers
# restarts, and the time until all daemons agree on the holders of a share.
_TOLERANCE_FRACTION = 0.6
# Fraction of the tolerance that buckets hold after a restart, so that customers within their
# limit are not refused. Together with the fraction above, it stays below the whole tolerance even
# if all daemons are killed during a flood of requests.
_RESTART_FILL_FRACTION = 0.2


class PeerCounters:
    """Converts the cumulative counts that peers report into increments.

    Parameters
    ----------
    complete : bool
        Whether each report has all counts of the peer, so that one that it lacks is zero.
    """

    def __init__(self, *, complete: bool = False) -> None:
        self._complete = complete
        self._last_counts: dict[tuple[HostId, str], tuple[Incarnation, int]] = {}
        self._reported: set[HostId] = set()

    def increments(
        self, peer: HostId, incarnation: Incarnation, counts: Mapping[str, int]
    ) -> dict[str, int]:
        """Return the increment of each count since the last report of the peer.

        Notes
        -----
        The first report of an incarnation counts from zero if an earlier incarnation is known.
        Otherwise this daemon has just started and cannot tell when the requests were counted, so
        that only later increments are returned. A count that an earlier, complete report of the
        peer lacked began after that report.
        """
        increases = {}
        is_known = self._complete and peer in self._reported
        for name, value in counts.items():
            known = self._last_counts.get((peer, name), (incarnation, 0) if is_known else None)
            if known is not None:
                previous = known[1] if known[0] == incarnation else 0
                if value > previous:
                    increases[name] = value - previous
            self._last_counts[(peer, name)] = (incarnation, value)
        self._reported.add(peer)
        return increases


@dataclass(slots=True)
class _KnownCustomer:
    policy: CustomerPolicy
    group: int
    # Since when its bucket is refilled, and whether it begins full.
    since_ms: int
    starts_full: bool


class FleetQuotas:
    """The shares of the customers' rate limits that this daemon holds.

    Parameters
    ----------
    window_ms : int
        Length of the sliding window over which the platform checks the limit.
    overshoot_fraction : float
        Fraction by which the fleet may exceed the limit in a window.
    slack_units : float
        Units by which the fleet may exceed the limit in addition.
    first_start : bool
        Whether the whole system starts for the first time. Otherwise buckets start nearly
        empty, because earlier processes may have used them up.

    Notes
    -----
    A few daemons hold equal shares of each limit, each as a token bucket of its own. A request is
    admitted with units of these buckets only, so the fleet keeps to the limit however late its
    daemons hear of each other. Without `set_shares` this daemon holds all limits alone.

    The daemons and the platform see requests in slightly different orders, so an exact bucket
    would refuse requests within the limit; a fraction of the tolerance therefore enlarges it. A
    sliding window instead of a bucket would let a customer use the units of a whole window at
    once, and again after a restart of all daemons.
    """

    def __init__(
        self,
        window_ms: int = 8_000,
        overshoot_fraction: float = 0.0,
        slack_units: float = 0,
        *,
        first_start: bool = True,
    ) -> None:
        self._window_ms = window_ms
        self._overshoot_fraction = overshoot_fraction
        self._slack_units = slack_units
        # Whether the buckets of new customers begin full, as no earlier process can have used them.
        self._starts_full = first_start
        self._customers: dict[str, _KnownCustomer] = {}
        # Made when a customer is first granted something.
        self._buckets: dict[str, TokenBucket] = {}
        # Units that daemons of older builds have admitted for customers not known here yet.
        self._unknown_units: dict[str, int] = {}
        # Fraction of the limits that is held here, by group of customers; None for all of them.
        self._shares: Mapping[int, float] | None = None
        # When shares were taken over from other hosts, whose last grants are not known.
        self._taken_over_ms: dict[int, int] = {}
        # Units of the requests that this daemon has sent, by customer.
        self.admitted: dict[str, int] = {}

    def set_customers(self, customers: Iterable[CustomerPolicy], now_ms: int) -> None:
        """Apply the limits of a configuration; buckets of other customers are kept.

        Notes
        -----
        Only the limits of the first configuration may have been used up by earlier processes.
        """
        for customer in customers:
            self._learn(customer, now_ms).policy = customer
            units = self._unknown_units.get(customer.name, 0)
            if units:
                self.deduct_peer_units(customer.name, units, now_ms)
        self._starts_full = True
        self._unknown_units.clear()

    def set_shares(self, shares: Mapping[int, float], now_ms: int) -> None:
        """Set the fraction of the limits that this daemon holds, by group of customers.

        Notes
        -----
        A share that is taken over begins empty: its last holder may have granted all of it. A
        share that becomes smaller takes its part of the units along.
        """
        first = self._shares is None
        before, self._shares = self._shares or {}, shares
        for group in shares.keys() - before.keys() if not first else ():
            self._taken_over_ms[group] = now_ms
        for name, bucket in list(self._buckets.items()):
            known = self._customers[name]
            share = shares.get(known.group, 0.0)
            share_before = 1.0 if first else before.get(known.group, 0.0)
            if share == 0.0 or share_before == 0.0:
                del self._buckets[name]
            elif share != share_before:
                bucket.accrue(now_ms)
                bucket.scale(min(1.0, share / share_before))
                capacity = self.share_capacity(known.policy, share)
                bucket.resize(known.policy.units_per_s * share, capacity)

    def needed_units(self, customer: CustomerPolicy, units: int) -> int:
        """Return the units that must be available for a request.

        Notes
        -----
        A request that is larger than the whole limit allows at once is admitted when nothing of
        it is used; the rest is deducted afterwards.
        """
        return _whole_units(units, self._whole_capacity(customer))

    def admit(self, customer: CustomerPolicy, units: int, now_ms: int) -> int | None:
        """Admit a request if the share of this daemon alone has the units for it.

        Returns
        -------
        int or None
            None if the request is admitted, else milliseconds until it would be.
        """
        if customer.units_per_s <= 0:
            return None
        known = self._learn(customer, now_ms)
        known.policy = customer
        bucket = self._bucket(known, now_ms)
        needed = self.needed_units(customer, units)
        if bucket is None or not bucket.take(now_ms, needed):
            return 1 if bucket is None else max(1, bucket.wait_ms(needed))
        bucket.remove(units - needed)
        self.count_admitted(customer.name, units)
        return None

    def take(
        self, customer: CustomerPolicy, units: int, now_ms: int, *, least_units: int = 0
    ) -> int:
        """Take up to a number of units out of the share, and return how many were taken.

        Parameters
        ----------
        least_units : int
            Units below which none are taken.

        Notes
        -----
        The limit that is known here applies; that of `customer` only if there is none.
        """
        known = self._learn(customer, now_ms)
        bucket = self._bucket(known, now_ms)
        if bucket is None:
            return 0
        if known.policy.units_per_s <= 0:
            return units
        taken = _whole_units(units, bucket.tokens)
        if taken < least_units:
            return 0
        bucket.remove(taken)
        return taken

    def give_back(self, customer: str, units: int, now_ms: int) -> None:
        """Return units that were taken but not used; deduct them if the number is negative."""
        known = self._customers.get(customer)
        bucket = None if known is None else self._bucket(known, now_ms)
        if bucket is not None and units < 0:
            bucket.remove(-units)
        elif bucket is not None:
            bucket.add(units)

    def left(self, customer: str, now_ms: int) -> int:
        """Return the units that the share has left; negative if more were deducted."""
        known = self._customers.get(customer)
        bucket = None if known is None else self._bucket(known, now_ms)
        if bucket is None:
            return 0
        return int(bucket.tokens) if math.isfinite(bucket.tokens) else sys.maxsize

    def count_admitted(self, customer: str, units: int) -> None:
        """Count the units of a request, which daemons of older builds deduct from the limit."""
        self.admitted[customer] = self.admitted.get(customer, 0) + units

    def deduct_peer_units(self, customer: str, units: int, now_ms: int) -> None:
        """Deduct units that a daemon of an older build has admitted without asking for them."""
        known = self._customers.get(customer)
        if known is None:
            # The peer has read a newer configuration.
            self._unknown_units[customer] = self._unknown_units.get(customer, 0) + units
        elif known.policy.units_per_s > 0:
            bucket = self._bucket(known, now_ms)
            if bucket is not None:
                bucket.remove(units * self._share(known.group))

    def share_capacity(self, customer: CustomerPolicy, share: float) -> float:
        """Return the most units that a share of a limit can have."""
        return self._whole_capacity(customer) * share

    def _learn(self, customer: CustomerPolicy, now_ms: int) -> _KnownCustomer:
        known = self._customers.get(customer.name)
        if known is None:
            group = limit_group(customer.name)
            known = _KnownCustomer(customer, group, now_ms, self._starts_full)
            self._customers[customer.name] = known
        return known

    def _share(self, group: int) -> float:
        return 1.0 if self._shares is None else self._shares.get(group, 0.0)

    def _bucket(self, known: _KnownCustomer, now_ms: int) -> TokenBucket | None:
        """Return the bucket of a customer with its current limit, None if no share is held."""
        share = self._share(known.group)
        if share == 0.0:
            return None
        refill_per_s = known.policy.units_per_s * share
        capacity = self.share_capacity(known.policy, share)
        bucket = self._buckets.get(known.policy.name)
        if bucket is None:
            since_ms, tokens = known.since_ms, 0.0
            taken_over_ms = self._taken_over_ms.get(known.group)
            if taken_over_ms is not None and taken_over_ms >= known.since_ms:
                since_ms = taken_over_ms
            elif known.starts_full:
                tokens = capacity
            else:
                tokens = self._tolerance_units(known.policy) * _RESTART_FILL_FRACTION * share
            bucket = TokenBucket(refill_per_s, capacity, tokens)
            self._buckets[known.policy.name] = bucket
            bucket.accrue(since_ms)
        bucket.accrue(now_ms)
        bucket.resize(refill_per_s, capacity)
        return bucket

    def _whole_capacity(self, customer: CustomerPolicy) -> float:
        return customer.burst_units + self._tolerance_units(customer) * _TOLERANCE_FRACTION

    def _tolerance_units(self, customer: CustomerPolicy) -> float:
        window_units = customer.units_per_s * self._window_ms / 1_000 + customer.burst_units
        return self._overshoot_fraction * window_units + self._slack_units


def _whole_units(wanted: int, available: float) -> int:
    """Return how many of the wanted units are available."""
    return wanted if available >= wanted else max(0, int(available))


class _SlidingWindow:
    """Counts requests and retries within a sliding window."""

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self._entries: deque[tuple[int, int, int]] = deque()
        self.requests = 0
        self.retries = 0

    def add(self, requests: int, retries: int, now_ms: int) -> None:
        self._entries.append((now_ms, requests, retries))
        self.requests += requests
        self.retries += retries
        self.drop_expired(now_ms)

    def drop_expired(self, now_ms: int) -> None:
        while self._entries and self._entries[0][0] <= now_ms - self.window_ms:
            _, requests, retries = self._entries.popleft()
            self.requests -= requests
            self.retries -= retries


class FleetRetryBudget:
    """Retry budgets of the services, shared by all daemons.

    Parameters
    ----------
    ratio : float
        Retries allowed per request within the window.
    window_ms : int
        Length of the sliding window.
    slack : float
        Retries allowed in each window in addition.
    """

    def __init__(self, ratio: float, window_ms: int, slack: float) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack
        self._own_windows: dict[ServiceName, _SlidingWindow] = {}
        self._fleet_windows: dict[ServiceName, _SlidingWindow] = {}
        # Retries of this daemon that peers are not sure to have heard of.
        self._recent_retries: dict[ServiceName, _SlidingWindow] = {}
        self._daemons = 1
        self._all_reachable = True
        self._report_delay_ms = 0
        self.requests: dict[str, int] = {}
        self.retries: dict[str, int] = {}

    def set_fleet_state(self, daemons: int, all_reachable: bool, report_delay_ms: int) -> None:
        """Set the state of the fleet.

        Parameters
        ----------
        daemons : int
            Number of daemons.
        all_reachable : bool
            Whether the reports of all of them are recent.
        report_delay_ms : int
            Longest time until all daemons have heard of a retry.
        """
        self._daemons = max(1, daemons)
        self._all_reachable = all_reachable
        self._report_delay_ms = report_delay_ms

    def count_request(self, service: ServiceName, now_ms: int) -> None:
        """Count the first attempt of a request."""
        self.requests[service] = self.requests.get(service, 0) + 1
        self._window_for(self._own_windows, service).add(1, 0, now_ms)
        self._window_for(self._fleet_windows, service).add(1, 0, now_ms)

    def try_acquire(self, service: ServiceName, now_ms: int) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        Notes
        -----
        What makes requests of one daemon fail often does so at its peers, so each of them is taken
        to have sent as many retries as this daemon since its last report.
        """
        own = self._window_for(self._own_windows, service)
        fleet = self._window_for(self._fleet_windows, service)
        recent = self._window_for(self._recent_retries, service)
        recent.window_ms = self._report_delay_ms
        for window in (own, fleet, recent):
            window.drop_expired(now_ms)
        fleet_budget = self._ratio * fleet.requests + self._slack
        fleet_retries = fleet.retries + recent.retries * (self._daemons - 1) + 1
        own_budget = self._ratio * own.requests + self._slack / self._daemons
        is_spent = fleet_retries > fleet_budget * _SPENT_BUDGET_FRACTION
        if self._daemons > 1 and self._all_reachable and is_spent:
            # Other daemons have used more than their own shares.
            own_budget *= _OVERDRAWN_SHARE_FRACTION
        is_shared_available = fleet_retries <= fleet_budget * _SHARED_BUDGET_FRACTION
        if own.retries + 1 > own_budget and not (is_shared_available and self._all_reachable):
            return False
        self.retries[service] = self.retries.get(service, 0) + 1
        for window in (own, fleet, recent):
            window.add(0, 1, now_ms)
        return True

    def add_peer_counts(self, service: str, requests: int, retries: int, now_ms: int) -> None:
        """Count requests and retries that a peer has sent."""
        self._window_for(self._fleet_windows, ServiceName(service)).add(requests, retries, now_ms)

    def _window_for(
        self, windows: dict[ServiceName, _SlidingWindow], service: ServiceName
    ) -> _SlidingWindow:
        if service not in windows:
            windows[service] = _SlidingWindow(self._window_ms)
        return windows[service]
