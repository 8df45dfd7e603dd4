"""Hands the free slots of engines to the waiting requests of all daemons, the most urgent first."""

from collections.abc import Iterator
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, UpstreamId
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.urgencyqueue import UrgencyQueue, Waiting

__all__ = ["Dispatcher", "SlotNeed", "SlotOffer", "Ticket"]

# Waiting requests passed over in one round because the upstreams they may use have no slot.
_MAX_SKIPS = 3


@dataclass(frozen=True, slots=True)
class Ticket:
    """Names a waiting request by its daemon and a number of that daemon's."""

    host: HostId
    number: int


@dataclass(frozen=True, slots=True)
class SlotNeed:
    """What a waiting request needs of an upstream.

    Attributes
    ----------
    group : SlotGroup
        The engines whose slots are asked for.
    max_gap_ms : int
        Longest pause that streams of the route should see.
    output_tokens : int
        Expected length of the answer.
    deadline_ms : int
        When the answer has to be complete.
    avoid : frozenset of UpstreamId
        Upstreams that failed the request.
    """

    ticket: Ticket
    group: SlotGroup
    prompt_tokens: int
    max_gap_ms: int
    output_tokens: int
    deadline_ms: int
    avoid: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class SlotOffer:
    """A slot for a waiting request."""

    ticket: Ticket
    upstream: UpstreamId
    prompt_tokens: int


class Dispatcher:
    """The waiting requests of one or more services.

    Parameters
    ----------
    placement : Placement
        The upstreams with the loads of all daemons. The caller adds each offer to them before
        it takes the next one.
    """

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._queues: dict[SlotGroup, UrgencyQueue[SlotNeed]] = {}
        self._needs: dict[Ticket, SlotNeed] = {}

    def __len__(self) -> int:
        return len(self._needs)

    def request(self, waiting: Waiting[SlotNeed]) -> None:
        """Queue a request; one that is queued already is replaced."""
        need = waiting.item
        self.withdraw(need.ticket)
        self._needs[need.ticket] = need
        self._queues.setdefault(need.group, UrgencyQueue()).add(waiting)

    def withdraw(self, ticket: Ticket) -> None:
        """Take a request out of the queue."""
        need = self._needs.pop(ticket, None)
        if need is not None:
            self._queues[need.group].remove(need)

    def forget(self, host: HostId) -> None:
        """Take out all requests of a daemon that is gone."""
        for ticket in [each for each in self._needs if each.host == host]:
            self.withdraw(ticket)

    def offers(self, now_ms: int) -> Iterator[SlotOffer]:
        """Yield offers until no waiting request fits a free slot."""
        for group, queue in self._queues.items():
            for need in queue.expired(now_ms):
                self._needs.pop(need.ticket, None)
            # Each peer's state asks for offers. Under overload most of them free no slot, so the
            # queue is put in order only when there is one.
            if not len(queue) or not self._placement.has_room(group, now_ms):
                continue
            skipped = 0
            for waiting in queue.ordered(now_ms):
                need = waiting.item
                if need.ticket not in self._needs:
                    continue
                choice = self._placement.choose(
                    group.service,
                    need.prompt_tokens,
                    now_ms,
                    need.avoid,
                    only_with_room=True,
                    max_gap_ms=need.max_gap_ms,
                    output_tokens=need.output_tokens,
                    remaining_ms=need.deadline_ms - now_ms,
                    group=group,
                )
                if choice is None:
                    skipped += 1
                    if skipped >= _MAX_SKIPS:
                        break
                    continue
                self.withdraw(need.ticket)
                yield SlotOffer(need.ticket, choice.upstream, need.prompt_tokens)
