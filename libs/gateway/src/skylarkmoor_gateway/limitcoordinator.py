"""Collects units of the customers' limits for requests, and grants those of the own shares.

A few gateways hold equal shares of each customer's limit. A gateway admits a request once it has
collected its units: from its own share if that has enough, else from the holders that have the most
left. The fleet therefore keeps to a limit however late its gateways hear of each other. A gateway
that reaches no holder refuses the requests of limited customers.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import CustomerId, HostId, Incarnation
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import (
    MAX_RATE,
    MAX_UNITS,
    UnitsGrant,
    UnitsRequest,
    UnitsReturn,
)
from skylarkmoor_core.processnumbers import ProcessNumbers
from skylarkmoor_policy.fleetlimits import FleetQuotas
from skylarkmoor_policy.limitshares import LimitShares
from skylarkmoor_policy.routetable import CustomerPolicy

__all__ = ["Admitted", "Exhausted", "LimitCoordinator", "LimitDecision", "Unanswered"]

# A holder answers within some milliseconds; after this time another one is asked as well.
_ANSWER_MS = 100
# Longest time that a request waits for its units. Later answers are returned.
_MAX_COLLECT_MS = 500
# A share is refilled while the others are asked, so that another request may get the rest.
_MAX_TIMES_ASKED = 2
# Holders that are asked for a request of a customer most of whose requests are refused.
_MAX_ASKED_IF_SCARCE = 3
# Half-life of the requests for units that a holder has counted.
_DEMAND_INTERVAL_MS = 1_000
# Refused requests for units that are no sign of a flood.
_ORDINARY_REFUSALS = 5
# Time for which the word of a holder that most requests are refused is relied on.
_SCARCE_MS = 4_000
# A holder that has not answered is not asked for this time.
_SILENT_MS = 1_000
# A holder without a connection is not asked for this time; most connections are made at once.
_RECONNECT_MS = 100
# Retry-After of a request whose holders have not answered.
_NO_ANSWER_RETRY_MS = 250

_log = part_logger("limits")


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within its customer's limit; its units are spent.

    Attributes
    ----------
    sources : tuple of (HostId, int)
        Holders that the units came from.
    """

    customer: str
    units: int
    sources: tuple[tuple[HostId, int], ...]


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The customer's limit is used up; units are expected after `wait_ms`."""

    wait_ms: int
    needed_units: int
    found_units: int


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Too few holders have answered to tell; the caller may try again after `wait_ms`."""

    wait_ms: int
    needed_units: int
    found_units: int
    silent: tuple[HostId, ...]


LimitDecision = Admitted | Exhausted | Unanswered


@dataclass(slots=True)
class _Collection:
    """A request whose units are being collected.

    Attributes
    ----------
    is_divided : bool
        Whether several holders may grant a part each. In a flood, requests that hold parts would
        keep the units from each other.
    is_scarce : bool
        Whether a holder has said that it refuses most requests.
    """

    number: int
    customer: CustomerPolicy
    units: int
    needed: int
    is_divided: bool
    began_ms: int
    decided: Callable[[LimitDecision], None]
    found: dict[HostId, int] = field(default_factory=dict)
    # When holders were asked that have not answered, and how often each one was asked.
    asked_ms: dict[HostId, int] = field(default_factory=dict)
    times_asked: dict[HostId, int] = field(default_factory=dict)
    has_answers: bool = False
    has_tried_own: bool = False
    is_scarce: bool = False

    @property
    def missing(self) -> int:
        return self.needed - sum(self.found.values())

    def may_ask(self, holder: HostId) -> bool:
        """Return whether a holder may be asked, for the first time or again."""
        is_restricted = self.is_scarce and not self.is_divided
        if is_restricted and sum(self.times_asked.values()) >= _MAX_ASKED_IF_SCARCE:
            return False
        return self.times_asked.get(holder, 0) < _MAX_TIMES_ASKED


@dataclass(frozen=True, slots=True)
class _Level:
    """Units that a holder had left when it last answered, and whether it refused most requests."""

    left: float
    at_ms: int
    is_scarce: bool


@dataclass(slots=True)
class _Demand:
    """How often the own share had the units that peers asked for lately."""

    since_ms: int
    granted: float = 0.0
    refused: float = 0.0

    def count(self, is_granted: bool, now_ms: int) -> None:
        """Count a request for units."""
        intervals = (now_ms - self.since_ms) // _DEMAND_INTERVAL_MS
        if intervals:
            self.since_ms = now_ms
            self.granted *= 0.5**intervals
            self.refused *= 0.5**intervals
        if is_granted:
            self.granted += 1
        else:
            self.refused += 1

    def is_scarce(self) -> bool:
        """Return whether most requests for units were refused."""
        return self.refused > self.granted + _ORDINARY_REFUSALS


class LimitCoordinator:
    """Units collected for the requests of this gateway, and grants of its own shares.

    Parameters
    ----------
    host : HostId
        Host ID of this gateway.
    incarnation : Incarnation
        Start time of this process.
    clock : Clock
        Time source.
    quotas : FleetQuotas
        The shares that this gateway holds.
    send : callable
        Sends a message to a peer, and returns whether it could be queued.

    Notes
    -----
    What a holder has left is known from its last answer and grows at most by the rate of its
    share, so that most requests beyond the limit are refused without a message.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        clock: Clock,
        quotas: FleetQuotas,
        send: Callable[[HostId, UnitsRequest | UnitsGrant | UnitsReturn], bool],
    ) -> None:
        # Whether the hosts of the fleet are known. Before, other hosts may hold the same shares.
        self.knows_fleet = True
        self.shares = LimitShares(host)
        self._host = host
        self._clock = clock
        self._quotas = quotas
        self._send = send
        self._numbers = ProcessNumbers(incarnation)
        self._collections: dict[int, _Collection] = {}
        self._levels: dict[str, dict[HostId, _Level]] = {}
        self._demands: dict[str, _Demand] = {}
        self._silent_until_ms: dict[HostId, int] = {}
        self.set_members([host])

    def set_members(self, members: list[HostId]) -> None:
        """Divide the limits among the holders of these hosts."""
        if frozenset(members) == self.shares.members:
            return
        self.shares.set_members(members)
        self._quotas.set_shares(self.shares.own_shares(), self._clock.now_ms())
        self._levels.clear()
        for host in self._silent_until_ms.keys() - self.shares.members:
            del self._silent_until_ms[host]

    def is_scarce(self, customer: CustomerPolicy) -> bool:
        """Return whether a holder has said lately that it refuses most requests of a customer."""
        now_ms = self._clock.now_ms()
        return any(
            level.is_scarce and now_ms - level.at_ms < _SCARCE_MS
            for level in self._levels.get(customer.name, {}).values()
        )

    def collecting(self) -> int:
        """Return the number of requests whose units are being collected."""
        return len(self._collections)

    def request(
        self, customer: CustomerPolicy, units: int, decided: Callable[[LimitDecision], None]
    ) -> int | None:
        """Collect the units of a request and call `decided`, perhaps at once.

        Returns
        -------
        int or None
            Number to cancel the collection with, None if it was decided at once.
        """
        now_ms = self._clock.now_ms()
        if self.knows_fleet and self._quotas.admit(customer, units, now_ms) is None:
            decided(Admitted(customer.name, units, ((self._host, units),)))
            return None
        needed = self._quotas.needed_units(customer, units)
        number = self._numbers.draw()
        is_divided = needed > self._share_capacity(customer)
        collection = _Collection(number, customer, units, needed, is_divided, now_ms, decided)
        collection.is_scarce = self.is_scarce(customer)
        self._collections[number] = collection
        self._advance(collection, now_ms)
        return number if number in self._collections else None

    def cancel(self, number: int) -> None:
        """Stop collecting for a request, and return what was collected."""
        collection = self._collections.pop(number, None)
        if collection is not None:
            self._return_all(collection)

    def give_back(self, admitted: Admitted) -> None:
        """Return the units of a request that is not sent after all."""
        for holder, units in admitted.sources:
            self._return(admitted.customer, holder, units)

    def tick(self) -> None:
        """Ask further holders in place of those that do not answer, and end long waits."""
        now_ms = self._clock.now_ms()
        for collection in list(self._collections.values()):
            if collection.number not in self._collections:
                # The decision on another request has ended it.
                continue
            overdue = [
                host
                for host, asked_ms in collection.asked_ms.items()
                if now_ms - asked_ms >= _ANSWER_MS
            ]
            for host in overdue:
                self._mark_silent(host, now_ms + _SILENT_MS)
            if now_ms - collection.began_ms >= _MAX_COLLECT_MS:
                self._give_up(collection)
            elif overdue or not collection.asked_ms:
                self._advance(collection, now_ms)

    def handle_request(self, sender: HostId, message: UnitsRequest) -> None:
        """Grant a peer what the own share has left of the units that it asks for."""
        now_ms = self._clock.now_ms()
        granted, left, is_scarce = 0, 0, False
        if self.knows_fleet:
            limit = CustomerPolicy(
                CustomerId(message.customer),
                (),
                units_per_s=message.units_per_s,
                burst_units=message.burst_units,
                limits_tokens=True,
            )
            granted = self._quotas.take(
                limit, message.units, now_ms, least_units=message.least_units
            )
            left = _in_range(self._quotas.left(message.customer, now_ms))
            demand = self._demands.setdefault(message.customer, _Demand(now_ms))
            if message.units <= self._share_capacity(limit):
                # A larger request may get less than it needs without a flood.
                demand.count(granted >= message.units, now_ms)
            is_scarce = demand.is_scarce()
        self._send(sender, UnitsGrant(message.number, message.customer, granted, left, is_scarce))

    def handle_grant(self, sender: HostId, message: UnitsGrant) -> None:
        """Add the units that a holder has granted to those of their request."""
        now_ms = self._clock.now_ms()
        if self._silent_until_ms.pop(sender, None) is not None:
            _log.info("holder of a limit answers again", extra={"holder": sender})
        if sender in self.shares.holders(message.customer):
            levels = self._levels.setdefault(message.customer, {})
            levels[sender] = _Level(message.left, now_ms, message.is_scarce)
        collection = self._collections.get(message.number)
        if collection is None or collection.customer.name != message.customer:
            # It came too late, or for a request of the process before.
            self._return(message.customer, sender, message.units)
            return
        collection.asked_ms.pop(sender, None)
        collection.has_answers = True
        collection.is_scarce = message.is_scarce
        if message.units:
            collection.found[sender] = collection.found.get(sender, 0) + message.units
        self._advance(collection, now_ms)

    def handle_return(self, message: UnitsReturn) -> None:
        """Take units back that a peer has not used."""
        self._quotas.give_back(message.customer, message.units, self._clock.now_ms())

    def _advance(self, collection: _Collection, now_ms: int) -> None:
        """Decide, or ask a holder for what is missing."""
        self._take_own(collection, now_ms)
        if collection.missing <= 0:
            self._admit(collection)
            return
        others = [h for h in self.shares.holders(collection.customer.name) if h != self._host]
        usable = [host for host in others if self._is_usable(collection, host)]
        left = {host: self._most_left(collection, host, now_ms) for host in usable}
        wanted_before = self._wanted_before(collection)
        if sum(left.values()) - wanted_before >= collection.missing or not self.knows_fleet:
            # First those that may have enough, in an order of the request's own that spreads the
            # requests of the fleet, then the fullest; last those that let this request wait.
            usable.sort(
                key=lambda host: (
                    host in collection.asked_ms,
                    -min(left[host], collection.missing),
                    hash64(self._host, str(collection.number), host),
                )
            )
            self._ask(collection, {host: left[host] for host in usable}, now_ms)
        elif not (collection.is_divided or collection.is_scarce):
            # No holder has all of the units, but some may have a part each.
            collection.is_divided = True
            collection.has_tried_own = False
            self._advance(collection, now_ms)
        elif collection.has_answers or not others or (usable and not collection.asked_ms):
            self._refuse(collection)
        elif not usable and self._stay_silent(collection, others):
            self._give_up(collection)

    def _wanted_before(self, collection: _Collection) -> int:
        """Return the units that earlier requests of the customer are waiting for here."""
        return sum(
            each.missing
            for number, each in self._collections.items()
            if number < collection.number and each.customer.name == collection.customer.name
        )

    def _is_usable(self, collection: _Collection, host: HostId) -> bool:
        """Return whether a holder may still grant units for a request."""
        if host in collection.asked_ms:
            return True
        is_silent = self._silent_until_ms.get(host, 0) > self._clock.now_ms()
        return not is_silent and collection.may_ask(host)

    def _stay_silent(self, collection: _Collection, holders: list[HostId]) -> bool:
        """Return whether no holder will be asked again while a request may wait."""
        ends_ms = collection.began_ms + _MAX_COLLECT_MS
        return all(self._silent_until_ms.get(host, 0) >= ends_ms for host in holders)

    def _ask(self, collection: _Collection, left: dict[HostId, float], now_ms: int) -> None:
        """Ask as many holders as may together have what is missing, in the order given."""
        answering = {
            host for host, asked_ms in collection.asked_ms.items() if now_ms - asked_ms < _ANSWER_MS
        }
        expected = sum(most_left for host, most_left in left.items() if host in answering)
        for host, most_left in left.items():
            if expected >= collection.missing:
                return
            if most_left < 1 or host in answering or not collection.may_ask(host):
                continue
            units = min(collection.missing, MAX_UNITS)
            message = UnitsRequest(
                collection.number,
                collection.customer.name,
                units,
                0 if collection.is_divided else units,
                min(collection.customer.units_per_s, MAX_RATE),
                min(max(0.0, collection.customer.burst_units), MAX_RATE),
            )
            if self._send(host, message):
                collection.asked_ms[host] = now_ms
                collection.times_asked[host] = collection.times_asked.get(host, 0) + 1
                expected += most_left
            else:
                self._mark_silent(host, now_ms + _RECONNECT_MS)

    def _mark_silent(self, holder: HostId, until_ms: int) -> None:
        if holder not in self._silent_until_ms:
            _log.warning("holder of a limit does not answer", extra={"holder": holder})
        self._silent_until_ms[holder] = max(until_ms, self._silent_until_ms.get(holder, 0))

    def _take_own(self, collection: _Collection, now_ms: int) -> None:
        """Take what the own share has of the units."""
        customer = collection.customer
        is_holder = self._host in self.shares.holders(customer.name)
        if not self.knows_fleet or not is_holder or collection.has_tried_own:
            return
        collection.has_tried_own = True
        least_units = 0 if collection.is_divided else collection.missing
        taken = self._quotas.take(customer, collection.missing, now_ms, least_units=least_units)
        if taken:
            collection.found[self._host] = taken

    def _share(self, customer: CustomerPolicy) -> float:
        """Return the fraction of a customer's limit that each of its holders has."""
        return 1 / max(1, len(self.shares.holders(customer.name)))

    def _share_capacity(self, customer: CustomerPolicy) -> float:
        """Return the most units that a holder can have."""
        return self._quotas.share_capacity(customer, self._share(customer))

    def _most_left(self, collection: _Collection, holder: HostId, now_ms: int) -> float:
        """Return the most units that a holder can grant; none if it has too few for a request."""
        customer = collection.customer
        capacity = self._share_capacity(customer)
        known = self._levels.get(customer.name, {}).get(holder)
        if known is None:
            return capacity
        refill_per_s = customer.units_per_s * self._share(customer)
        refilled = (now_ms - known.at_ms) * refill_per_s / 1_000
        left = min(capacity, known.left + refilled)
        return left if collection.is_divided or left >= collection.missing else 0.0

    def _admit(self, collection: _Collection) -> None:
        del self._collections[collection.number]
        name = collection.customer.name
        # Negative if more than one holder has answered, positive if it exceeds the whole limit.
        extra = collection.missing + collection.units - collection.needed
        sources = dict(collection.found)
        for host, units in collection.found.items():
            if extra < 0:
                unused = min(units, -extra)
                sources[host] -= unused
                extra += unused
                self._return(name, host, unused)
        # Divided among the holders, since each of them grants what it has left.
        for number, host in enumerate(sources):
            part = max(0, extra) // (len(sources) - number)
            sources[host] += part
            extra -= part
            if part:
                self._return(name, host, -part)
        self._quotas.count_admitted(name, collection.units)
        collection.decided(Admitted(name, collection.units, tuple(sources.items())))

    def _refuse(self, collection: _Collection) -> None:
        del self._collections[collection.number]
        found = collection.needed - collection.missing
        wait_ms = round(1_000 * collection.missing / collection.customer.units_per_s)
        self._return_all(collection)
        collection.decided(Exhausted(max(1, wait_ms), collection.needed, found))

    def _give_up(self, collection: _Collection) -> None:
        del self._collections[collection.number]
        found = collection.needed - collection.missing
        silent = tuple(collection.asked_ms)
        self._return_all(collection)
        collection.decided(Unanswered(_NO_ANSWER_RETRY_MS, collection.needed, found, silent))

    def _return_all(self, collection: _Collection) -> None:
        for host, units in collection.found.items():
            self._return(collection.customer.name, host, units)

    def _return(self, customer: str, holder: HostId, units: int) -> None:
        """Return unused units to their holder."""
        known = self._levels.get(customer, {}).get(holder)
        if known is not None:
            self._levels[customer][holder] = replace(known, left=known.left + units)
        if holder == self._host:
            self._quotas.give_back(customer, units, self._clock.now_ms())
        elif units and not self._send(holder, UnitsReturn(customer, _in_range(units))):
            _log.info(
                "units could not be returned",
                extra={"customer": customer, "holder": holder, "units": units},
            )


def _in_range(units: int) -> int:
    """Return a number of units as far as a message can carry it."""
    return max(-MAX_UNITS, min(units, MAX_UNITS))
