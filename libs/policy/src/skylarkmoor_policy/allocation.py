"""Division of an upstream's capacity among daemons and tiers."""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId

__all__ = ["HostDemand", "allocate", "keep_running"]

# Bounds the steps of a division; a step is at least this part of the capacity.
_MAX_STEPS = 1_024


@dataclass(frozen=True, slots=True)
class HostDemand:
    """Cost that a daemon runs and waits for, by tier.

    Attributes
    ----------
    running, waiting : tuple of int
        Cost by tier, the highest tier first.
    units : tuple of int
        Cost of the next waiting request of each tier.
    """

    running: tuple[int, ...]
    waiting: tuple[int, ...]
    units: tuple[int, ...]


def allocate(
    capacity: int, demands: Mapping[HostId, HostDemand], unit: int = 1
) -> dict[HostId, tuple[int, ...]]:
    """Divide `capacity` in strict tier order and max-min fairly within a tier.

    The result bounds what may be started. `keep_running` tells what may go on running.

    Parameters
    ----------
    capacity : int
        Cost that the upstream can run.
    demands : mapping of HostId to HostDemand
        What each daemon runs and waits for; all have the same number of tiers.
    unit : int
        Cost of the smallest request; headroom is handed out in multiples of it.

    Returns
    -------
    dict of HostId to tuple of int
        Allowed cost by tier. Headroom is part of the lowest tier's, because higher tiers
        may use the credit of lower ones.

    Notes
    -----
    Running work takes part of the capacity even if its daemon has more than a fair share of
    the tier. Such a daemon is allowed its share only, so it starts nothing, and the others
    get the rest as its attempts end.

    If the next request of the daemon that has least does not fit, no further waiting work
    of its tier or a lower one is allowed. Otherwise small requests would keep a large one
    out for ever. Lower tiers' running work stays, since cutting it would not make the
    request fit.

    Examples
    --------
    >>> allocate(10, {"a": HostDemand((4, 0), (4, 0), (1, 1)),
    ...               "b": HostDemand((0, 4), (0, 0), (1, 1))})
    {'a': (8, 0), 'b': (0, 2)}
    """
    if capacity < 0:
        raise ValueError(f"capacity must not be negative, got {capacity}")
    tiers = max((len(demand.running) for demand in demands.values()), default=0)
    left = capacity
    given = {host: [0] * tiers for host in demands}
    smallest = max(1, unit, capacity // _MAX_STEPS)
    blocked: tuple[HostId, int] | None = None
    for tier in range(tiers):
        share = _fair_share(
            left, [each.running[tier] + each.waiting[tier] for each in demands.values()]
        )
        left -= _give_running(left, demands, given, tier, smallest)
        if blocked is None:
            left, short = _give_waiting(left, demands, given, tier, smallest)
            blocked = None if short is None else (short, tier)
            if short is not None:
                for costs in given.values():
                    costs[tier] = min(costs[tier], max(share, smallest))
    if blocked is not None:
        host, tier = blocked
        given[host][tier] += left
    else:
        _give_headroom(left, demands, given, smallest)
    return {host: tuple(costs) for host, costs in given.items()}


def keep_running(
    hard: int,
    demands: Mapping[HostId, HostDemand],
    allowed: Mapping[HostId, tuple[int, ...]],
    unit: int = 1,
) -> dict[HostId, tuple[int, ...]]:
    """Return by daemon and tier the cost that may run, at least what `allowed` says.

    Parameters
    ----------
    hard : int
        Cost beyond which lower-tier work gives way to higher-tier work at once.
    demands : mapping of HostId to HostDemand
        What each daemon runs and waits for.
    allowed : mapping of HostId to tuple of int
        The result of `allocate` for these demands.
    unit : int
        Cost of the smallest request.

    Notes
    -----
    Higher tiers displace at most their own cost. So work is never preempted because the
    capacity was lowered, or for fairness within a tier: that would waste its prefill.
    """
    tiers = max((len(demand.running) for demand in demands.values()), default=0)
    kept = {host: [0] * tiers for host in demands}
    left = hard
    higher = 0
    for tier in range(tiers):
        running = sum(demand.running[tier] for demand in demands.values())
        room = max(left, running - higher)
        total = _give_running(room, demands, kept, tier, max(1, unit))
        new = sum(
            max(
                0,
                min(allowed[host][tier], demand.running[tier] + demand.waiting[tier])
                - demand.running[tier],
            )
            for host, demand in demands.items()
        )
        left = max(0, left - total - new)
        higher += running + new
    return {host: tuple(map(max, kept[host], allowed[host])) for host in demands}


def _fair_share(capacity: int, needs: Sequence[int]) -> int:
    """Return the most that each may have if `capacity` is divided max-min fairly."""
    left = capacity
    ordered = sorted(needs)
    for i, need in enumerate(ordered):
        share = left // (len(ordered) - i)
        if need > share:
            return share
        left -= need
    return capacity


def _give_running(
    left: int,
    demands: Mapping[HostId, HostDemand],
    given: dict[HostId, list[int]],
    tier: int,
    smallest: int,
) -> int:
    """Allow running work and return the cost allowed.

    If not all fits, the daemons that run most are cut first and by whole requests. An even
    cut would be less than one request for each and cost every daemon one.
    """
    total = sum(demand.running[tier] for demand in demands.values())
    heap = [(-demand.running[tier], host) for host, demand in demands.items()]
    heapq.heapify(heap)
    while total > left:
        cost, host = heapq.heappop(heap)
        step = min(smallest, -cost)
        total -= step
        heapq.heappush(heap, (cost + step, host))
    for cost, host in heap:
        given[host][tier] = -cost
    return total


def _give_waiting(
    left: int,
    demands: Mapping[HostId, HostDemand],
    given: dict[HostId, list[int]],
    tier: int,
    smallest: int,
) -> tuple[int, HostId | None]:
    wanted = {host: demand.waiting[tier] for host, demand in demands.items()}
    heap = [(given[host][tier], host) for host, want in wanted.items() if want > 0]
    heapq.heapify(heap)
    while heap:
        cost, host = heapq.heappop(heap)
        step = min(wanted[host], max(demands[host].units[tier], smallest))
        if step > left:
            return left, host
        left -= step
        wanted[host] -= step
        given[host][tier] = cost + step
        if wanted[host] > 0:
            heapq.heappush(heap, (cost + step, host))
    return left, None


def _give_headroom(
    left: int,
    demands: Mapping[HostId, HostDemand],
    given: dict[HostId, list[int]],
    unit: int,
) -> None:
    if not given:
        return
    each, extra = divmod(left // unit, len(given))
    busiest = sorted(given, key=lambda host: (-sum(demands[host].running), host))
    for i, host in enumerate(busiest):
        given[host][-1] += (each + (i < extra)) * unit
