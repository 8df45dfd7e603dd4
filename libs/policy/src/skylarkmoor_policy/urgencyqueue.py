"""The order in which waiting requests of a service take free slots."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Waiting", "UrgencyQueue"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Waiting(Generic[T]):
    """A request that waits for a slot.

    Attributes
    ----------
    item : object
        The request itself.
    tier, route_tier : int
        The customer's and the route's rank; 0 is the highest.
    arrived_ms : int
        When it came.
    on_time_until_ms : int
        A start after this time makes its answer late.
    give_up_ms : int
        When it is refused if it has not started.
    small : bool
        Whether it holds a slot for a small part of the usual time, or has begun to run before.
    """

    item: T
    tier: int
    route_tier: int
    arrived_ms: int
    on_time_until_ms: int
    give_up_ms: int
    small: bool = False


class UrgencyQueue(Generic[T]):
    """Requests that wait, by urgency.

    Notes
    -----
    Small requests come first, because they delay the others least. Then the higher tier goes
    first, and within a tier what can still be on time goes before what is late: under overload
    first-come order would make every answer late, while this order makes some late and the
    others not.
    """

    def __init__(self) -> None:
        self._waiting: list[Waiting[T]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting[T]) -> None:
        """Queue a request."""
        self._waiting.append(waiting)

    def remove(self, item: T) -> bool:
        """Take a request out and return whether it was queued."""
        for waiting in self._waiting:
            if waiting.item is item:
                self._waiting.remove(waiting)
                return True
        return False

    def ordered(self, now_ms: int) -> Iterator[Waiting[T]]:
        """Yield the requests in the order in which they should start now."""

        def urgency(waiting: Waiting[T]) -> tuple[bool, int, int, bool, int]:
            late = now_ms > waiting.on_time_until_ms
            return (
                not waiting.small,
                waiting.tier,
                waiting.route_tier,
                late,
                waiting.arrived_ms if late else waiting.on_time_until_ms,
            )

        yield from sorted(self._waiting, key=urgency)

    def expired(self, now_ms: int) -> list[T]:
        """Take out and return the requests that have waited for too long."""
        over = [each.item for each in self._waiting if now_ms >= each.give_up_ms]
        if over:
            self._waiting = [each for each in self._waiting if now_ms < each.give_up_ms]
        return over
