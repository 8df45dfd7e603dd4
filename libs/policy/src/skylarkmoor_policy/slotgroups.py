"""Partitions the upstreams of a service into slot groups with one dispatcher each.

A single dispatcher is a bottleneck in a large fleet. In a high-load simulation with 69 gateways of
0.12 cores each and 45 upstreams, it ran out of memory, and five in six requests to these upstreams
were refused or failed while slots were free.
"""

import random
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from skylarkmoor_core.ids import ServiceName

__all__ = ["SlotGroup", "group_count", "less_loaded_group"]

# Services of five or six upstreams, as the first two sites have, keep a single dispatcher. Smaller
# groups would more often have free slots while requests wait in another group.
_MIN_UPSTREAMS_PER_GROUP = 5
# Each half of a 64-bit hash draws one group.
_HALF_BITS = 32
_HALF_MASK = (1 << _HALF_BITS) - 1


@dataclass(frozen=True, slots=True)
class SlotGroup:
    """One partition of a service's upstreams, whose slots are granted by one dispatcher.

    Attributes
    ----------
    number : int
        Index of the group, from 0 to `count` - 1.
    count : int
        Number of groups of the service.
    """

    service: ServiceName
    number: int = 0
    count: int = 1

    @property
    def key(self) -> str:
        """Rendezvous hashing key that selects the dispatcher of the group."""
        return self.service if self.count == 1 else f"{self.service}/{self.number}/{self.count}"

    def holds(self, upstream_hash: int) -> bool:
        """Return whether the upstream with this hash belongs to the group."""
        return upstream_hash % self.count == self.number


def group_count(upstreams: int) -> int:
    """Return the number of slot groups for a service with a given number of upstreams.

    Notes
    -----
    The number is a power of two, so that it rarely changes: while gateways have read different
    lists of upstreams, two dispatchers may grant the same slots.

    Examples
    --------
    >>> [group_count(upstreams) for upstreams in (0, 9, 10, 45)]
    [1, 1, 2, 8]
    """
    count = 1
    while 2 * count * _MIN_UPSTREAMS_PER_GROUP <= upstreams:
        count *= 2
    return count


def less_loaded_group(
    loads: Sequence[tuple[int, int]], rng: random.Random, request_hash: int = 0
) -> int:
    """Return the index of the less loaded of two random groups (power of two choices).

    Parameters
    ----------
    loads : sequence of (int, int)
        Number of requests and number of slots of each group.
    request_hash : int
        64-bit hash that determines the two groups, so that a request that comes again finds the
        dispatcher that has refused it; 0 to draw them at random.

    Notes
    -----
    Selecting the least loaded group of all would send the requests of all gateways to the same
    group until the next load reports arrive. Groups are sampled in proportion to their slots; one
    without slots is never sampled.
    """
    slots = [slot_count for _, slot_count in loads]
    if not any(slots):
        return 0
    if request_hash:
        halves = (request_hash >> _HALF_BITS & _HALF_MASK, request_hash & _HALF_MASK)
        bounds = list(accumulate(slots))
        sampled = [bisect_right(bounds, half * bounds[-1] >> _HALF_BITS) for half in halves]
    else:
        sampled = rng.choices(range(len(loads)), weights=slots, k=2)
    return min(sampled, key=lambda number: loads[number][0] / loads[number][1])
