"""Fleet-wide limits that daemons enforce by exchanging cumulative counts."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, Incarnation, ServiceName
from skylarkmoor_policy.ratelimits import TokenBucket
from skylarkmoor_policy.routetable import CustomerPolicy

__all__ = ["FleetQuotas", "FleetRetryBudget", "PeerCounters"]

# A peer without a report for this long may be partitioned and still admit requests.
PEER_SILENT_MS = 1_000
# A peer without a report for this long is considered gone. Partitions last up to about 10 s.
PEER_EXPIRY_MS = 12_000
# Fraction of the fleet's retry budget that may be used before each daemon is limited to its own
# share. The rest covers retries that peers have sent since their last gossip report.
_SHARED_BUDGET_FRACTION = 0.5
# Fraction of the tolerance on a customer's limit that enlarges its bucket. The rest covers what
# peers admit before their reports arrive.
_TOLERANCE_FRACTION = 0.6
# The same while relays pass the reports on, which then arrive about a second late.
_RELAYED_TOLERANCE_FRACTION = 0.3
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
    # Since when its bucket is refilled, and whether it begins full.
    since_ms: int
    starts_full: bool


class FleetQuotas:
    """Enforces the rate limits of customers over all daemons.

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
    Each daemon keeps a replica of one token bucket per customer. Its own admissions are deducted
    at once, those of its peers when they are reported, also while it has no request of the
    customer itself. The daemons and the platform see requests
    in slightly different orders, so an exact bucket would refuse requests within the limit; a
    fraction of the tolerance therefore enlarges it. A sliding window instead of a bucket would
    let a customer use the units of a whole window at once, and again after a restart of all
    daemons.

    While some peers are silent, level and refill rate are scaled down to the fraction of the
    fleet that is reachable, because partitioned peers go on admitting requests.
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
        # Made when the customer is first admitted something, here or at a peer.
        self._buckets: dict[str, TokenBucket] = {}
        # Units that peers have admitted for customers that are not known here yet.
        self._unknown_units: dict[str, int] = {}
        self._reachable_fraction = 1.0
        self._is_relayed = False
        self.admitted: dict[str, int] = {}

    def set_relayed(self, is_relayed: bool) -> None:
        """Set whether relays pass the reports of the peers on, which delays them."""
        if is_relayed != self._is_relayed:
            self._is_relayed = is_relayed
            self._resize_buckets()

    def set_customers(self, customers: Iterable[CustomerPolicy], now_ms: int) -> None:
        """Apply the limits of a configuration; buckets of other customers are kept.

        Notes
        -----
        Only the limits of the first configuration may have been used up by earlier processes.
        """
        for customer in customers:
            self._learn(customer, now_ms)
            units = self._unknown_units.get(customer.name, 0)
            if units:
                self.deduct_peer_units(customer.name, units, now_ms)
        self._starts_full = True
        self._unknown_units.clear()

    def set_reachable_fraction(self, fraction: float) -> None:
        """Set the fraction of the fleet, from 0 to 1, whose reports are recent."""
        if fraction == self._reachable_fraction:
            return
        if fraction < self._reachable_fraction:
            for bucket in self._buckets.values():
                bucket.scale(fraction / self._reachable_fraction)
        self._reachable_fraction = fraction
        self._resize_buckets()

    def admit(self, customer: CustomerPolicy, units: int, now_ms: int) -> int | None:
        """Deduct the units of a request if it is within the limit.

        Returns
        -------
        int or None
            None if the request is admitted, else milliseconds until it would be.
        """
        if customer.units_per_s <= 0:
            return None
        self._learn(customer, now_ms)
        capacity = self._bucket_capacity(customer)
        bucket = self._bucket(customer.name, now_ms)
        # A request larger than the bucket is admitted when the bucket is full.
        needed = min(float(units), capacity)
        if not bucket.take(now_ms, needed):
            return max(1, bucket.wait_ms(needed))
        bucket.remove(units - needed)
        self.admitted[customer.name] = self.admitted.get(customer.name, 0) + units
        return None

    def deduct_peer_units(self, customer: str, units: int, now_ms: int) -> None:
        """Deduct units that a peer has admitted."""
        known = self._customers.get(customer)
        if known is None:
            # The peer has read a newer configuration.
            self._unknown_units[customer] = self._unknown_units.get(customer, 0) + units
        elif known.policy.units_per_s > 0:
            self._bucket(customer, now_ms).remove(units)

    def _learn(self, customer: CustomerPolicy, now_ms: int) -> None:
        known = self._customers.get(customer.name)
        if known is None:
            known = _KnownCustomer(customer, now_ms, self._starts_full)
            self._customers[customer.name] = known
        known.policy = customer

    def _bucket(self, customer: str, now_ms: int) -> TokenBucket:
        """Return the bucket of a customer with its current limit.

        Notes
        -----
        It is not made before it is needed: a gateway that starts hears of its peers before it hears
        them, and each one that is silent takes a part of all buckets.
        """
        known = self._customers[customer]
        refill_per_s = known.policy.units_per_s * self._reachable_fraction
        capacity = self._bucket_capacity(known.policy)
        bucket = self._buckets.get(customer)
        if bucket is None:
            tokens = (
                capacity
                if known.starts_full
                else self._tolerance_units(known.policy) * _RESTART_FILL_FRACTION
            )
            bucket = self._buckets[customer] = TokenBucket(refill_per_s, capacity, tokens)
            bucket.accrue(known.since_ms)
        bucket.accrue(now_ms)
        bucket.resize(refill_per_s, capacity)
        return bucket

    def _resize_buckets(self) -> None:
        for name, bucket in self._buckets.items():
            policy = self._customers[name].policy
            refill_per_s = policy.units_per_s * self._reachable_fraction
            bucket.resize(refill_per_s, self._bucket_capacity(policy))

    def _bucket_capacity(self, customer: CustomerPolicy) -> float:
        fraction = _RELAYED_TOLERANCE_FRACTION if self._is_relayed else _TOLERANCE_FRACTION
        return customer.burst_units + self._tolerance_units(customer) * fraction

    def _tolerance_units(self, customer: CustomerPolicy) -> float:
        window_units = customer.units_per_s * self._window_ms / 1_000 + customer.burst_units
        return self._overshoot_fraction * window_units + self._slack_units


class _SlidingWindow:
    """Counts requests and retries within a sliding window."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._entries: deque[tuple[int, int, int]] = deque()
        self.requests = 0
        self.retries = 0

    def add(self, requests: int, retries: int, now_ms: int) -> None:
        self._entries.append((now_ms, requests, retries))
        self.requests += requests
        self.retries += retries
        self.drop_expired(now_ms)

    def drop_expired(self, now_ms: int) -> None:
        while self._entries and self._entries[0][0] <= now_ms - self._window_ms:
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
        self._daemons = 1
        self._all_reachable = True
        self.requests: dict[str, int] = {}
        self.retries: dict[str, int] = {}

    def set_fleet_state(self, daemons: int, all_reachable: bool) -> None:
        """Set the number of daemons, and whether the reports of all of them are recent."""
        self._daemons = max(1, daemons)
        self._all_reachable = all_reachable

    def count_request(self, service: ServiceName, now_ms: int) -> None:
        """Count the first attempt of a request."""
        self.requests[service] = self.requests.get(service, 0) + 1
        self._window_for(self._own_windows, service).add(1, 0, now_ms)
        self._window_for(self._fleet_windows, service).add(1, 0, now_ms)

    def try_acquire(self, service: ServiceName, now_ms: int) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        own = self._window_for(self._own_windows, service)
        fleet = self._window_for(self._fleet_windows, service)
        own.drop_expired(now_ms)
        fleet.drop_expired(now_ms)
        own_budget = self._ratio * own.requests + self._slack / self._daemons
        within_own_budget = own.retries + 1 <= own_budget
        fleet_budget = self._ratio * fleet.requests + self._slack
        within_fleet_budget = fleet.retries + 1 <= fleet_budget * _SHARED_BUDGET_FRACTION
        if not (within_own_budget or (within_fleet_budget and self._all_reachable)):
            return False
        self.retries[service] = self.retries.get(service, 0) + 1
        own.add(0, 1, now_ms)
        fleet.add(0, 1, now_ms)
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
