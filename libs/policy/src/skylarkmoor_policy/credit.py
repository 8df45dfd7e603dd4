"""The credit table with which the owner of an upstream answers demands."""

import sys
from dataclasses import dataclass, field

from skylarkmoor_core.ids import HostId, UpstreamId
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_policy.allocation import HostDemand, allocate, keep_running
from skylarkmoor_policy.tiers import fit_tiers, needs, suffix_sums

__all__ = ["LEASE_MS", "SETTLE_MS", "CreditTable"]

# A lease outlives two lost renewals. A longer one would keep the credit of a dead daemon
# from the others for longer.
LEASE_MS = 3_000
# A new owner waits for the demands of all daemons before its first grant.
SETTLE_MS = 100
# Time in which a daemon receives a cut and reports work that it has started meanwhile.
_RETURN_MS = 15
# Attempts that end by themselves usually make room within this time. Preempting at once
# would waste prefill for nearly every higher-tier request.
_PREEMPTION_DELAY_MS = 150


@dataclass(slots=True)
class _Holder:
    demand: Demand
    expires_ms: int
    # What runs at the daemon if it has started all that it waits for and was granted.
    running: tuple[int, ...]
    # Cost allowed and kept in the newest grant.
    granted: tuple[int, ...] | None = None
    kept: tuple[int, ...] = ()
    # By tier, since when starts have been withheld.
    unmet_ms: dict[int, int] = field(default_factory=dict)
    # Unused credit that was cut and may have been used before the daemon heard of it.
    returning: int = 0
    returned_ms: int = -1

    def wants(self) -> bool:
        """Return whether the daemon waits for more than was granted."""
        demand = self.demand
        if not any(demand.waiting):
            return False
        triples = zip(demand.running, demand.waiting, self.running, strict=False)
        return any(run + wait > granted for run, wait, granted in triples)


class CreditTable:
    """What the owner of an upstream knows of the demands for it.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    tiers : int
        Number of tiers.
    granting_ms : int
        Time from which grants are given.

    Notes
    -----
    Demands are absolute and the newest sequence number of a sender wins, so lost, repeated
    and reordered messages do no harm. A sender that is silent keeps its last demand until
    the lease ends. By then it uses no more than its fallback share.
    """

    def __init__(self, upstream: UpstreamId, tiers: int, granting_ms: int) -> None:
        self._upstream = upstream
        self._tiers = tiers
        self._granting_ms = granting_ms
        self._seq = granting_ms
        self._ceiling = sys.maxsize
        # Capacity at the newest division.
        self._capacity = sys.maxsize
        self._holders: dict[HostId, _Holder] = {}

    def set_tiers(self, tiers: int) -> None:
        """Change the number of tiers."""
        self._tiers = tiers

    @property
    def running(self) -> int:
        """Cost that all daemons together run, as far as known."""
        return sum(sum(holder.running) for holder in self._holders.values())

    @property
    def contended(self) -> bool:
        """Whether anybody waits for more than was granted, or for the first grant."""
        return any(each.granted is None or each.wants() for each in self._holders.values())

    def settled(self, now_ms: int) -> bool:
        """Return whether this daemon has been the owner for long enough to grant."""
        return now_ms >= self._granting_ms

    def take(self, sender: HostId, demand: Demand, now_ms: int) -> bool:
        """Note a demand and return whether it is newer than the sender's last one."""
        self._expire(now_ms)
        holder = self._holders.get(sender)
        if holder is not None and demand.seq <= holder.demand.seq:
            return False
        running = fit_tiers(demand.running, self._tiers)
        self._holders[sender] = _Holder(demand, now_ms + LEASE_MS, running)
        if holder is not None:
            self._holders[sender].granted = holder.granted
            self._holders[sender].kept = holder.kept
            self._holders[sender].unmet_ms = holder.unmet_ms
        return True

    def grants(
        self, capacity: int, hard: int, unit: int, now_ms: int, answer: HostId | None = None
    ) -> list[tuple[HostId, Grant]]:
        """Return the grants to send.

        Parameters
        ----------
        capacity : int
            Learnt capacity of the upstream.
        hard : int
            Cost beyond which running work of lower tiers is preempted. Between the two, work
            of a higher tier may start and lower tiers give way as their attempts end.
        unit : int
            Least cost of a request.
        now_ms : int
            Monotonic time.
        answer : HostId, optional
            A daemon that gets a grant in any case.

        Returns
        -------
        list of HostId and Grant
            For `answer`, and for those whose credit was cut or who wait and get more.
        """
        self._expire(now_ms)
        if not self.settled(now_ms) or not self._holders:
            return []
        if answer is not None and self._may_renew(self._holders[answer], capacity, now_ms):
            return [(answer, self._make_grant(answer, capacity, self._room(capacity), now_ms))]
        self._capacity = capacity
        demands = {host: self._host_demand(holder) for host, holder in self._holders.items()}
        ideal = allocate(max(0, capacity - self._returning(now_ms)), demands, unit)
        if self._reclaim(ideal, now_ms):
            ideal = allocate(max(0, capacity - self._returning(now_ms)), demands, unit)
        allowed = self._withhold(ideal, demands, hard, unit, now_ms)
        # What was admitted before the capacity was lowered is left to end by itself.
        self._ceiling = max(hard, min(self._ceiling, self.running))
        keep = keep_running(self._ceiling, demands, allowed, unit)
        for host, holder in self._holders.items():
            holder.running = self._assumed(holder, allowed[host])
        room = self._room(capacity)
        result = []
        for host, holder in self._holders.items():
            if host != answer and not _differs(holder, allowed[host], keep[host], unit):
                continue
            holder.granted = allowed[host]
            holder.kept = keep[host]
            result.append((host, self._make_grant(host, capacity, room, now_ms)))
        return result

    def _may_renew(self, holder: _Holder, capacity: int, now_ms: int) -> bool:
        """Return whether a daemon may keep its credit without a new division.

        Most demands are renewals while nobody waits, and dividing anew takes time in
        proportion to the daemons.
        """
        if holder.granted is None or capacity < self._capacity or self._returning(now_ms) > 0:
            return False
        pairs = zip(suffix_sums(holder.running), suffix_sums(holder.granted), strict=False)
        return all(run <= allow for run, allow in pairs) and not self.contended

    def _make_grant(self, host: HostId, capacity: int, room: tuple[int, ...], now_ms: int) -> Grant:
        holder = self._holders[host]
        self._seq = max(self._seq + 1, now_ms)
        return Grant(
            self._upstream,
            self._seq,
            holder.granted or (),
            LEASE_MS,
            holder.demand.seq,
            capacity,
            room,
            holder.kept,
        )

    def _withhold(
        self,
        ideal: dict[HostId, tuple[int, ...]],
        demands: dict[HostId, HostDemand],
        hard: int,
        unit: int,
        now_ms: int,
    ) -> dict[HostId, tuple[int, ...]]:
        """Return the division without the starts that would have to preempt other work yet.

        Daemons that run more than their part start nothing meanwhile, so that the next
        attempt that ends makes room. Only after a while are their attempts preempted.
        """
        budget = max(0, hard - self.running)
        allowed = {host: list(costs) for host, costs in ideal.items()}
        for tier in range(self._tiers):
            for host, demand in demands.items():
                unmet_ms = self._holders[host].unmet_ms
                need = demand.running[tier] + demand.waiting[tier]
                start = min(ideal[host][tier], need) - demand.running[tier]
                if start <= 0:
                    unmet_ms.pop(tier, None)
                    continue
                given = start
                if now_ms - unmet_ms.get(tier, now_ms) < _PREEMPTION_DELAY_MS:
                    given = min(start, budget) if budget >= min(start, unit) else 0
                budget = max(0, budget - given)
                allowed[host][tier] -= start - given
                if given < start:
                    unmet_ms.setdefault(tier, now_ms)
                else:
                    unmet_ms.pop(tier, None)
        return {host: tuple(costs) for host, costs in allowed.items()}

    def _returning(self, now_ms: int) -> int:
        return sum(
            holder.returning for holder in self._holders.values() if now_ms < holder.returned_ms
        )

    def _reclaim(self, allowed: dict[HostId, tuple[int, ...]], now_ms: int) -> bool:
        """Note unused credit that is being cut and return whether there is any.

        It is given away a little later. A burst that reaches all daemons at once would else
        use the headroom of each of them and the credit granted in its place as well.
        """
        found = False
        for host, holder in self._holders.items():
            if holder.granted is None:
                continue
            unused = sum(holder.granted) - sum(holder.running)
            if unused > 0 and sum(allowed[host]) < sum(holder.granted):
                holder.returning = unused
                holder.returned_ms = now_ms + _RETURN_MS
                found = True
        return found

    def returned(self, now_ms: int) -> bool:
        """Return whether cut credit has come back since the last call."""
        back = [holder for holder in self._holders.values() if 0 <= holder.returned_ms <= now_ms]
        for holder in back:
            holder.returned_ms = -1
        return bool(back)

    def _expire(self, now_ms: int) -> None:
        gone = [host for host, holder in self._holders.items() if holder.expires_ms <= now_ms]
        for host in gone:
            del self._holders[host]

    def _host_demand(self, holder: _Holder) -> HostDemand:
        demand = holder.demand
        running = fit_tiers(holder.running, self._tiers)
        needed = needs(demand, self._tiers)
        waiting = tuple(max(0, need - run) for need, run in zip(needed, running, strict=True))
        units = (*demand.next_cost, *(1,) * self._tiers)[: self._tiers]
        return HostDemand(running, waiting, units)

    def _assumed(self, holder: _Holder, allowed: tuple[int, ...]) -> tuple[int, ...]:
        running = fit_tiers(holder.running, self._tiers)
        needed = needs(holder.demand, self._tiers)
        return tuple(
            max(run, min(allow, need))
            for run, allow, need in zip(running, allowed, needed, strict=True)
        )

    def _room(self, capacity: int) -> tuple[int, ...]:
        """Return by tier the cost that is free or that lower tiers run.

        Lower-tier work beyond the capacity counts as well. Without it a higher tier would be
        shed while such work runs on.
        """
        running = [
            sum(holder.running[tier] for holder in self._holders.values())
            for tier in range(self._tiers)
        ]
        room = []
        used = 0
        for tier, lower in zip(running, [*suffix_sums(running)[1:], 0], strict=True):
            used += tier
            room.append(max(0, capacity - used, lower))
        return tuple(room)


def _differs(holder: _Holder, allowed: tuple[int, ...], keep: tuple[int, ...], unit: int) -> bool:
    """Return whether a daemon has to hear of its new credit before its next renewal."""
    if holder.granted is None:
        return True
    granted = fit_tiers(holder.granted, len(allowed))
    pairs = list(zip(suffix_sums(allowed), suffix_sums(granted), strict=True))
    kept = suffix_sums(fit_tiers(holder.kept, len(keep)))
    pairs_kept = zip(suffix_sums(keep), kept, suffix_sums(holder.demand.running), strict=False)
    if any(new < run and new < old for new, old, run in pairs_kept):
        return True
    if any(new <= old - unit for new, old in pairs):
        return True
    return any(holder.demand.waiting) and any(new >= old + unit for new, old in pairs)
