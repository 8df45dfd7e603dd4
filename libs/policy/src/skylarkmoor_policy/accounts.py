"""The credit that a daemon has at an upstream, and what uses it."""

import operator
from collections.abc import Sequence
from dataclasses import dataclass, field

from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import HostId, UpstreamId
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_policy.capacity import Bounds
from skylarkmoor_policy.credit import LEASE_MS
from skylarkmoor_policy.tiers import fit_tiers, needs, suffix_sums

__all__ = ["CreditAccount", "fallback_share"]

_RENEW_MS = 1_000
# Least time between two demands: the owner's answer to the first is on its way.
_URGENT_MS = 10
_RELEASE_MS = 50
# A demand without answer is repeated after this time if something waits.
_RESEND_MS = 100
# A need that grew by less than this is sent with the next renewal.
_GROWTH_PERCENT = 125
_SHRINK_PERCENT = 75
# How long a preemption waits for an answer when the owner did not know all that runs.
_HOLD_MS = 100
# An owner that has not answered for this long is taken to be gone.
_SILENT_MS = 200
# Spare credit counts this many times as much as credit that lower tiers would have to give up, so
# that work is preempted only where no upstream has anything to spare.
_DISPLACED_WEIGHT = 4
# An account that was not used for this long is not renewed.
_IDLE_MS = 10_000


def _rooms(allowed: Sequence[int], running: Sequence[int]) -> list[int]:
    """Return by tier the cost that may be started.

    For each tier, what runs in it and in the lower ones must fit what is allowed in them.
    Work of lower tiers that is kept beyond their credit does not count: it would take away
    the credit that a higher tier was granted in its place.
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
        # Work beyond the credit of its own and lower tiers is only kept.
        lower = max(0, lower + own)
    return rooms


def fallback_share(capacity: int, unit: int, live: int, rank: int) -> int:
    """Return the cost that a daemon may run without a lease.

    Parameters
    ----------
    capacity : int
        Cost that the upstream can run.
    unit : int
        Least cost of a request.
    live : int
        Number of live daemons.
    rank : int
        Place of this daemon in the upstream's rendezvous order, from 0.

    Notes
    -----
    If an even share holds no whole request, the first daemons in rendezvous order get one
    each, so that the shares of all together still fit the capacity.

    Examples
    --------
    >>> fallback_share(100, 10, 4, 3)
    25
    >>> [fallback_share(20, 10, 4, rank) for rank in range(4)]
    [10, 10, 0, 0]
    """
    share = capacity // max(1, live)
    if share >= unit:
        return share
    return unit if rank < capacity // unit else 0


@dataclass(slots=True)
class _Lease:
    seq: int = -1
    owner: HostId | None = None
    allowed: tuple[int, ...] = ()
    # Sums of the cost that may go on running, over each tier and the lower ones.
    keep: list[int] = field(default_factory=list)
    expires_ms: int = -1
    answers: int = -1
    room: tuple[int, ...] = ()


@dataclass(slots=True)
class _Sent:
    """The newest demand sent and where to."""

    demand: Demand
    owner: HostId
    at_ms: int


class CreditAccount:
    """The credit of one daemon at one upstream and what uses it.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    tiers : int
        Number of tiers.
    bounds : Bounds
        Bounds of the upstream, from its newest report.

    Notes
    -----
    A tier may use its own credit and that of lower tiers: for each tier, what runs in it
    and in the lower ones is at most what is allowed in them.
    """

    def __init__(self, upstream: UpstreamId, tiers: int, bounds: Bounds) -> None:
        self.bounds = bounds
        self.capacity = bounds.limit
        self.learnt = False
        self.owner: HostId | None = None
        self._host = HostId("")
        self._members: tuple[HostId, ...] = ()
        self._rank: int | None = None
        self._upstream = upstream
        self._tiers = tiers
        self._running = [0] * tiers
        # Room by tier for the credit and the running work that it was computed for.
        self._rooms: tuple[tuple[int, ...], list[int]] | None = None
        self._stopping = [0] * tiers
        self._waiting: tuple[int, ...] = (0,) * tiers
        self._units: tuple[int, ...] = (1,) * tiers
        self._lease = _Lease()
        self._newest: _Sent | None = None
        self._sent: dict[int, _Sent] = {}
        self._unanswered_ms: int | None = None
        # Work that was kept beyond its credit has ended since the last demand.
        self._freed_credit = False
        self._hold_until_ms = -1
        self._hold_seq = -1
        self._active_ms = -_IDLE_MS

    def set_bounds(self, bounds: Bounds) -> None:
        """Take new bounds and keep the learnt part of the limit."""
        if bounds != self.bounds:
            self.capacity = max(1, self.capacity * bounds.limit // self.bounds.limit)
            self.bounds = bounds

    def set_members(self, owner: HostId | None, host: HostId, members: tuple[HostId, ...]) -> None:
        """Set the upstream's owner, this daemon and all live daemons."""
        if owner != self.owner:
            self._unanswered_ms = None
        self.owner = owner
        self._host = host
        self._members = members
        self._rank = None

    def set_tiers(self, tiers: int) -> None:
        """Add tiers below the present ones."""
        more = tiers - self._tiers
        self._tiers = tiers
        self._running += [0] * more
        self._rooms = None
        self._stopping += [0] * more
        self._waiting += (0,) * more
        self._units += (1,) * more
        self._lease.allowed += (0,) * more
        self._lease.keep += [0] * more

    @property
    def running(self) -> tuple[int, ...]:
        """Cost that this daemon runs, by tier, with attempts that are being preempted."""
        return tuple(self._running)

    @property
    def must_correct(self) -> bool:
        """Whether the owner waits to hear of what ended here or did not know what runs."""
        if self._newest is None:
            return False
        return self._freed_credit or self._hold_seq > self._newest.demand.seq

    def leased(self, now_ms: int) -> bool:
        """Return whether there is a lease in force."""
        return now_ms < self._lease.expires_ms

    def allowed(self, now_ms: int) -> tuple[int, ...]:
        """Return the cost by tier up to which new work may be started.

        Notes
        -----
        While the owner does not answer, higher tiers displace the lower ones of this daemon
        within the credit that is left, as the owner would have them do.

        Without a lease of the present owner nothing starts until the owner answers or stays
        silent. If all daemons started on their fallback shares at once, an owner that has
        already granted the whole capacity could not know of it.
        """
        silent = self._silent(now_ms)
        if self.leased(now_ms) and self._lease.owner == self.owner:
            allowed = self._lease.allowed
            return self._divide(sum(allowed)) if silent else allowed
        if silent or self.owner is None:
            return self._divide(self._fallback())
        return (0,) * self._tiers

    def room(self, tier: int, now_ms: int) -> int:
        """Return the cost that may be started in a tier now."""
        allowed = self.allowed(now_ms)
        if self._rooms is None or self._rooms[0] is not allowed:
            self._rooms = allowed, _rooms(allowed, self._running)
        return self._rooms[1][tier]

    def reach(self, now_ms: int) -> list[float]:
        """Return by tier the cost it may hope for, here or from the owner."""
        rooms = [self.room(tier, now_ms) for tier in range(self._tiers)]
        if self.leased(now_ms) and self._lease.room:
            room = fit_tiers(self._lease.room, self._tiers)
            spare = room[-1]
            hints = tuple(spare + (each - spare) / _DISPLACED_WEIGHT for each in room)
        else:
            allowed = self.allowed(now_ms)
            hints = tuple(map(operator.sub, allowed, self._running))
        return list(map(max, rooms, hints))

    def displaces(self, tier: int, now_ms: int) -> bool:
        """Return whether lower-tier work may run that a tier could displace.

        Without word from the owner it is taken to run.
        """
        if not self.leased(now_ms) or not self._lease.room:
            return True
        return fit_tiers(self._lease.room, self._tiers)[tier] >= self.bounds.unit

    def start(self, tier: int, cost: int, now_ms: int) -> None:
        """Note that an attempt was started."""
        self._running[tier] += cost
        self._rooms = None
        self._active_ms = now_ms

    def stop(self, tier: int, cost: int) -> None:
        """Note that an attempt is being preempted."""
        self._stopping[tier] += cost

    def end(self, tier: int, cost: int, stopping: bool) -> None:
        """Note that an attempt ended."""
        allowed = self._lease.allowed[tier] if self._lease.allowed else 0
        self._freed_credit = self._freed_credit or self._running[tier] > allowed
        self._running[tier] -= cost
        self._rooms = None
        if stopping:
            self._stopping[tier] -= cost

    def excess(self, now_ms: int) -> list[tuple[int, int]]:
        """Return pairs of a tier and the cost to preempt in it and in lower tiers."""
        if self.leased(now_ms) and not self._silent(now_ms):
            allowed = list(map(max, suffix_sums(self._lease.allowed), self._lease.keep))
        elif self.leased(now_ms):
            allowed = suffix_sums(self.allowed(now_ms))
        else:
            allowed = suffix_sums(self._divide(self._fallback()))
        live = [run - stop for run, stop in zip(self._running, self._stopping, strict=True)]
        pairs = zip(suffix_sums(live), allowed, strict=True)
        over = [(tier, run - allow) for tier, (run, allow) in enumerate(pairs) if run > allow]
        if self.leased(now_ms) and now_ms < self._hold_until_ms:
            return []
        return over[::-1]

    def wait(self, waiting: tuple[int, ...], units: tuple[int, ...]) -> None:
        """Set the cost that waits for this upstream and the cost of each tier's next request."""
        self._waiting = waiting
        self._units = units

    def accept(self, sender: HostId, grant: Grant, now_ms: int) -> bool:
        """Take a grant and return whether it is from the owner and newer than the last one."""
        if sender != self.owner:
            return False
        if self._lease.owner == sender and grant.seq <= self._lease.seq:
            return False
        answered = self._sent.get(grant.answers)
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
        newest = self._newest
        if newest is not None:
            self._unanswered_ms = None if newest is answered else newest.at_ms
        if grant.capacity > 0:
            self.capacity = min(grant.capacity, self.bounds.limit)
            self.learnt = True
        self._hold(now_ms)
        return True

    def due(self, now_ms: int) -> bool:
        """Return whether the owner has to hear of a new demand now."""
        if self.owner is None:
            return False
        needed = any(self._running) or any(self._waiting)
        if needed:
            self._active_ms = now_ms
        active = now_ms - self._active_ms < _IDLE_MS
        sent = self._newest
        if sent is None or sent.owner != self.owner:
            return sent is None or active
        age_ms = now_ms - sent.at_ms
        if age_ms >= _RENEW_MS:
            return active
        if self.must_correct:
            return True
        if age_ms < _URGENT_MS:
            return False
        if age_ms >= _RESEND_MS and self._unanswered_ms is not None and any(self._waiting):
            return True
        if self._grew(sent.demand):
            return True
        return age_ms >= _RELEASE_MS and self._shrank(sent.demand)

    def demand(self, pressure_percent: int, now_ms: int) -> Demand:
        """Return the demand to send to the owner now."""
        if self.owner is None:
            raise ValueError(f"upstream {self._upstream!r} has no owner")
        # Sequence numbers follow the clock, so that they rise over a restart of the daemon.
        last = self._newest.demand.seq if self._newest is not None else -1
        seq = max(last + 1, now_ms)
        demand = Demand(
            self._upstream, seq, self.running, self._waiting, pressure_percent, self._units
        )
        self._newest = _Sent(demand, self.owner, now_ms)
        self._freed_credit = False
        if self._unanswered_ms is None:
            self._unanswered_ms = now_ms
        recent = {each: sent for each, sent in self._sent.items() if now_ms - sent.at_ms < LEASE_MS}
        self._sent = recent | {seq: self._newest}
        return demand

    def _fallback(self) -> int:
        if self._rank is None:
            order = rendezvous_order(self._upstream, self._members)
            self._rank = order.index(self._host) if self._host in order else 0
        return fallback_share(self.capacity, self.bounds.unit, len(self._members), self._rank)

    def _divide(self, left: int) -> tuple[int, ...]:
        costs = []
        for running, waiting in zip(self._running, self._waiting, strict=True):
            cost = min(left, running + waiting)
            costs.append(cost)
            left -= cost
        costs[-1] += left
        return tuple(costs)

    def _silent(self, now_ms: int) -> bool:
        return self._unanswered_ms is not None and now_ms - self._unanswered_ms > _SILENT_MS

    def _hold(self, now_ms: int) -> None:
        """Put off preemption if the owner did not know of all that runs here.

        Work that was started on headroom since the last demand is unknown to the owner. It
        would be cut without need if its credit was given away as unused.
        """
        if 0 <= self._hold_seq <= self._lease.answers:
            self._hold_seq = -1
            self._hold_until_ms = -1
            return
        if self._hold_seq >= 0 or self._newest is None:
            return
        running = suffix_sums(self._running)
        known = suffix_sums(fit_tiers(self._sent[self._lease.answers].demand.running, self._tiers))
        newest = suffix_sums(fit_tiers(self._newest.demand.running, self._tiers))
        cut = [tier for tier, _ in self.excess(now_ms) if running[tier] > known[tier]]
        if cut:
            reported = all(newest[tier] >= running[tier] for tier in cut)
            self._hold_seq = self._newest.demand.seq + (0 if reported else 1)
            self._hold_until_ms = now_ms + _HOLD_MS

    def _grew(self, sent: Demand) -> bool:
        """Return whether a tier needs notably more than demanded, or than the owner has granted."""
        demanded = needs(sent, self._tiers)
        granted = fit_tiers(self._lease.allowed, self._tiers)
        for tier, waiting in enumerate(self._waiting):
            need = self._running[tier] + waiting
            satisfied = demanded[tier] <= granted[tier]
            much = need * 100 > demanded[tier] * _GROWTH_PERCENT
            if waiting and need > demanded[tier] and (satisfied or much):
                return True
        return False

    def _shrank(self, sent: Demand) -> bool:
        before = needs(sent, self._tiers)
        now = [run + wait for run, wait in zip(self._running, self._waiting, strict=True)]
        return any(
            new * 100 < old * _SHRINK_PERCENT
            for new, old in zip(suffix_sums(now), suffix_sums(before), strict=True)
        )
