"""Credit table from which the owner of an upstream grants capacity to the daemons."""

import sys
from dataclasses import dataclass, field

from skylarkmoor_core.ids import HostId, UpstreamId
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_policy.allocation import HostDemand, allocate, running_limits
from skylarkmoor_policy.tiers import demanded_costs, fit_tiers, suffix_sums

__all__ = ["LEASE_MS", "OWNER_SETTLE_MS", "CreditTable"]

# A lease survives the loss of two renewals. A longer lease would withhold the credit of a
# failed daemon from the others for longer.
LEASE_MS = 3_000
# A new owner waits this long for the demands of all daemons before its first grant.
OWNER_SETTLE_MS = 100
# Time for a daemon to receive a reduced grant and to report requests it started before that.
_RECLAIM_MS = 15
# Attempts that complete normally usually free enough capacity within this time. Preempting at
# once would waste prefill for nearly every higher-tier request.
_PREEMPTION_DELAY_MS = 150


@dataclass(slots=True)
class _CreditHolder:
    """A daemon that has sent a demand, and its newest grant."""

    demand: Demand
    expires_ms: int
    # Running cost by tier, assuming that the daemon has started everything it was granted.
    running: tuple[int, ...]
    # Fields `allowed` and `keep` of the newest grant.
    granted: tuple[int, ...] | None = None
    granted_keep: tuple[int, ...] = ()
    # Time since which starts have been withheld, by tier.
    withheld_since_ms: dict[int, int] = field(default_factory=dict)
    # Unused credit that was reclaimed. The daemon may have used it before it received the
    # reduced grant, so it is granted to nobody else until `reclaim_done_ms`.
    reclaimed_cost: int = 0
    reclaim_done_ms: int = -1

    def wants_more(self) -> bool:
        """Return whether the daemon has waiting requests beyond what it was granted."""
        demand = self.demand
        if not any(demand.waiting):
            return False
        triples = zip(demand.running, demand.waiting, self.running, strict=False)
        return any(run + wait > granted for run, wait, granted in triples)


class CreditTable:
    """Demands of the daemons for an upstream, as its owner received them, and their grants.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream that this daemon owns.
    tiers : int
        Number of tiers.
    first_grant_ms : int
        Monotonic time before which no grants are made.

    Notes
    -----
    Demands carry absolute values and the highest sequence number of a sender wins, so lost,
    duplicated and reordered messages do no harm. The last demand of a silent sender stays in
    force until its lease expires. From then on the sender uses at most its fallback share.
    """

    def __init__(self, upstream: UpstreamId, tiers: int, first_grant_ms: int) -> None:
        self._upstream = upstream
        self._tiers = tiers
        self._first_grant_ms = first_grant_ms
        self._seq = first_grant_ms
        self._running_ceiling = sys.maxsize
        # Capacity used in the last allocation.
        self._last_capacity = sys.maxsize
        self._holders: dict[HostId, _CreditHolder] = {}

    def set_tiers(self, tiers: int) -> None:
        """Change the number of tiers."""
        self._tiers = tiers

    @property
    def running(self) -> int:
        """Total cost that runs at all daemons, as far as known."""
        return sum(sum(holder.running) for holder in self._holders.values())

    @property
    def contended(self) -> bool:
        """Whether a daemon waits for more than it was granted, or for its first grant."""
        return any(each.granted is None or each.wants_more() for each in self._holders.values())

    def may_grant(self, now_ms: int) -> bool:
        """Return whether the initial waiting time of a new owner has passed."""
        return now_ms >= self._first_grant_ms

    def update_demand(self, sender: HostId, demand: Demand, now_ms: int) -> bool:
        """Store a demand and return whether it is newer than the sender's previous one."""
        self._expire(now_ms)
        holder = self._holders.get(sender)
        if holder is not None and demand.seq <= holder.demand.seq:
            return False
        running = fit_tiers(demand.running, self._tiers)
        self._holders[sender] = _CreditHolder(demand, now_ms + LEASE_MS, running)
        if holder is not None:
            self._holders[sender].granted = holder.granted
            self._holders[sender].granted_keep = holder.granted_keep
            self._holders[sender].withheld_since_ms = holder.withheld_since_ms
        return True

    def grants(
        self,
        capacity: int,
        preemption_threshold: int,
        min_request_cost: int,
        now_ms: int,
        reply_to: HostId | None = None,
    ) -> list[tuple[HostId, Grant]]:
        """Return the grants to send.

        Parameters
        ----------
        capacity : int
            Estimated capacity of the upstream.
        preemption_threshold : int
            Running cost above which lower tiers are preempted. Between `capacity` and this
            value, higher tiers may start while lower tiers shrink as their attempts end.
        min_request_cost : int
            Minimum cost of a request.
        now_ms : int
            Monotonic time.
        reply_to : HostId, optional
            A daemon that gets a grant even if nothing changed for it.

        Returns
        -------
        list of HostId and Grant
            Grants for `reply_to`, for daemons whose credit was reduced and for daemons that
            wait for credit and get more.
        """
        self._expire(now_ms)
        if not self.may_grant(now_ms) or not self._holders:
            return []
        if reply_to is not None and self._can_renew_unchanged(
            self._holders[reply_to], capacity, now_ms
        ):
            return [
                (
                    reply_to,
                    self._make_grant(reply_to, capacity, self._room_by_tier(capacity), now_ms),
                )
            ]
        self._last_capacity = capacity
        demands = {host: self._host_demand(holder) for host, holder in self._holders.items()}
        target = allocate(
            max(0, capacity - self._reclaim_in_progress(now_ms)), demands, min_request_cost
        )
        if self._start_reclaim(target, now_ms):
            target = allocate(
                max(0, capacity - self._reclaim_in_progress(now_ms)), demands, min_request_cost
            )
        allowed = self._withhold_preempting_starts(
            target, demands, preemption_threshold, min_request_cost, now_ms
        )
        # Attempts that were admitted before the capacity decreased may complete.
        self._running_ceiling = max(preemption_threshold, min(self._running_ceiling, self.running))
        keep = running_limits(self._running_ceiling, demands, allowed, min_request_cost)
        for host, holder in self._holders.items():
            holder.running = self._assumed_running(holder, allowed[host])
        room = self._room_by_tier(capacity)
        result = []
        for host, holder in self._holders.items():
            if host != reply_to and not _needs_grant(
                holder, allowed[host], keep[host], min_request_cost
            ):
                continue
            holder.granted = allowed[host]
            holder.granted_keep = keep[host]
            result.append((host, self._make_grant(host, capacity, room, now_ms)))
        return result

    def _can_renew_unchanged(self, holder: _CreditHolder, capacity: int, now_ms: int) -> bool:
        """Return whether a daemon's grant can be renewed without a new allocation.

        Most demands are renewals while no daemon waits, and the cost of an allocation grows
        with the number of daemons.
        """
        if (
            holder.granted is None
            or capacity < self._last_capacity
            or self._reclaim_in_progress(now_ms) > 0
        ):
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
            holder.granted_keep,
        )

    def _withhold_preempting_starts(
        self,
        target: dict[HostId, tuple[int, ...]],
        demands: dict[HostId, HostDemand],
        preemption_threshold: int,
        min_request_cost: int,
        now_ms: int,
    ) -> dict[HostId, tuple[int, ...]]:
        """Return the allocation without the starts that would need a preemption now.

        Daemons above their allocation start nothing in the meantime, so that the next attempt
        that ends frees capacity. After `_PREEMPTION_DELAY_MS` their attempts are preempted.
        """
        budget = max(0, preemption_threshold - self.running)
        allowed = {host: list(costs) for host, costs in target.items()}
        for tier in range(self._tiers):
            for host, demand in demands.items():
                withheld_since_ms = self._holders[host].withheld_since_ms
                need = demand.running[tier] + demand.waiting[tier]
                new_cost = min(target[host][tier], need) - demand.running[tier]
                if new_cost <= 0:
                    withheld_since_ms.pop(tier, None)
                    continue
                permitted_cost = new_cost
                if now_ms - withheld_since_ms.get(tier, now_ms) < _PREEMPTION_DELAY_MS:
                    permitted_cost = (
                        min(new_cost, budget) if budget >= min(new_cost, min_request_cost) else 0
                    )
                budget = max(0, budget - permitted_cost)
                allowed[host][tier] -= new_cost - permitted_cost
                if permitted_cost < new_cost:
                    withheld_since_ms.setdefault(tier, now_ms)
                else:
                    withheld_since_ms.pop(tier, None)
        return {host: tuple(costs) for host, costs in allowed.items()}

    def _reclaim_in_progress(self, now_ms: int) -> int:
        return sum(
            holder.reclaimed_cost
            for holder in self._holders.values()
            if now_ms < holder.reclaim_done_ms
        )

    def _start_reclaim(self, allowed: dict[HostId, tuple[int, ...]], now_ms: int) -> bool:
        """Record unused credit that is being reclaimed and return whether there is any.

        Reclaimed credit is granted again only after `_RECLAIM_MS`. Otherwise, in a burst that
        reaches all daemons at once, each daemon could use both its unused credit, before the
        reduced grant arrives, and the credit newly granted to it.
        """
        any_reclaimed = False
        for host, holder in self._holders.items():
            if holder.granted is None:
                continue
            unused = sum(holder.granted) - sum(holder.running)
            if unused > 0 and sum(allowed[host]) < sum(holder.granted):
                holder.reclaimed_cost = unused
                holder.reclaim_done_ms = now_ms + _RECLAIM_MS
                any_reclaimed = True
        return any_reclaimed

    def reclaim_finished(self, now_ms: int) -> bool:
        """Return whether reclaimed credit has become available since the last call."""
        due = [holder for holder in self._holders.values() if 0 <= holder.reclaim_done_ms <= now_ms]
        for holder in due:
            holder.reclaim_done_ms = -1
        return bool(due)

    def _expire(self, now_ms: int) -> None:
        expired = [host for host, holder in self._holders.items() if holder.expires_ms <= now_ms]
        for host in expired:
            del self._holders[host]

    def _host_demand(self, holder: _CreditHolder) -> HostDemand:
        demand = holder.demand
        running = fit_tiers(holder.running, self._tiers)
        needed = demanded_costs(demand, self._tiers)
        waiting = tuple(max(0, need - run) for need, run in zip(needed, running, strict=True))
        next_request_costs = (*demand.next_cost, *(1,) * self._tiers)[: self._tiers]
        return HostDemand(running, waiting, next_request_costs)

    def _assumed_running(self, holder: _CreditHolder, allowed: tuple[int, ...]) -> tuple[int, ...]:
        running = fit_tiers(holder.running, self._tiers)
        needed = demanded_costs(holder.demand, self._tiers)
        return tuple(
            max(run, min(allow, need))
            for run, allow, need in zip(running, allowed, needed, strict=True)
        )

    def _room_by_tier(self, capacity: int) -> tuple[int, ...]:
        """Return by tier the cost that is unused or used by lower tiers.

        Lower-tier cost beyond the capacity counts too. Otherwise requests of a higher tier
        would be shed while lower-tier requests keep running.
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


def _needs_grant(
    holder: _CreditHolder, allowed: tuple[int, ...], keep: tuple[int, ...], min_request_cost: int
) -> bool:
    """Return whether a daemon needs its new grant before its next renewal."""
    if holder.granted is None:
        return True
    granted = fit_tiers(holder.granted, len(allowed))
    pairs = list(zip(suffix_sums(allowed), suffix_sums(granted), strict=True))
    old_keep = suffix_sums(fit_tiers(holder.granted_keep, len(keep)))
    pairs_kept = zip(suffix_sums(keep), old_keep, suffix_sums(holder.demand.running), strict=False)
    if any(new < run and new < old for new, old, run in pairs_kept):
        return True
    if any(new <= old - min_request_cost for new, old in pairs):
        return True
    return any(holder.demand.waiting) and any(new >= old + min_request_cost for new, old in pairs)
