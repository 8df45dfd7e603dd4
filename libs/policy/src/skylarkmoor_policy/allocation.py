"""Allocation of an upstream's capacity to daemons and priority tiers."""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId

__all__ = ["HostDemand", "allocate", "running_limits"]

# Bounds the running time of an allocation: each step hands out at least capacity / _MAX_STEPS.
_MAX_STEPS = 1_024


@dataclass(frozen=True, slots=True)
class HostDemand:
    """Running and waiting cost of a daemon on one upstream, by tier.

    Attributes
    ----------
    running, waiting : tuple of int
        Cost of the running and of the waiting requests by tier, the highest tier first.
    next_request_costs : tuple of int
        Cost of the next waiting request of each tier.
    """

    running: tuple[int, ...]
    waiting: tuple[int, ...]
    next_request_costs: tuple[int, ...]


def allocate(
    capacity: int, demands: Mapping[HostId, HostDemand], min_request_cost: int = 1
) -> dict[HostId, tuple[int, ...]]:
    """Allocate `capacity` by strict tier priority, with max-min fairness within a tier.

    The result limits which requests may be started. `running_limits` returns the limits for
    requests that already run.

    Parameters
    ----------
    capacity : int
        Cost that the upstream can run.
    demands : mapping of HostId to HostDemand
        Demand of each daemon; all have the same number of tiers.
    min_request_cost : int
        Minimum cost of a request; spare capacity is handed out in multiples of it.

    Returns
    -------
    dict of HostId to tuple of int
        Allowed cost by tier. Spare capacity is added to the lowest tier, because higher
        tiers may use the allowance of lower ones.

    Notes
    -----
    Running requests occupy capacity even if their daemon exceeds its fair share of the tier.
    Such a daemon is allowed only its share, so it starts nothing, and the other daemons
    receive the difference as its requests end.

    If the next request of the daemon with the smallest allowance does not fit, no further
    waiting requests of its tier or of lower tiers are allowed. Otherwise a steady supply of
    small requests would starve a large one. Running requests of lower tiers keep their
    allowance, since preempting them would not make the request fit.

    Examples
    --------
    >>> allocate(10, {"a": HostDemand((4, 0), (4, 0), (1, 1)),
    ...               "b": HostDemand((0, 4), (0, 0), (1, 1))})
    {'a': (8, 0), 'b': (0, 2)}
    """
    if capacity < 0:
        raise ValueError(f"capacity must not be negative, got {capacity}")
    tiers = max((len(demand.running) for demand in demands.values()), default=0)
    remaining = capacity
    allocated = {host: [0] * tiers for host in demands}
    min_step = max(1, min_request_cost, capacity // _MAX_STEPS)
    blocked: tuple[HostId, int] | None = None
    for tier in range(tiers):
        share = _fair_share(
            remaining, [each.running[tier] + each.waiting[tier] for each in demands.values()]
        )
        remaining -= _allocate_running(remaining, demands, allocated, tier, min_step)
        if blocked is None:
            remaining, unserved_host = _allocate_waiting(
                remaining, demands, allocated, tier, min_step
            )
            blocked = None if unserved_host is None else (unserved_host, tier)
            if unserved_host is not None:
                for costs in allocated.values():
                    costs[tier] = min(costs[tier], max(share, min_step))
    if blocked is not None:
        host, tier = blocked
        allocated[host][tier] += remaining
    else:
        _allocate_headroom(remaining, demands, allocated, min_step)
    return {host: tuple(costs) for host, costs in allocated.items()}


def running_limits(
    preemption_threshold: int,
    demands: Mapping[HostId, HostDemand],
    allowed: Mapping[HostId, tuple[int, ...]],
    min_request_cost: int = 1,
) -> dict[HostId, tuple[int, ...]]:
    """Return by daemon and tier the cost that may keep running, at least `allowed`.

    Parameters
    ----------
    preemption_threshold : int
        Total cost above which higher tiers preempt lower tiers at once.
    demands : mapping of HostId to HostDemand
        Demand of each daemon.
    allowed : mapping of HostId to tuple of int
        The result of `allocate` for these demands.
    min_request_cost : int
        Minimum cost of a request.

    Notes
    -----
    Higher tiers displace at most their own cost. Requests are therefore never preempted
    because the capacity was lowered or for fairness within a tier, which would waste their
    prefill.
    """
    tiers = max((len(demand.running) for demand in demands.values()), default=0)
    retained = {host: [0] * tiers for host in demands}
    remaining = preemption_threshold
    higher_tier_cost = 0
    for tier in range(tiers):
        running = sum(demand.running[tier] for demand in demands.values())
        running_budget = max(remaining, running - higher_tier_cost)
        total = _allocate_running(running_budget, demands, retained, tier, max(1, min_request_cost))
        starting = sum(
            max(
                0,
                min(allowed[host][tier], demand.running[tier] + demand.waiting[tier])
                - demand.running[tier],
            )
            for host, demand in demands.items()
        )
        remaining = max(0, remaining - total - starting)
        higher_tier_cost += running + starting
    return {host: tuple(map(max, retained[host], allowed[host])) for host in demands}


def _fair_share(capacity: int, needs: Sequence[int]) -> int:
    """Return the max-min fair limit for each of `needs`, or `capacity` if all of them fit."""
    remaining = capacity
    ordered = sorted(needs)
    for i, need in enumerate(ordered):
        share = remaining // (len(ordered) - i)
        if need > share:
            return share
        remaining -= need
    return capacity


def _allocate_running(
    remaining: int,
    demands: Mapping[HostId, HostDemand],
    allocated: dict[HostId, list[int]],
    tier: int,
    min_step: int,
) -> int:
    """Allocate to running requests and return the allocated cost.

    If not all of them fit, the daemons with the highest running cost are reduced first, by
    whole requests. An even reduction could be less than one request for each daemon and
    would still cost every daemon a whole one.
    """
    total = sum(demand.running[tier] for demand in demands.values())
    heap = [(-demand.running[tier], host) for host, demand in demands.items()]
    heapq.heapify(heap)
    while total > remaining:
        cost, host = heapq.heappop(heap)
        step = min(min_step, -cost)
        total -= step
        heapq.heappush(heap, (cost + step, host))
    for cost, host in heap:
        allocated[host][tier] = -cost
    return total


def _allocate_waiting(
    remaining: int,
    demands: Mapping[HostId, HostDemand],
    allocated: dict[HostId, list[int]],
    tier: int,
    min_step: int,
) -> tuple[int, HostId | None]:
    pending = {host: demand.waiting[tier] for host, demand in demands.items()}
    heap = [
        (allocated[host][tier], host) for host, pending_cost in pending.items() if pending_cost > 0
    ]
    heapq.heapify(heap)
    while heap:
        cost, host = heapq.heappop(heap)
        step = min(pending[host], max(demands[host].next_request_costs[tier], min_step))
        if step > remaining:
            return remaining, host
        remaining -= step
        pending[host] -= step
        allocated[host][tier] = cost + step
        if pending[host] > 0:
            heapq.heappush(heap, (cost + step, host))
    return remaining, None


def _allocate_headroom(
    remaining: int,
    demands: Mapping[HostId, HostDemand],
    allocated: dict[HostId, list[int]],
    unit: int,
) -> None:
    if not allocated:
        return
    per_host, extra = divmod(remaining // unit, len(allocated))
    by_load = sorted(allocated, key=lambda host: (-sum(demands[host].running), host))
    for i, host in enumerate(by_load):
        allocated[host][-1] += (per_host + (i < extra)) * unit
