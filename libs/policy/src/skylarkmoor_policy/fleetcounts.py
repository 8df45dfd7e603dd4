"""Limits that all daemons keep together by telling each other cumulative counts."""

from collections import deque
from collections.abc import Mapping

from skylarkmoor_core.ids import HostId, Incarnation, ServiceName
from skylarkmoor_policy.limits import TokenBucket
from skylarkmoor_policy.routetable import ApiCustomer

__all__ = ["FleetQuotas", "FleetRetries", "PeerCounts"]

# A peer that was not heard for this long may be cut off and still admit requests.
SILENT_MS = 1_000
# A peer that was not heard for this long is taken to be gone. Cuts last up to about 10 s.
GONE_MS = 12_000
# Part of the retry budget used before this daemon keeps to its own share, because what the
# peers sent within the last gossip round is not known yet.
_SHARED_BUDGET_PART = 0.5
# Part of the tolerance on a customer's limit that is used; the rest covers what peers admit
# before they hear of each other.
_TOLERANCE_PART = 0.6
# Part of the tolerance with which buckets start after a restart, so that customers within their
# limit are not refused. With the part above it stays below the whole tolerance even if all
# daemons are killed in a flood.
_RESTART_PART = 0.2


class PeerCounts:
    """The growth of counts that other daemons report as cumulative values."""

    def __init__(self) -> None:
        self._seen: dict[tuple[HostId, str], tuple[Incarnation, int]] = {}

    def growth(
        self, peer: HostId, incarnation: Incarnation, counts: Mapping[str, int]
    ) -> dict[str, int]:
        """Return by how much each count has grown since the last report of the peer.

        Notes
        -----
        The first report of an incarnation counts from zero if an earlier incarnation is known.
        Otherwise this daemon has just started and cannot tell how old the count is, so that
        only later growth counts.
        """
        grown = {}
        for name, value in counts.items():
            known = self._seen.get((peer, name))
            if known is not None:
                before = known[1] if known[0] == incarnation else 0
                if value > before:
                    grown[name] = value - before
            self._seen[(peer, name)] = (incarnation, value)
        return grown


class FleetQuotas:
    """Customers' limits over all daemons.

    Parameters
    ----------
    window_ms : int
        Length of the sliding window in which the platform checks the limit.
    overshoot_part : float
        Part by which the fleet may exceed the limit in a window.
    slack_units : int
        Units by which it may exceed the limit besides.
    first_start : bool
        Whether nothing was admitted before this process. Otherwise buckets start nearly
        empty, because processes that were killed may have used them up.

    Notes
    -----
    Each daemon mirrors one bucket a customer: its own admissions are taken off at once, those
    of its peers when they report them. The daemons and the platform see requests in slightly
    different orders, so an exact bucket refuses requests that were within the limit; a part of
    the tolerance makes it larger. A sliding window instead of a bucket would let a customer use
    a whole window's units at once, and again after a restart of all daemons.

    While some peers are silent, level and refill are cut to the part of the fleet that is
    heard, because peers that are cut off go on admitting.
    """

    def __init__(
        self,
        window_ms: int = 8_000,
        overshoot_part: float = 0.0,
        slack_units: int = 0,
        *,
        first_start: bool = True,
    ) -> None:
        self._window_ms = window_ms
        self._overshoot_part = overshoot_part
        self._slack_units = slack_units
        self._first_start = first_start
        self._buckets: dict[str, TokenBucket] = {}
        self._part = 1.0
        self.admitted: dict[str, int] = {}

    def set_heard_part(self, part: float) -> None:
        """Set the part of the fleet, from 0 to 1, whose reports are fresh."""
        if part < self._part:
            for bucket in self._buckets.values():
                bucket.scale(part / self._part)
        self._part = part

    def admit(self, customer: ApiCustomer, units: int, now_ms: int) -> int | None:
        """Take a request's units.

        Returns
        -------
        int or None
            None if the request is within the limit, else milliseconds until it would be.
        """
        if customer.units_per_s <= 0:
            return None
        per_s = customer.units_per_s * self._part
        size = self._size(customer)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            tokens = size if self._first_start else self._tolerance(customer) * _RESTART_PART
            bucket = self._buckets[customer.name] = TokenBucket(per_s, size, tokens)
        bucket.resize(per_s, size)
        # A request larger than the bucket passes when the bucket is full.
        needed = min(float(units), size)
        if not bucket.take(now_ms, needed):
            return max(1, bucket.wait_ms(needed))
        bucket.remove(units - needed)
        self.admitted[customer.name] = self.admitted.get(customer.name, 0) + units
        return None

    def peer_admitted(self, customer: str, units: int) -> None:
        """Take off what a peer has admitted."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.remove(units)

    def _size(self, customer: ApiCustomer) -> float:
        return customer.burst_units + self._tolerance(customer) * _TOLERANCE_PART

    def _tolerance(self, customer: ApiCustomer) -> float:
        in_window = customer.units_per_s * self._window_ms / 1_000 + customer.burst_units
        return self._overshoot_part * in_window + self._slack_units


class _Window:
    """Counts of requests and of repeats within a sliding window."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._entries: deque[tuple[int, int, int]] = deque()
        self.requests = 0
        self.repeats = 0

    def add(self, requests: int, repeats: int, now_ms: int) -> None:
        self._entries.append((now_ms, requests, repeats))
        self.requests += requests
        self.repeats += repeats
        self.trim(now_ms)

    def trim(self, now_ms: int) -> None:
        while self._entries and self._entries[0][0] <= now_ms - self._window_ms:
            _, requests, repeats = self._entries.popleft()
            self.requests -= requests
            self.repeats -= repeats


class FleetRetries:
    """The budget of repeated sends to a service, shared by all daemons.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request within the window.
    window_ms : int
        Length of the sliding window.
    slack : int
        Repeats allowed in each window besides.
    """

    def __init__(self, ratio: float, window_ms: int, slack: int) -> None:
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack
        self._own: dict[ServiceName, _Window] = {}
        self._fleet: dict[ServiceName, _Window] = {}
        self._daemons = 1
        self._all_heard = True
        self.requests: dict[str, int] = {}
        self.repeats: dict[str, int] = {}

    def set_fleet(self, daemons: int, all_heard: bool) -> None:
        """Set the number of daemons, and whether all of them are heard."""
        self._daemons = max(1, daemons)
        self._all_heard = all_heard

    def count_request(self, service: ServiceName, now_ms: int) -> None:
        """Count the first send of a request."""
        self.requests[service] = self.requests.get(service, 0) + 1
        self._window(self._own, service).add(1, 0, now_ms)
        self._window(self._fleet, service).add(1, 0, now_ms)

    def take(self, service: ServiceName, now_ms: int) -> bool:
        """Count a repeated send if the budget allows it and return whether it does."""
        own = self._window(self._own, service)
        fleet = self._window(self._fleet, service)
        own.trim(now_ms)
        fleet.trim(now_ms)
        share = self._ratio * own.requests + self._slack / self._daemons
        within_share = own.repeats + 1 <= share
        budget = self._ratio * fleet.requests + self._slack
        within_budget = fleet.repeats + 1 <= budget * _SHARED_BUDGET_PART
        if not (within_share or (within_budget and self._all_heard)):
            return False
        self.repeats[service] = self.repeats.get(service, 0) + 1
        own.add(0, 1, now_ms)
        fleet.add(0, 1, now_ms)
        return True

    def peer_counted(self, service: str, requests: int, repeats: int, now_ms: int) -> None:
        """Count what a peer has sent."""
        self._window(self._fleet, ServiceName(service)).add(requests, repeats, now_ms)

    def _window(self, windows: dict[ServiceName, _Window], service: ServiceName) -> _Window:
        if service not in windows:
            windows[service] = _Window(self._window_ms)
        return windows[service]
