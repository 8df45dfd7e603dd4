"""Assigns free engine slots to the queued requests of all daemons, most urgent first."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from skylarkmoor_core.ids import HostId, Incarnation, UpstreamId
from skylarkmoor_policy.fairshares import FairShares
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.requesthistory import RequestHistory
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.slotwaits import SlotWaits, WaitingEntry, hopeless, is_hopeless_behind
from skylarkmoor_policy.urgencyqueue import QueuedRequest, Rank, UrgencyQueue
from skylarkmoor_policy.versionrules import VersionRule

__all__ = ["Dispatcher", "EarlyRefusal", "SlotOffer", "SlotRequirements", "Ticket"]

# Size and tiers of a request, which precede the shares in the order.
_Class = tuple[bool, int, int]
# Queued requests without a usable free slot after which a round ends.
_MAX_SKIPS = 3
# Interval at which the waits are estimated. Each estimate sorts the queue.
_REFUSAL_INTERVAL_MS = 50
# A request that is withdrawn this long before its queue deadline, or later, counts as refused: its
# daemon has refused it, and the withdrawal has arrived before the deadline was noticed here.
_DEADLINE_MARGIN_MS = 100


@dataclass(frozen=True, slots=True)
class Ticket:
    """Identifies a queued request by its daemon, a number of the daemon and its incarnation."""

    host: HostId
    number: int
    incarnation: Incarnation = Incarnation(0)


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """Requirements of a queued request on an upstream.

    Attributes
    ----------
    group : SlotGroup
        The engines that may run the request.
    max_event_gap_ms : int
        Maximum gap between events that streams of the route tolerate; 0 for no limit.
    output_tokens : int
        Expected number of output tokens.
    deadline_ms : int
        Time by which the answer has to be complete.
    exclude : frozenset of UpstreamId
        Upstreams to exclude because they failed the request before.
    version_rule : VersionRule or None
        Versions of the upstreams that may run the request; None for all.
    customer : str
        Customer that the request is made for; requests without one share the empty name.
    customer_weight : float
        Weight of the customer's share relative to the mean; 0 if it is not known.
    work_tokens : int
        Estimated cost of the request in prompt tokens.
    request_hash : int
        Hash that identical requests share. It is 0 for a request that must not be refused early:
        one that has run before, or one of a daemon of an older build.
    regions : frozenset of str or None
        Regions that the request must not leave; None for any.
    first_ticket : Ticket or None
        Ticket under which the request was queued at another group before; None if it is queued
        first here. Only the first group may refuse it early.
    """

    ticket: Ticket
    group: SlotGroup
    prompt_tokens: int
    max_event_gap_ms: int
    output_tokens: int
    deadline_ms: int
    exclude: frozenset[UpstreamId] = frozenset()
    version_rule: VersionRule | None = None
    customer: str = ""
    customer_weight: float = 0.0
    work_tokens: int = 0
    request_hash: int = 0
    regions: frozenset[str] | None = None
    first_ticket: Ticket | None = None

    @property
    def history_key(self) -> Ticket:
        """Ticket that all slot requests of a request have in common."""
        return self.first_ticket or self.ticket

    @property
    def may_be_refused(self) -> bool:
        """Whether the request may be refused before the end of its wait."""
        return self.request_hash != 0 and self.first_ticket is None


@dataclass(frozen=True, slots=True)
class SlotOffer:
    """A slot at an upstream, assigned to a queued request."""

    ticket: Ticket
    upstream: UpstreamId
    prompt_tokens: int
    # Whether the upstream has named a limit, and a permit was used up.
    under_limit: bool = False


@dataclass(frozen=True, slots=True)
class EarlyRefusal:
    """A queued request that gets no slot in time, and when one will be free for it."""

    ticket: Ticket
    available_in_ms: int


class _GroupQueue(UrgencyQueue[SlotRequirements]):
    """Queue of a slot group that knows which customers compete in each class of requests."""

    def __init__(self) -> None:
        super().__init__()
        # Weight and number of waiting requests by customer.
        self.competitors: dict[_Class, dict[str, tuple[float, int]]] = {}
        # Of the requests since the queue was last empty.
        self.shortest_wait_ms = 0

    def add(self, waiting: QueuedRequest[SlotRequirements]) -> None:
        max_wait_ms = _max_wait_ms(waiting)
        self.shortest_wait_ms = min(self.shortest_wait_ms, max_wait_ms) if self else max_wait_ms
        super().add(waiting)
        competitors = self.competitors.setdefault(_class(waiting), {})
        customer = waiting.item.customer
        _, count = competitors.get(customer, (0.0, 0))
        competitors[customer] = (waiting.item.customer_weight, count + 1)

    def forget(self, waiting: QueuedRequest[SlotRequirements]) -> None:
        """Count a request that was removed no longer."""
        competitors, customer = self.competitors[_class(waiting)], waiting.item.customer
        weight, count = competitors.pop(customer)
        if count > 1:
            competitors[customer] = (weight, count - 1)
        elif not competitors:
            del self.competitors[_class(waiting)]


class Dispatcher:
    """Queues requests by slot group and assigns free slots to them.

    Parameters
    ----------
    placement : Placement
        The upstreams with the loads of all daemons. The caller has to add each offer to the
        loads before it takes the next one.
    """

    def __init__(self, placement: Placement) -> None:
        self.shares = FairShares()
        self._placement = placement
        self._queues: dict[SlotGroup, _GroupQueue] = {}
        self._waiting: dict[Ticket, QueuedRequest[SlotRequirements]] = {}
        self._history: RequestHistory[Ticket] = RequestHistory()
        # Levels of the customers above their share, in the last round of a group that had room.
        self._above_share: dict[SlotGroup, dict[str, int]] = {}
        self._slot_waits: dict[SlotGroup, SlotWaits] = {}
        self._refusals_checked_ms: int | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def above_share(self) -> dict[str, int]:
        """Return the customers above their share among those that wait, with their levels."""
        levels: dict[str, int] = {}
        for group, above in self._above_share.items():
            for customer, level in above.items() if len(self._queues[group]) else ():
                levels[customer] = max(level, levels.get(customer, 0))
        return levels

    def enqueue(self, waiting: QueuedRequest[SlotRequirements]) -> None:
        """Queue a request; it replaces an earlier one with the same ticket."""
        need = waiting.item
        previous = self._waiting.get(need.ticket)
        if previous is not None and previous.item.request_hash == need.request_hash:
            # It keeps its place before its copies.
            self._remove(previous)
        else:
            self.cancel(need.ticket)
        self._waiting[need.ticket] = waiting
        self._history.add(need.request_hash, need.history_key, waiting.arrived_ms)
        self._queues.setdefault(need.group, _GroupQueue()).add(waiting)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from its queue."""
        waiting = self._waiting.pop(ticket, None)
        if waiting is not None:
            self._remove(waiting)
            self._history.remove(waiting.item.request_hash, waiting.item.history_key)

    def _remove(self, waiting: QueuedRequest[SlotRequirements]) -> None:
        queue = self._queues[waiting.item.group]
        if queue.remove(waiting.item):
            queue.forget(waiting)

    def withdraw(self, ticket: Ticket, now_ms: int, *, granted_elsewhere: bool = False) -> None:
        """Remove a request whose daemon no longer wants a slot.

        Parameters
        ----------
        granted_elsewhere : bool
            Whether it has a slot of another group. The queue has then become shorter as by a
            grant.
        """
        waiting = self._waiting.get(ticket)
        if waiting is None:
            return
        need = waiting.item
        if granted_elsewhere:
            self._history.record_grant(need.request_hash, need.history_key, now_ms)
            waits = self._slot_waits.get(need.group)
            if waits is not None:
                waits.record_grant()
        elif now_ms >= waiting.queue_deadline_ms - _DEADLINE_MARGIN_MS:
            self._history.record_refusal(need.request_hash, need.history_key, now_ms)
        self.cancel(ticket)

    def remove_host(self, host: HostId) -> None:
        """Remove all requests of a daemon that has left."""
        for ticket in [each for each in self._waiting if each.host == host]:
            self.cancel(ticket)

    def offers(
        self, now_ms: int, exclude: frozenset[UpstreamId] = frozenset()
    ) -> Iterator[SlotOffer]:
        """Yield offers until no queued request fits a free slot; expired requests are removed.

        Parameters
        ----------
        exclude : frozenset of UpstreamId
            Upstreams with a limit for which another daemon issues the permits.
        """
        for group, queue in self._queues.items():
            for need in queue.expired(now_ms):
                queue.forget(self._waiting.pop(need.ticket))
                self._history.record_refusal(need.request_hash, need.history_key, now_ms)
            waits = self._slot_waits.setdefault(group, SlotWaits())
            waits.observe(now_ms)
            # Offers are computed for each report of a peer. Under overload most reports free no
            # slot, so the queue is sorted only if there is room.
            if len(queue) and self._placement.has_capacity(group, now_ms):
                for offer in self._group_offers(group, queue, now_ms, exclude):
                    waits.record_grant()
                    yield offer
            waits.set_contended(len(queue) > 0)

    def refusals(self, now_ms: int) -> list[EarlyRefusal]:
        """Remove and return the requests that get no slot before their queue deadline.

        Notes
        -----
        Nothing is refused while any upstream of the service has a free slot. The requests at the
        end of the order are refused first: those of the lowest tier, and within it those of the
        customers that are furthest above their shares.
        """
        checked_ms = self._refusals_checked_ms
        if checked_ms is not None and now_ms - checked_ms < _REFUSAL_INTERVAL_MS:
            return []
        self._refusals_checked_ms = now_ms
        refusals = []
        for group, waits in self._slot_waits.items():
            queue, places_per_ms = self._queues[group], waits.places_per_ms()
            if not len(queue) or places_per_ms is None:
                continue
            if not is_hopeless_behind(len(queue) - 1, queue.shortest_wait_ms, places_per_ms):
                continue
            if self._placement.has_capacity(SlotGroup(group.service), now_ms):
                continue
            ordered = list(queue.ordered(now_ms, self._ranking(self._levels(queue), now_ms)))
            entries = [
                WaitingEntry(
                    _max_wait_ms(each),
                    each.queue_deadline_ms - now_ms,
                    each.item.may_be_refused,
                )
                for each in ordered
            ]
            for estimate in hopeless(entries, places_per_ms, self._running(group, now_ms)):
                ticket = ordered[estimate.index].item.ticket
                refusals.append(EarlyRefusal(ticket, estimate.available_in_ms))
        for refusal in refusals:
            need = self._waiting[refusal.ticket].item
            self._history.record_refusal(need.request_hash, need.history_key, now_ms)
            self.cancel(refusal.ticket)
        return refusals

    def _running(self, group: SlotGroup, now_ms: int) -> int:
        """Return the number of requests that hold slots of a group."""
        usable = self._placement.usable(group.service, now_ms, group)
        return sum(upstream.running() for upstream in usable)

    def _group_offers(
        self,
        group: SlotGroup,
        queue: _GroupQueue,
        now_ms: int,
        exclude: frozenset[UpstreamId],
    ) -> Iterator[SlotOffer]:
        skipped: set[Ticket] = set()
        levels = self._levels(queue)
        order = queue.ordered(now_ms, self._ranking(levels, now_ms))
        while (waiting := next(order, None)) is not None:
            need = waiting.item
            if need.ticket not in self._waiting or need.ticket in skipped:
                continue
            choice = self._placement.choose(
                group.service,
                need.prompt_tokens,
                now_ms,
                need.exclude | exclude,
                only_with_capacity=True,
                max_event_gap_ms=need.max_event_gap_ms,
                output_tokens=need.output_tokens,
                remaining_ms=need.deadline_ms - now_ms,
                group=group,
                version_rule=need.version_rule,
                regions=need.regions,
            )
            if choice is None:
                skipped.add(need.ticket)
                if len(skipped) >= _MAX_SKIPS:
                    break
                continue
            self._history.record_grant(need.request_hash, need.history_key, now_ms)
            self.cancel(need.ticket)
            self.shares.record_grant(need.customer, need.work_tokens, now_ms)
            under_limit = self._placement.issue_permit(choice.upstream, now_ms)
            yield SlotOffer(need.ticket, choice.upstream, need.prompt_tokens, under_limit)
            if not self._placement.has_capacity(group, now_ms):
                break
            # Otherwise a customer could take all slots of a round.
            new_levels = self._levels(queue)
            if new_levels != levels:
                levels = new_levels
                order = queue.ordered(now_ms, self._ranking(levels, now_ms))
        self._above_share[group] = {
            customer: level
            for class_levels in levels.values()
            for customer, level in class_levels.items()
            if level > 0
        }

    def _levels(self, queue: _GroupQueue) -> dict[_Class, dict[str, int]]:
        """Return how far customers are above their shares, by class of requests."""
        return {
            of_class: self.shares.levels(
                {customer: weight for customer, (weight, _) in competitors.items()}
            )
            for of_class, competitors in queue.competitors.items()
        }

    def _ranking(
        self, levels: dict[_Class, dict[str, int]], now_ms: int
    ) -> Callable[[QueuedRequest[SlotRequirements]], Rank]:
        # Called for each request in the queue, most of which are neither copies nor returning.
        marked = self._history.marked()
        ranks: dict[_Class, dict[str, Rank]] = {
            of_class: {customer: (False, level, True) for customer, level in class_levels.items()}
            for of_class, class_levels in levels.items()
        }

        def rank(waiting: QueuedRequest[SlotRequirements]) -> Rank:
            need = waiting.item
            usual = ranks[waiting.expedited, waiting.tier, waiting.route_tier][need.customer]
            if need.request_hash not in marked:
                return usual
            is_copy = self._history.is_copy(need.request_hash, need.history_key, now_ms)
            is_newcomer = not self._history.is_returning(need.request_hash, need.history_key)
            return is_copy, usual[1], is_newcomer

        return rank


def _class(waiting: QueuedRequest[SlotRequirements]) -> _Class:
    return waiting.expedited, waiting.tier, waiting.route_tier


def _max_wait_ms(waiting: QueuedRequest[SlotRequirements]) -> int:
    return waiting.queue_deadline_ms - waiting.arrived_ms
