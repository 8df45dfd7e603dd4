"""The waiting requests of a daemon, and its part as a dispatcher.

One daemon, chosen by rendezvous hashing, hands out the slots of a group of engines; a service
with few engines is one group. It counts what it has granted, so that daemons with old reports do
not fill the same free slot together.
A daemon that hears no other one dispatches for itself.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId
from skylarkmoor_core.messages import SlotGrant, SlotRequest, SlotWithdrawal
from skylarkmoor_policy.dispatcher import Dispatcher, SlotNeed, SlotOffer, Ticket
from skylarkmoor_policy.placement import Choice, Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.urgencyqueue import Waiting

__all__ = ["Dispatching", "SlotSeeker"]

# Daemons that send their states often because one of them dispatches a service. The others would
# notice the death of the first too late in a large fleet, and the second takes over at once.
_PROMPT_CANDIDATES = 2
# A request or its grant may be lost with a connection; asking again is harmless.
_ASK_AGAIN_MS = 500


class SlotSeeker:
    """A request that waits for a slot; the exchange."""

    service: ServiceName

    def granted(self, choice: Choice, now_ms: int) -> None:
        """Send the request to the upstream of its slot."""
        raise NotImplementedError

    def gave_up_waiting(self) -> None:
        """End the wait without a slot."""
        raise NotImplementedError


@dataclass(slots=True)
class _Wait:
    seeker: SlotSeeker
    waiting: Waiting[SlotNeed]
    group: SlotGroup
    asked: HostId | None = None
    asked_ms: int = 0


class Dispatching:
    """The waiting requests of this daemon, and its part as a dispatcher.

    Parameters
    ----------
    host : HostId
        This daemon.
    clock : Clock
        Source of times.
    placement : Placement
        The upstreams and their loads.
    send : callable
        Sends a message to a peer.
    fresh_hosts : callable
        Gives the daemons that were heard just now, this one among them.
    is_prompt : callable
        Tells whether a daemon that sends its state often was heard within that interval.
    later : callable
        Calls a function after the present event.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        placement: Placement,
        send: Callable[[HostId, SlotRequest | SlotWithdrawal | SlotGrant], None],
        fresh_hosts: Callable[[], list[HostId]],
        is_prompt: Callable[[HostId], bool],
        later: Callable[[Callable[[], None]], None],
    ) -> None:
        # Number of the last grant that was taken from each dispatcher.
        self.taken: dict[HostId, int] = {}
        self._host = host
        self._clock = clock
        self._placement = placement
        self._send = send
        self._fresh_hosts = fresh_hosts
        self._is_prompt = is_prompt
        self._later = later
        self._dispatcher = Dispatcher(placement)
        self._waits: dict[int, _Wait] = {}
        self._numbers = itertools.count(1)
        self._grants = itertools.count(1)
        self._offering = False
        # The first daemons in rendezvous order by the key of a group.
        self._candidates: dict[str, list[HostId]] = {}
        self._hosts: list[HostId] = []

    def owner(self, group: SlotGroup) -> HostId:
        """Return the daemon that hands out the slots of a group."""
        candidates = self._candidates_of(group)
        # The requests of one group among several ask another one when their dispatcher is silent.
        if group.count > 1:
            return candidates[0]
        for host in candidates[:_PROMPT_CANDIDATES]:
            if self._is_prompt(host):
                return host
        return candidates[-1]

    def may_dispatch(self) -> bool:
        """Return whether this daemon dispatches a whole service or is the next to do so."""
        services = {each.listed.service for each in self._placement.upstreams.values()}
        return any(
            self._host in self._candidates_of(SlotGroup(service))[:_PROMPT_CANDIDATES]
            for service in services
            if len(self._placement.group_loads(service)) == 1
        )

    def wait(self, seeker: SlotSeeker, waiting: Waiting[SlotNeed]) -> int:
        """Ask for a slot and return the number under which the request waits."""
        number = next(self._numbers)
        group = self._placement.emptier_group(seeker.service)
        need = replace(waiting.item, ticket=Ticket(self._host, number), group=group)
        wait = _Wait(seeker, replace(waiting, item=need), group)
        self._waits[number] = wait
        self._ask(number, wait)
        return number

    def withdraw(self, number: int) -> None:
        """End a wait."""
        wait = self._waits.pop(number, None)
        if wait is not None:
            self._stop_asking(number, wait)

    def tick(self) -> None:
        """End waits that took too long, and ask again where the dispatcher has changed."""
        now_ms = self._clock.now_ms()
        owners: dict[SlotGroup, HostId] = {}
        for number, wait in list(self._waits.items()):
            if wait.group not in owners:
                owners[wait.group] = self.owner(wait.group)
            if now_ms >= wait.waiting.give_up_ms:
                self.withdraw(number)
                wait.seeker.gave_up_waiting()
            elif wait.asked != owners[wait.group]:
                self._ask(number, wait)
            elif now_ms - wait.asked_ms >= _ASK_AGAIN_MS:
                self._ask_emptier_group(number, wait)
        self.offer()

    def offer(self) -> None:
        """Hand out free slots to the waiting requests."""
        if self._offering or not len(self._dispatcher):
            return
        self._offering = True
        try:
            for offer in self._dispatcher.offers(self._clock.now_ms()):
                self._carry_out(offer)
        finally:
            self._offering = False

    def requested(self, sender: HostId, request: SlotRequest) -> None:
        """Take a peer's request for a slot."""
        now_ms = self._clock.now_ms()
        need = SlotNeed(
            Ticket(sender, request.ticket),
            SlotGroup(request.service, request.group, request.groups),
            request.prompt_tokens,
            request.max_gap_ms,
            request.output_tokens,
            now_ms + request.deadline_in_ms,
            frozenset(request.avoid),
        )
        self._dispatcher.request(
            Waiting(
                need,
                request.tier,
                request.route_tier,
                now_ms - request.waited_ms,
                now_ms + request.on_time_in_ms,
                now_ms + request.give_up_in_ms,
                request.small,
            )
        )
        self.offer()

    def withdrawn(self, sender: HostId, withdrawal: SlotWithdrawal) -> None:
        """Drop a peer's request for a slot."""
        self._dispatcher.withdraw(Ticket(sender, withdrawal.ticket))

    def granted(self, sender: HostId, grant: SlotGrant) -> bool:
        """Take a slot from the dispatcher and return whether it is used."""
        self.taken[sender] = grant.grant
        wait = self._waits.pop(grant.ticket, None)
        if wait is None:
            return False
        if wait.asked not in (None, sender):
            # The request has asked another dispatcher since.
            self._stop_asking(grant.ticket, wait)
        self._start(wait, grant.upstream)
        return True

    def forget(self, host: HostId) -> None:
        """Drop what a daemon that is gone has asked for."""
        self._dispatcher.forget(host)
        self.taken.pop(host, None)

    def waiting(self) -> int:
        """Return how many requests of this daemon wait."""
        return len(self._waits)

    def _candidates_of(self, group: SlotGroup) -> list[HostId]:
        hosts = self._fresh_hosts()
        if hosts != self._hosts:
            self._hosts = hosts
            self._candidates.clear()
        if group.key not in self._candidates:
            order = rendezvous_order(group.key, hosts)[: _PROMPT_CANDIDATES + 1]
            self._candidates[group.key] = [HostId(host) for host in order]
        return self._candidates[group.key]

    def _stop_asking(self, number: int, wait: _Wait) -> None:
        if wait.asked == self._host:
            self._dispatcher.withdraw(Ticket(self._host, number))
        elif wait.asked is not None:
            self._send(wait.asked, SlotWithdrawal(number))

    def _ask_emptier_group(self, number: int, wait: _Wait) -> None:
        """Ask again, of another group if it has fewer requests by now."""
        wait.group = self._placement.emptier_group(wait.seeker.service)
        need = replace(wait.waiting.item, group=wait.group)
        wait.waiting = replace(wait.waiting, item=need)
        self._ask(number, wait)

    def _ask(self, number: int, wait: _Wait) -> None:
        owner = self.owner(wait.group)
        if wait.asked != owner:
            self._stop_asking(number, wait)
        now_ms = self._clock.now_ms()
        wait.asked, wait.asked_ms = owner, now_ms
        if owner == self._host:
            self._dispatcher.request(wait.waiting)
            if self._offering:
                self._later(self.offer)
            else:
                self.offer()
            return
        waiting = wait.waiting
        self._send(
            owner,
            SlotRequest(
                number,
                wait.group.service,
                waiting.tier,
                waiting.route_tier,
                waiting.small,
                waiting.item.prompt_tokens,
                waiting.item.max_gap_ms,
                now_ms - waiting.arrived_ms,
                waiting.on_time_until_ms - now_ms,
                waiting.give_up_ms - now_ms,
                waiting.item.output_tokens,
                waiting.item.deadline_ms - now_ms,
                tuple(waiting.item.avoid),
                wait.group.number,
                wait.group.count,
            ),
        )

    def _carry_out(self, offer: SlotOffer) -> None:
        if offer.ticket.host == self._host:
            wait = self._waits.pop(offer.ticket.number, None)
            if wait is not None:
                self._start(wait, offer.upstream)
            return
        number = next(self._grants)
        host = offer.ticket.host
        self._placement.grant_to_peer(host, offer.upstream, offer.prompt_tokens, number)
        self._send(host, SlotGrant(offer.ticket.number, offer.upstream, number))

    def _start(self, wait: _Wait, upstream: UpstreamId) -> None:
        known = self._placement.upstreams.get(upstream)
        start_ms = 0.0 if known is None else known.start_ms(wait.waiting.item.prompt_tokens)
        running = 0 if known is None else known.running()
        slots = 0 if known is None else known.slots
        choice = Choice(upstream, start_ms, running, slots)
        wait.seeker.granted(choice, self._clock.now_ms())
