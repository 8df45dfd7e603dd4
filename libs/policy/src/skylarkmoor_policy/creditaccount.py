"""Credit that a daemon has been granted at an upstream, and the running work that uses it."""

import operator
from collections.abc import Sequence
from dataclasses import dataclass, field

from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import HostId, UpstreamId
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_policy.capacity import CostBounds
from skylarkmoor_policy.credit import LEASE_MS
from skylarkmoor_policy.tiers import demanded_costs, fit_tiers, suffix_sums

__all__ = ["CreditAccount", "fallback_share"]

_RENEWAL_INTERVAL_MS = 1_000
# Minimum time between two demands, so that the owner's answer to the first can arrive.
_MIN_DEMAND_INTERVAL_MS = 10
# A need that shrank is reported at the earliest this long after the last demand.
_SHRINK_DELAY_MS = 50
# An unanswered demand is repeated after this time if requests are waiting.
_RESEND_INTERVAL_MS = 100
# Needs relative to the last demand, as percentages, beyond which a new demand is sent before
# the next renewal.
_GROWTH_PERCENT = 125
_SHRINK_PERCENT = 75
# Delay of a preemption if the grant was computed without some of the running work, so that the
# owner can answer a complete demand.
_PREEMPTION_DELAY_MS = 100
# An owner that has left a demand unanswered for this long is considered unavailable.
_OWNER_TIMEOUT_MS = 200
# Credit that lower tiers would have to give up is divided by this to compare it with unused
# credit, so that work is preempted only if no upstream has unused credit.
_PREEMPTIBLE_CREDIT_DIVISOR = 4
# A lease is not renewed after the account has been unused for this long.
_IDLE_TIMEOUT_MS = 10_000


def _startable_costs(allowed: Sequence[int], running: Sequence[int]) -> list[int]:
    """Return the cost that may be started in each tier.

    For each tier, the cost running in it and in the lower tiers must not exceed the cost allowed
    in them. Work of lower tiers that is kept beyond their credit is not counted, because it would
    use up the credit that a higher tier was granted in its place.
    """
    tiers = len(allowed)
    rooms = [0] * tiers
    lower = 0
    for tier in range(tiers - 1, -1, -1):
        own = allowed[tier] - running[tier]
        least = free = lower + own
        for higher in range(tier - 1, -1, -1):
            free += allowed[higher] - running[higher]
            least = min(least, free)
        rooms[tier] = least
        # Work beyond the credit of its own and the lower tiers is kept but not counted.
        lower = max(0, lower + own)
    return rooms


def fallback_share(capacity: int, min_request_cost: int, live: int, rank: int) -> int:
    """Return the cost that a daemon may run without a lease.

    Parameters
    ----------
    capacity : int
        Cost that the upstream can run at once.
    min_request_cost : int
        Minimum cost of a request.
    live : int
        Number of live daemons.
    rank : int
        Index of this daemon in the upstream's rendezvous order.

    Notes
    -----
    If an even share is less than one request, the first daemons in rendezvous order get one
    request each, so that the sum of all shares does not exceed the capacity.

    Examples
    --------
    >>> fallback_share(100, 10, 4, 3)
    25
    >>> [fallback_share(20, 10, 4, rank) for rank in range(4)]
    [10, 10, 0, 0]
    """
    share = capacity // max(1, live)
    if share >= min_request_cost:
        return share
    return min_request_cost if rank < capacity // min_request_cost else 0


@dataclass(slots=True)
class _Lease:
    seq: int = -1
    owner: HostId | None = None
    allowed: tuple[int, ...] = ()
    # For each tier, the cost that may keep running in it and in the lower tiers.
    keep: list[int] = field(default_factory=list)
    expires_ms: int = -1
    answers: int = -1
    room: tuple[int, ...] = ()


@dataclass(slots=True)
class _SentDemand:
    """A demand that was sent, its recipient and the time of sending."""

    demand: Demand
    owner: HostId
    at_ms: int


class CreditAccount:
    """Credit of one daemon at one upstream, and the running work that uses it.

    Parameters
    ----------
    upstream : UpstreamId
        Id of the upstream.
    tiers : int
        Number of tiers.
    bounds : CostBounds
        Capacity bounds from the newest report of the upstream.

    Notes
    -----
    A tier may use its own credit and that of lower tiers: for each tier, the cost running in it
    and in the lower tiers is at most the cost allowed in them.
    """

    def __init__(self, upstream: UpstreamId, tiers: int, bounds: CostBounds) -> None:
        self.bounds = bounds
        self.capacity = bounds.limit
        self.has_learnt_capacity = False
        self.owner: HostId | None = None
        self._host = HostId("")
        self._members: tuple[HostId, ...] = ()
        self._rank: int | None = None
        self._upstream = upstream
        self._tiers = tiers
        self._running = [0] * tiers
        # Cost that may be started by tier, with the allowed costs it was computed from.
        self._room_cache: tuple[tuple[int, ...], list[int]] | None = None
        self._stopping = [0] * tiers
        self._waiting: tuple[int, ...] = (0,) * tiers
        self._next_request_costs: tuple[int, ...] = (1,) * tiers
        self._lease = _Lease()
        self._newest_demand: _SentDemand | None = None
        self._sent_demands: dict[int, _SentDemand] = {}
        self._unanswered_since_ms: int | None = None
        # Whether work that was kept beyond its credit has ended since the last demand.
        self._kept_work_ended = False
        self._preemption_delayed_until_ms = -1
        self._full_report_seq = -1
        self._last_active_ms = -_IDLE_TIMEOUT_MS

    def set_bounds(self, bounds: CostBounds) -> None:
        """Set new bounds and scale the learnt capacity in proportion to the limit."""
        if bounds != self.bounds:
            self.capacity = max(1, self.capacity * bounds.limit // self.bounds.limit)
            self.bounds = bounds

    def set_members(self, owner: HostId | None, host: HostId, members: tuple[HostId, ...]) -> None:
        """Set the owner of the upstream, the id of this daemon and all live daemons."""
        if owner != self.owner:
            self._unanswered_since_ms = None
        self.owner = owner
        self._host = host
        self._members = members
        self._rank = None

    def set_tiers(self, tiers: int) -> None:
        """Add tiers below the existing ones, up to `tiers` in total."""
        added = tiers - self._tiers
        self._tiers = tiers
        self._running += [0] * added
        self._room_cache = None
        self._stopping += [0] * added
        self._waiting += (0,) * added
        self._next_request_costs += (1,) * added
        self._lease.allowed += (0,) * added
        self._lease.keep += [0] * added

    @property
    def running(self) -> tuple[int, ...]:
        """Cost that this daemon runs, by tier, including attempts that are being preempted."""
        return tuple(self._running)

    @property
    def has_unreported_change(self) -> bool:
        """Whether the owner has to learn that kept work ended or that more runs than it knew of."""
        if self._newest_demand is None:
            return False
        return self._kept_work_ended or self._full_report_seq > self._newest_demand.demand.seq

    def has_valid_lease(self, now_ms: int) -> bool:
        """Return whether the lease is valid."""
        return now_ms < self._lease.expires_ms

    def allowed(self, now_ms: int) -> tuple[int, ...]:
        """Return the cost, by tier, up to which new work may be started.

        Notes
        -----
        While the owner does not answer, the remaining credit is given to this daemon's tiers from
        the highest down, as the owner would do.

        Without a lease from the current owner nothing is started until the owner answers or
        times out. Otherwise all daemons could use their fallback shares at once while the owner,
        unaware of it, has already granted the whole capacity.
        """
        silent = self._is_owner_silent(now_ms)
        if self.has_valid_lease(now_ms) and self._lease.owner == self.owner:
            allowed = self._lease.allowed
            return self._divide_by_tier(sum(allowed)) if silent else allowed
        if silent or self.owner is None:
            return self._divide_by_tier(self._fallback_cost())
        return (0,) * self._tiers

    def startable_cost(self, tier: int, now_ms: int) -> int:
        """Return the cost that may be started in a tier at `now_ms`."""
        allowed = self.allowed(now_ms)
        if self._room_cache is None or self._room_cache[0] is not allowed:
            self._room_cache = allowed, _startable_costs(allowed, self._running)
        return self._room_cache[1][tier]

    def attainable_costs(self, now_ms: int) -> list[float]:
        """Estimate, by tier, the cost that can be started here or after asking the owner."""
        rooms = [self.startable_cost(tier, now_ms) for tier in range(self._tiers)]
        if self.has_valid_lease(now_ms) and self._lease.room:
            room = fit_tiers(self._lease.room, self._tiers)
            spare = room[-1]
            hints = tuple(spare + (each - spare) / _PREEMPTIBLE_CREDIT_DIVISOR for each in room)
        else:
            allowed = self.allowed(now_ms)
            hints = tuple(map(operator.sub, allowed, self._running))
        return list(map(max, rooms, hints))

    def may_preempt_lower_tiers(self, tier: int, now_ms: int) -> bool:
        """Return whether lower-tier work that a tier could preempt may be running.

        Without a report from the owner such work is assumed to run.
        """
        if not self.has_valid_lease(now_ms) or not self._lease.room:
            return True
        return fit_tiers(self._lease.room, self._tiers)[tier] >= self.bounds.min_request_cost

    def record_start(self, tier: int, cost: int, now_ms: int) -> None:
        """Record that an attempt was started."""
        self._running[tier] += cost
        self._room_cache = None
        self._last_active_ms = now_ms

    def record_preemption(self, tier: int, cost: int) -> None:
        """Record that an attempt is being preempted."""
        self._stopping[tier] += cost

    def record_end(self, tier: int, cost: int, stopping: bool) -> None:
        """Record that an attempt ended."""
        allowed = self._lease.allowed[tier] if self._lease.allowed else 0
        self._kept_work_ended = self._kept_work_ended or self._running[tier] > allowed
        self._running[tier] -= cost
        self._room_cache = None
        if stopping:
            self._stopping[tier] -= cost

    def excess(self, now_ms: int) -> list[tuple[int, int]]:
        """Return pairs of a tier and the cost to preempt in it and the lower tiers."""
        if self.has_valid_lease(now_ms) and not self._is_owner_silent(now_ms):
            allowed = list(map(max, suffix_sums(self._lease.allowed), self._lease.keep))
        elif self.has_valid_lease(now_ms):
            allowed = suffix_sums(self.allowed(now_ms))
        else:
            allowed = suffix_sums(self._divide_by_tier(self._fallback_cost()))
        live = [run - stop for run, stop in zip(self._running, self._stopping, strict=True)]
        pairs = zip(suffix_sums(live), allowed, strict=True)
        exceeded = [(tier, run - allow) for tier, (run, allow) in enumerate(pairs) if run > allow]
        if self.has_valid_lease(now_ms) and now_ms < self._preemption_delayed_until_ms:
            return []
        return exceeded[::-1]

    def set_waiting(self, waiting: tuple[int, ...], next_request_costs: tuple[int, ...]) -> None:
        """Set, by tier, the cost waiting for this upstream and the cost of the next request."""
        self._waiting = waiting
        self._next_request_costs = next_request_costs

    def apply_grant(self, sender: HostId, grant: Grant, now_ms: int) -> bool:
        """Apply a grant; return False if it is stale or not from the owner."""
        if sender != self.owner:
            return False
        if self._lease.owner == sender and grant.seq <= self._lease.seq:
            return False
        answered = self._sent_demands.get(grant.answers)
        if answered is None:
            return False
        self._lease = _Lease(
            grant.seq,
            sender,
            fit_tiers(grant.allowed, self._tiers),
            suffix_sums(fit_tiers(grant.keep or grant.allowed, self._tiers)),
            answered.at_ms + grant.lease_ms,
            grant.answers,
            grant.room,
        )
        newest = self._newest_demand
        if newest is not None:
            self._unanswered_since_ms = None if newest is answered else newest.at_ms
        if grant.capacity > 0:
            self.capacity = min(grant.capacity, self.bounds.limit)
            self.has_learnt_capacity = True
        self._delay_preemption(now_ms)
        return True

    def is_demand_due(self, now_ms: int) -> bool:
        """Return whether a new demand has to be sent to the owner now."""
        if self.owner is None:
            return False
        needed = any(self._running) or any(self._waiting)
        if needed:
            self._last_active_ms = now_ms
        active = now_ms - self._last_active_ms < _IDLE_TIMEOUT_MS
        sent = self._newest_demand
        if sent is None or sent.owner != self.owner:
            return sent is None or active
        age_ms = now_ms - sent.at_ms
        if age_ms >= _RENEWAL_INTERVAL_MS:
            return active
        if self.has_unreported_change:
            return True
        if age_ms < _MIN_DEMAND_INTERVAL_MS:
            return False
        if (
            age_ms >= _RESEND_INTERVAL_MS
            and self._unanswered_since_ms is not None
            and any(self._waiting)
        ):
            return True
        if self._need_grew(sent.demand):
            return True
        return age_ms >= _SHRINK_DELAY_MS and self._need_shrank(sent.demand)

    def next_demand(self, pressure_percent: int, now_ms: int) -> Demand:
        """Return the demand to send to the owner now."""
        if self.owner is None:
            raise ValueError(f"upstream {self._upstream!r} has no owner")
        # Sequence numbers follow the clock, so that they keep increasing after a restart.
        last = self._newest_demand.demand.seq if self._newest_demand is not None else -1
        seq = max(last + 1, now_ms)
        demand = Demand(
            self._upstream,
            seq,
            self.running,
            self._waiting,
            pressure_percent,
            self._next_request_costs,
        )
        self._newest_demand = _SentDemand(demand, self.owner, now_ms)
        self._kept_work_ended = False
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        recent = {
            each: sent
            for each, sent in self._sent_demands.items()
            if now_ms - sent.at_ms < LEASE_MS
        }
        self._sent_demands = recent | {seq: self._newest_demand}
        return demand

    def _fallback_cost(self) -> int:
        if self._rank is None:
            order = rendezvous_order(self._upstream, self._members)
            self._rank = order.index(self._host) if self._host in order else 0
        return fallback_share(
            self.capacity, self.bounds.min_request_cost, len(self._members), self._rank
        )

    def _divide_by_tier(self, remaining: int) -> tuple[int, ...]:
        costs = []
        for running, waiting in zip(self._running, self._waiting, strict=True):
            cost = min(remaining, running + waiting)
            costs.append(cost)
            remaining -= cost
        costs[-1] += remaining
        return tuple(costs)

    def _is_owner_silent(self, now_ms: int) -> bool:
        return (
            self._unanswered_since_ms is not None
            and now_ms - self._unanswered_since_ms > _OWNER_TIMEOUT_MS
        )

    def _delay_preemption(self, now_ms: int) -> None:
        """Delay preemption if the grant was computed without some of the running work.

        The owner does not know of work that was started on unused credit since the last demand.
        It may have granted that credit to another daemon, and the work would be preempted
        needlessly.
        """
        if 0 <= self._full_report_seq <= self._lease.answers:
            self._full_report_seq = -1
            self._preemption_delayed_until_ms = -1
            return
        if self._full_report_seq >= 0 or self._newest_demand is None:
            return
        running = suffix_sums(self._running)
        known = suffix_sums(
            fit_tiers(self._sent_demands[self._lease.answers].demand.running, self._tiers)
        )
        newest = suffix_sums(fit_tiers(self._newest_demand.demand.running, self._tiers))
        unreported_tiers = [tier for tier, _ in self.excess(now_ms) if running[tier] > known[tier]]
        if unreported_tiers:
            reported = all(newest[tier] >= running[tier] for tier in unreported_tiers)
            self._full_report_seq = self._newest_demand.demand.seq + (0 if reported else 1)
            self._preemption_delayed_until_ms = now_ms + _PREEMPTION_DELAY_MS

    def _need_grew(self, sent: Demand) -> bool:
        """Return whether a tier's need exceeds the last demand enough to send a new one."""
        demanded = demanded_costs(sent, self._tiers)
        granted = fit_tiers(self._lease.allowed, self._tiers)
        for tier, waiting in enumerate(self._waiting):
            need = self._running[tier] + waiting
            satisfied = demanded[tier] <= granted[tier]
            exceeds_threshold = need * 100 > demanded[tier] * _GROWTH_PERCENT
            if waiting and need > demanded[tier] and (satisfied or exceeds_threshold):
                return True
        return False

    def _need_shrank(self, sent: Demand) -> bool:
        before = demanded_costs(sent, self._tiers)
        now = [run + wait for run, wait in zip(self._running, self._waiting, strict=True)]
        return any(
            new * 100 < old * _SHRINK_PERCENT
            for new, old in zip(suffix_sums(now), suffix_sums(before), strict=True)
        )
