"""Queues local requests that need an upstream slot, and dispatches slots for other gateways.

The upstreams of a service are divided into slot groups; a service with few upstreams is one
group. Each group has one dispatcher, a gateway chosen by rendezvous hashing that grants the slots
of the group. It counts the slots that it has granted, so that gateways with outdated load reports
do not assign the same free slot twice. A gateway without reachable peers dispatches for itself.

A request that is not granted a slot at once is queued at further groups as well, and takes the
first slot that any of them grants. What a gateway knows of the free slots is older than these, so a
request that waits at one group only would wait while others have free slots.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.ids import HostId, Incarnation, ServiceName, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import SlotGrant, SlotRefusal, SlotRequest, SlotWithdrawal
from skylarkmoor_core.processnumbers import ProcessNumbers
from skylarkmoor_policy.dispatcher import Dispatcher, SlotOffer, SlotRequirements, Ticket
from skylarkmoor_policy.fairshares import FairShares
from skylarkmoor_policy.placement import Placement, UpstreamChoice
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.upstreamnotices import InstanceId
from skylarkmoor_policy.urgencyqueue import QueuedRequest
from skylarkmoor_policy.versionrules import OtherVersions, PreferVersion, VersionRule

__all__ = ["SlotCoordinator", "SlotClient"]

# Number of gateways, first in rendezvous order, that may dispatch a service and therefore report
# their state at a shorter interval. In a large fleet the regular interval is too long to detect a
# failed dispatcher in time; the second gateway takes over when the first is silent.
_ELIGIBLE_DISPATCHERS = 2
# A slot request or its grant may be lost with a connection. Repeating the request is idempotent.
_REQUEST_RETRY_MS = 500
# A dispatcher with a free slot grants it within some milliseconds. After this time without a grant,
# a request is queued at one more group.
_NEXT_GROUP_MS = 25
# Groups at which a request may be queued at the same time. Each costs a few messages.
_MAX_GROUPS = 4
# With more upstreams with a limit than this, as when half of them are cold, it is looked up for all
# of them only once in this time who dispatches them. Slots are offered hundreds of times a second.
_MAX_FEW_GUARDED = 16
_ELSEWHERE_MS = 25

_log = part_logger("slots")


class SlotClient:
    """A request that waits for a slot; implemented by the exchange."""

    service: ServiceName

    def slot_granted(self, choice: UpstreamChoice, now_ms: int) -> None:
        """Handle a granted slot by sending the request to its upstream."""
        raise NotImplementedError

    def wait_timed_out(self) -> None:
        """Handle a wait that ended without a slot."""
        raise NotImplementedError

    def slot_refused(self, available_in_ms: int) -> None:
        """Handle a refusal, as no slot becomes free in time; by default like a timeout.

        Parameters
        ----------
        available_in_ms : int
            Time until a slot is expected to become free for the request.
        """
        self.wait_timed_out()


@dataclass(slots=True)
class _GroupRequest:
    """The slot request of a wait at one group."""

    group: SlotGroup
    # Where it was sent to; None if it is queued nowhere.
    dispatcher: HostId | None = None
    requested_ms: int = 0
    # Upstreams that were evacuated, or wanted no request from this host, when the slot was
    # requested.
    closed: frozenset[UpstreamId] = frozenset()


@dataclass(slots=True)
class _Wait:
    """A local request that waits for a slot, with its slot requests by ticket number.

    Attributes
    ----------
    number : int
        Number of the wait, which is that of its first slot request.
    unpermitted : set of UpstreamId
        Cold upstreams that were granted without a permit.
    """

    number: int
    client: SlotClient
    waiting: QueuedRequest[SlotRequirements]
    requests: dict[int, _GroupRequest] = field(default_factory=dict)
    unpermitted: set[UpstreamId] = field(default_factory=set)


class SlotCoordinator:
    """Slot requests of this gateway, and grants to others for groups that it dispatches.

    Parameters
    ----------
    host : HostId
        Host ID of this gateway.
    incarnation : Incarnation
        Start time of this process.
    clock : Clock
        Time source.
    placement : Placement
        Known upstreams and their loads.
    send : callable
        Sends a message to a peer.
    live_hosts : callable
        Returns the gateways with a recent state report, including this one.
    is_responsive : callable
        Returns whether a gateway that reports at the shorter interval has done so in time.
    later : callable
        Schedules a function after a delay in milliseconds.
    tell_limit : callable
        Tells a dispatcher of the limit of an upstream, which it does not know.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        clock: Clock,
        placement: Placement,
        send: Callable[[HostId, SlotRequest | SlotWithdrawal | SlotGrant | SlotRefusal], None],
        live_hosts: Callable[[], list[HostId]],
        is_responsive: Callable[[HostId], bool],
        later: Callable[[int, Callable[[], None]], None],
        tell_limit: Callable[[HostId, UpstreamId], None],
    ) -> None:
        # Number of the last grant received from each dispatcher.
        self.last_grants: dict[HostId, int] = {}
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._placement = placement
        self._send = send
        self._live_hosts = live_hosts
        self._is_responsive = is_responsive
        self._later = later
        self._tell_limit = tell_limit
        self._dispatcher = Dispatcher(placement)
        self._waits: dict[int, _Wait] = {}
        # The waits by the ticket numbers of all their slot requests.
        self._requested: dict[int, _Wait] = {}
        self._wait_numbers = ProcessNumbers(incarnation)
        self._grant_numbers = ProcessNumbers(incarnation)
        self._offering = False
        self._logged_above_share: set[str] = set()
        # Cache: the upstreams with a limit, and those of them that another gateway dispatches.
        self._guarded: frozenset[InstanceId] = frozenset()
        self._elsewhere: frozenset[UpstreamId] = frozenset()
        self._elsewhere_ms = 0
        # Cache: the first hosts in rendezvous order by group key, valid for `_ranked_hosts`.
        self._candidates: dict[str, list[HostId]] = {}
        self._ranked_hosts: list[HostId] = []

    @property
    def shares(self) -> FairShares:
        """Work that the fleet has granted to each customer, as far as it is known here."""
        return self._dispatcher.shares

    def log_above_share(self) -> int:
        """Log changes of the customers above their share that wait here; return their number."""
        above = self._dispatcher.above_share()
        if above.keys() != self._logged_above_share:
            self._logged_above_share = set(above)
            now_ms = self._clock.now_ms()
            _log.info(
                "customers above their share",
                extra={
                    "levels": above,
                    "work_tokens": {
                        customer: round(self.shares.recent_work(customer, now_ms))
                        for customer in above
                    },
                    "queued": len(self._dispatcher),
                },
            )
        return len(above)

    def dispatcher_of(self, group: SlotGroup) -> HostId:
        """Return the host that dispatches the slots of a group."""
        candidates = self._ranked_candidates(group)
        # With several groups no takeover is needed: a request whose dispatcher does not respond is
        # sent to the dispatcher of another group.
        if group.count > 1:
            return candidates[0]
        for host in candidates[:_ELIGIBLE_DISPATCHERS]:
            if self._is_responsive(host):
                return host
        return candidates[-1]

    def is_eligible_dispatcher(self) -> bool:
        """Return whether this host is the dispatcher or the standby of a single-group service."""
        services = {
            tracked_upstream.registration.service
            for tracked_upstream in self._placement.upstreams.values()
        }
        return any(
            self._host in self._ranked_candidates(SlotGroup(service))[:_ELIGIBLE_DISPATCHERS]
            for service in services
            if len(self._placement.group_loads(service)) == 1
        )

    def wait(self, client: SlotClient, waiting: QueuedRequest[SlotRequirements]) -> int:
        """Request a slot and return the number of the wait."""
        number = self._wait_numbers.draw()
        wait = self._waits[number] = _Wait(number, client, waiting)
        need = waiting.item
        group = self._placement.less_loaded_group(
            client.service, need.version_rule, need.regions, need.request_hash
        )
        self._queue_at(wait, number, group)
        if group.count > 1 and wait.requests:
            self._later(_NEXT_GROUP_MS, lambda: self._queue_at_next_group(wait))
        return number

    def withdraw(self, number: int) -> None:
        """Cancel a wait and its slot requests."""
        wait = self._waits.get(number)
        if wait is not None:
            self._end(wait)

    def _queue_at(self, wait: _Wait, number: int, group: SlotGroup) -> None:
        """Queue a wait at a group under a ticket number of its own."""
        request = wait.requests[number] = _GroupRequest(group)
        self._requested[number] = wait
        self._request_slot(number, wait, request)

    def _end(self, wait: _Wait, *, is_granted: bool = False) -> None:
        """Remove a wait and cancel its slot requests."""
        del self._waits[wait.number]
        requests, wait.requests = wait.requests, {}
        for number, request in requests.items():
            del self._requested[number]
            self._cancel_slot_request(number, request, is_granted=is_granted)

    def tick(self) -> None:
        """Time out waits, and repeat slot requests that are overdue or whose dispatcher changed."""
        # Grants follow when all requests are queued, so that the most urgent one gets the first.
        self._offering = True
        try:
            self._check_waits(self._clock.now_ms())
        finally:
            self._offering = False
        self.grant_free_slots()
        self._refuse_early()

    def _refuse_early(self) -> None:
        """Refuse the queued requests that get no slot in time."""
        for refusal in self._dispatcher.refusals(self._clock.now_ms()):
            ticket = refusal.ticket
            if ticket.host == self._host:
                self._refuse(ticket.number, refusal.available_in_ms)
            else:
                message = SlotRefusal(ticket.number, refusal.available_in_ms, ticket.incarnation)
                self._send(ticket.host, message)

    def _refuse(self, number: int, available_in_ms: int) -> None:
        wait = self._requested.get(number)
        if wait is not None:
            self._end(wait)
            wait.client.slot_refused(available_in_ms)

    def _check_waits(self, now_ms: int) -> None:
        owners: dict[SlotGroup, HostId] = {}
        closed: dict[ServiceName, frozenset[UpstreamId]] = {}
        for wait in list(self._waits.values()):
            if not wait.requests:
                # The end of another wait has ended it.
                continue
            if now_ms >= wait.waiting.queue_deadline_ms:
                self._end(wait)
                wait.client.wait_timed_out()
                continue
            service = wait.client.service
            if service not in closed:
                closed[service] = self._closed(service, now_ms)
            for number, request in list(wait.requests.items()):
                group = request.group
                if group not in owners:
                    owners[group] = self.dispatcher_of(group)
                if request.dispatcher != owners[group] or request.closed != closed[service]:
                    self._request_slot(number, wait, request)
                elif now_ms - request.requested_ms >= _REQUEST_RETRY_MS:
                    self._repeat_slot_request(number, wait, request)

    def _queue_at_next_group(self, wait: _Wait) -> None:
        """Queue a wait at one more group, and at another one later."""
        if not wait.requests or len(wait.requests) >= _MAX_GROUPS:
            return
        need = wait.waiting.item
        queued_at = [request.group for request in wait.requests.values()]
        group = self._placement.other_group(
            wait.client.service, queued_at, need.version_rule, need.regions
        )
        if group is not None:
            self._queue_at(wait, self._wait_numbers.draw(), group)
            self._later(_NEXT_GROUP_MS, lambda: self._queue_at_next_group(wait))

    def grant_free_slots(self) -> None:
        """Grant free slots to queued slot requests."""
        if self._offering or not len(self._dispatcher):
            return
        self._offering = True
        try:
            exclude = self._limited_elsewhere()
            for offer in self._dispatcher.offers(self._clock.now_ms(), exclude):
                self._grant(offer)
        finally:
            self._offering = False

    def _limited_elsewhere(self) -> frozenset[UpstreamId]:
        """Return the upstreams with a limit whose group another gateway dispatches.

        Notes
        -----
        While gateways have read different lists of upstreams, they may request slots of one
        upstream from several dispatchers.
        """
        guarded = self._placement.guarded_instances()
        if not guarded:
            return frozenset()
        now_ms = self._clock.now_ms()
        is_recent = now_ms - self._elsewhere_ms < _ELSEWHERE_MS
        if len(guarded) <= _MAX_FEW_GUARDED or guarded != self._guarded or not is_recent:
            self._guarded, self._elsewhere_ms = guarded, now_ms
            upstreams = {each.upstream for each in guarded}
            groups = self._placement.groups_of(upstreams)
            own = {each for each in set(groups.values()) if self.dispatcher_of(each) == self._host}
            self._elsewhere = frozenset(each for each in upstreams if groups.get(each) not in own)
        return self._elsewhere

    def handle_slot_request(
        self, sender: HostId, incarnation: Incarnation, request: SlotRequest
    ) -> None:
        """Queue a slot request of a peer."""
        now_ms = self._clock.now_ms()
        need = SlotRequirements(
            Ticket(sender, request.ticket, incarnation),
            SlotGroup(request.service, request.group, request.groups),
            request.prompt_tokens,
            request.max_gap_ms,
            request.output_tokens,
            now_ms + request.deadline_in_ms,
            frozenset(request.avoid),
            _version_rule(request),
            regions=frozenset(request.regions) or None,
            customer=request.customer,
            customer_weight=request.customer_weight,
            work_tokens=request.work_tokens,
            request_hash=request.request_hash,
            first_ticket=Ticket(sender, request.first_ticket, incarnation)
            if request.first_ticket
            else None,
        )
        self._dispatcher.enqueue(
            QueuedRequest(
                need,
                request.tier,
                request.route_tier,
                now_ms - request.waited_ms,
                now_ms + request.on_time_in_ms,
                now_ms + request.give_up_in_ms,
                request.small,
            )
        )
        self.grant_free_slots()

    def handle_slot_withdrawal(
        self, sender: HostId, incarnation: Incarnation, withdrawal: SlotWithdrawal
    ) -> None:
        """Remove a slot request of a peer from the queue."""
        ticket = Ticket(sender, withdrawal.ticket, incarnation)
        self._dispatcher.withdraw(
            ticket, self._clock.now_ms(), granted_elsewhere=withdrawal.granted_elsewhere
        )

    def handle_slot_grant(self, sender: HostId, grant: SlotGrant) -> bool:
        """Accept a grant of a dispatcher; return False if the request no longer waits for it."""
        self.last_grants[sender] = grant.grant
        if grant.incarnation not in (0, self._incarnation):
            _log.info(
                "ignored a grant for an earlier process",
                extra={"peer": sender, "incarnation": grant.incarnation},
            )
            return False
        wait = self._requested.get(grant.ticket)
        if wait is None:
            return False
        known = self._placement.upstreams.get(grant.upstream)
        if known is not None and known.limit_per_s is not None and not grant.under_limit:
            self._tell_limit(sender, grant.upstream)
            if self._placement.limit(known.instance)[0] is None:
                self._avoid_unpermitted(wait, grant.upstream)
            self._request_slot(grant.ticket, wait, wait.requests[grant.ticket])
            return False
        request = wait.requests[grant.ticket]
        if request.dispatcher == sender:
            # Otherwise the request was sent to another dispatcher of the group in the meantime.
            request.dispatcher = None
        self._start(wait, grant.upstream, under_limit=grant.under_limit)
        return True

    @staticmethod
    def _avoid_unpermitted(wait: _Wait, upstream: UpstreamId) -> None:
        """Avoid a cold upstream whose dispatcher has granted it twice without a permit.

        Notes
        -----
        A dispatcher of an older build knows no cold upstreams, and would grant it again and again.
        """
        if upstream in wait.unpermitted:
            need = replace(wait.waiting.item, exclude=wait.waiting.item.exclude | {upstream})
            wait.waiting = replace(wait.waiting, item=need)
        wait.unpermitted.add(upstream)

    def handle_slot_refusal(self, sender: HostId, refusal: SlotRefusal) -> None:
        """Refuse a local request whose dispatcher expects no slot for it in time."""
        wait = self._requested.get(refusal.ticket)
        if refusal.incarnation != self._incarnation or wait is None:
            return
        if refusal.ticket != wait.number or wait.requests[refusal.ticket].dispatcher != sender:
            # It waits at another dispatcher by now, or one of an older build has refused a further
            # slot request.
            return
        self._refuse(refusal.ticket, refusal.available_in_ms)

    def own_grant(self, number: int) -> int:
        """Return the number of a grant that a peer has accepted, 0 if this process has not made it.

        Notes
        -----
        A peer names the last grant of an earlier process until it has one of this process.
        """
        return number if self._grant_numbers.includes(number) else 0

    def forget(self, host: HostId) -> None:
        """Remove the slot requests of a peer that left, was replaced or became unreachable."""
        self._dispatcher.remove_host(host)
        self.last_grants.pop(host, None)

    def waiting(self) -> int:
        """Return the number of local requests that wait for a slot."""
        return len(self._waits)

    def queued(self) -> int:
        """Return the number of slot requests that this gateway dispatches."""
        return len(self._dispatcher)

    def _own_ticket(self, number: int) -> Ticket:
        return Ticket(self._host, number, self._incarnation)

    def _ranked_candidates(self, group: SlotGroup) -> list[HostId]:
        hosts = self._live_hosts()
        if hosts != self._ranked_hosts:
            self._ranked_hosts = hosts
            self._candidates.clear()
        if group.key not in self._candidates:
            order = rendezvous_order(group.key, hosts)[: _ELIGIBLE_DISPATCHERS + 1]
            self._candidates[group.key] = [HostId(host) for host in order]
        return self._candidates[group.key]

    def _cancel_slot_request(
        self, number: int, request: _GroupRequest, *, is_granted: bool = False
    ) -> None:
        if request.dispatcher == self._host:
            self._dispatcher.withdraw(
                self._own_ticket(number), self._clock.now_ms(), granted_elsewhere=is_granted
            )
        elif request.dispatcher is not None:
            self._send(request.dispatcher, SlotWithdrawal(number, is_granted))

    def _closed(self, service: ServiceName, now_ms: int) -> frozenset[UpstreamId]:
        """Return the upstreams that this host may not send requests to.

        Notes
        -----
        The dispatcher may not know of an evacuation yet, and would grant their slots again.
        """
        return self._placement.paused(service, now_ms) | self._placement.evacuated(service)

    def _repeat_slot_request(self, number: int, wait: _Wait, request: _GroupRequest) -> None:
        """Repeat a slot request, unless the service is divided anew.

        Notes
        -----
        The first slot request is moved to a group of the new division then, and the further ones
        end. The request is queued at further groups of that division later.
        """
        need = wait.waiting.item
        group = self._placement.less_loaded_group(
            wait.client.service, need.version_rule, need.regions
        )
        if group.count == request.group.count:
            self._request_slot(number, wait, request)
            return
        self._cancel_slot_request(number, request)
        if number != wait.number:
            del wait.requests[number], self._requested[number]
            return
        request.dispatcher, request.group = None, group
        self._request_slot(number, wait, request)
        self._later(_NEXT_GROUP_MS, lambda: self._queue_at_next_group(wait))

    def _request_slot(self, number: int, wait: _Wait, request: _GroupRequest) -> None:
        owner = self.dispatcher_of(request.group)
        if request.dispatcher != owner:
            self._cancel_slot_request(number, request)
        now_ms = self._clock.now_ms()
        request.dispatcher, request.requested_ms = owner, now_ms
        request.closed = self._closed(request.group.service, now_ms)
        need = wait.waiting.item
        avoid = need.exclude | request.closed
        is_first = number == wait.number
        if owner == self._host:
            need = replace(
                need,
                ticket=self._own_ticket(number),
                group=request.group,
                exclude=avoid,
                first_ticket=None if is_first else self._own_ticket(wait.number),
            )
            self._dispatcher.enqueue(replace(wait.waiting, item=need))
            if self._offering:
                self._later(0, self.grant_free_slots)
            else:
                self.grant_free_slots()
            return
        waiting = wait.waiting
        self._send(
            owner,
            SlotRequest(
                number,
                request.group.service,
                waiting.tier,
                waiting.route_tier,
                waiting.expedited,
                waiting.item.prompt_tokens,
                waiting.item.max_event_gap_ms,
                now_ms - waiting.arrived_ms,
                waiting.latest_start_ms - now_ms,
                waiting.queue_deadline_ms - now_ms,
                waiting.item.output_tokens,
                waiting.item.deadline_ms - now_ms,
                tuple(avoid),
                request.group.number,
                request.group.count,
                *_version_fields(waiting.item.version_rule),
                regions=tuple(sorted(waiting.item.regions or ())),
                customer=waiting.item.customer,
                customer_weight=waiting.item.customer_weight,
                work_tokens=waiting.item.work_tokens,
                request_hash=need.request_hash,
                first_ticket=0 if is_first else wait.number,
            ),
        )

    def _grant(self, offer: SlotOffer) -> None:
        if offer.ticket.host == self._host:
            wait = self._requested.get(offer.ticket.number)
            if wait is not None:
                wait.requests[offer.ticket.number].dispatcher = None
                self._start(wait, offer.upstream, under_limit=offer.under_limit)
            return
        number = self._grant_numbers.draw()
        host = offer.ticket.host
        self._placement.grant_to_peer(host, offer.upstream, offer.prompt_tokens, number)
        grant = SlotGrant(
            offer.ticket.number,
            offer.upstream,
            number,
            offer.under_limit,
            offer.ticket.incarnation,
        )
        self._send(host, grant)

    def _start(self, wait: _Wait, upstream: UpstreamId, *, under_limit: bool = False) -> None:
        """End a wait with a granted slot."""
        placed = self._placement.upstreams.get(upstream)
        start_ms = (
            0.0
            if placed is None
            else placed.predicted_first_token_ms(wait.waiting.item.prompt_tokens)
        )
        running = 0 if placed is None else placed.running()
        slots = 0 if placed is None else placed.slots
        asked_groups = len(wait.requests)
        self._end(wait, is_granted=True)
        choice = UpstreamChoice(upstream, start_ms, running, slots, under_limit, asked_groups)
        wait.client.slot_granted(choice, self._clock.now_ms())


def _version_rule(request: SlotRequest) -> VersionRule | None:
    if request.preferred_version:
        return PreferVersion(request.preferred_version)
    return OtherVersions(request.except_version) if request.except_version else None


def _version_fields(rule: VersionRule | None) -> tuple[str, str]:
    """Return the preferred version and the excluded one of a slot request."""
    match rule:
        case PreferVersion(version=version):
            return version, ""
        case OtherVersions(version=version):
            return "", version
        case None:
            return "", ""
