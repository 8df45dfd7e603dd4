"""Splits the engines of a service among several dispatchers.

A single dispatcher is the bottleneck of a large fleet. On a simulated day of high load with 69
daemons of 0.12 of a core each and 45 engines, it outgrew its memory, and five in six requests to
them were refused or failed while engines were free.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from skylarkmoor_core.ids import ServiceName

__all__ = ["SlotGroup", "emptier_group", "group_count"]

# The first two sites have five and six engines with one dispatcher. Smaller groups would more
# often have free slots while requests wait in another group.
_UPSTREAMS_PER_GROUP = 5


@dataclass(frozen=True, slots=True)
class SlotGroup:
    """A part of a service's engines, whose slots one daemon hands out.

    Attributes
    ----------
    number : int
        From 0 to `count` - 1.
    count : int
        Groups of the service.
    """

    service: ServiceName
    number: int = 0
    count: int = 1

    @property
    def key(self) -> str:
        """Names the group where its dispatcher is chosen."""
        return self.service if self.count == 1 else f"{self.service}/{self.number}/{self.count}"

    def holds(self, upstream_hash: int) -> bool:
        """Return whether the upstream with this hash belongs to the group."""
        return upstream_hash % self.count == self.number


def group_count(upstreams: int) -> int:
    """Return the number of groups for a service with so many upstreams.

    Notes
    -----
    It is a power of two, so that it seldom changes: daemons that have read different lists
    would let two dispatchers hand out the same slots for a moment.

    Examples
    --------
    >>> [group_count(upstreams) for upstreams in (0, 9, 10, 45)]
    [1, 1, 2, 8]
    """
    count = 1
    while 2 * count * _UPSTREAMS_PER_GROUP <= upstreams:
        count *= 2
    return count


def emptier_group(loads: Sequence[tuple[int, int]], rng: random.Random) -> int:
    """Return the number of the emptier of two groups drawn at random.

    Parameters
    ----------
    loads : sequence of (int, int)
        Requests and slots of each group.

    Notes
    -----
    Taking the emptiest of all would send the requests of all daemons to the same group until
    the next states arrive. Groups are drawn by their slots; one without slots is not drawn.
    """
    slots = [each for _, each in loads]
    if not any(slots):
        return 0
    drawn = rng.choices(range(len(loads)), weights=slots, k=2)
    return min(drawn, key=lambda number: loads[number][0] / loads[number][1])
