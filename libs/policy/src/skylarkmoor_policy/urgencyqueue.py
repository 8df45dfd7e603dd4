"""Priority queue of the requests that wait for a slot."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["FIRST_RANK", "QueuedRequest", "Rank", "UrgencyQueue"]

T = TypeVar("T")
# Rank of a request within its tiers: whether it is a copy of another one, how far its customer is
# above its share, and whether it is a newcomer rather than one that returns after a refusal.
Rank = tuple[bool, int, bool]
FIRST_RANK: Rank = (False, 0, True)


@dataclass(frozen=True, slots=True)
class QueuedRequest(Generic[T]):
    """A request that waits for a slot.

    Attributes
    ----------
    item : object
        The queued request.
    tier, route_tier : int
        Priority tiers of the customer and of the route; 0 is the highest.
    arrived_ms : int
        Arrival time.
    latest_start_ms : int
        Latest start at which the answer is expected to meet its goal.
    queue_deadline_ms : int
        Time at which it is refused if it has not started.
    expedited : bool
        Whether it will hold a slot for a fraction of the usual time, or has run before.
    """

    item: T
    tier: int
    route_tier: int
    arrived_ms: int
    latest_start_ms: int
    queue_deadline_ms: int
    expedited: bool = False


class UrgencyQueue(Generic[T]):
    """Queue of requests, ordered by size, tier, rank and goal.

    Notes
    -----
    Small requests come first, because they delay the others least, then higher tiers, then lower
    ranks. Within a rank, requests that can still meet their goal precede those that cannot: under
    overload, first-come order would make every answer late, while this order keeps some on time.
    """

    def __init__(self) -> None:
        self._waiting: list[QueuedRequest[T]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: QueuedRequest[T]) -> None:
        """Queue a request."""
        self._waiting.append(waiting)

    def remove(self, item: T) -> bool:
        """Remove a request and return whether it was queued."""
        for index, waiting in enumerate(self._waiting):
            if waiting.item is item:
                del self._waiting[index]
                return True
        return False

    def ordered(
        self, now_ms: int, rank: Callable[[QueuedRequest[T]], Rank] = lambda waiting: FIRST_RANK
    ) -> Iterator[QueuedRequest[T]]:
        """Yield the requests in the order in which they should start at `now_ms`.

        Parameters
        ----------
        rank : callable, optional
            Returns the rank of a request; by default, all requests have the same.
        """

        def urgency(waiting: QueuedRequest[T]) -> tuple[bool, int, int, Rank, bool, int]:
            late = now_ms > waiting.latest_start_ms
            return (
                not waiting.expedited,
                waiting.tier,
                waiting.route_tier,
                rank(waiting),
                late,
                waiting.arrived_ms if late else waiting.latest_start_ms,
            )

        if not self._waiting:
            return
        # Mostly a single slot is free, so that the others need not be sorted.
        first = min(self._waiting, key=urgency)
        others = [each for each in self._waiting if each is not first]
        yield first
        yield from sorted(others, key=urgency)

    def expired(self, now_ms: int) -> list[T]:
        """Remove and return the requests whose `queue_deadline_ms` has passed."""
        expired_items = [each.item for each in self._waiting if now_ms >= each.queue_deadline_ms]
        if expired_items:
            self._waiting = [each for each in self._waiting if now_ms < each.queue_deadline_ms]
        return expired_items
