"""Guards against slots lost to the flood of another customer, idle slots and false refusals."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

import pytest

from skylarkmoor_policy.dispatcher import Dispatcher, SlotRequirements, Ticket
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.trackedupstream import RegisteredUpstream
from skylarkmoor_policy.urgencyqueue import QueuedRequest

STEP_MS = 10
GROUP = SlotGroup("assistant")


@dataclass
class Contention:
    """An engine whose requests hold their slots for `hold_ms`, and its dispatcher."""

    slots: int = 9
    hold_ms: int = 100
    wait_ms: int = 700
    now_ms: int = 0
    requested: Counter = field(default_factory=Counter)
    granted: Counter = field(default_factory=Counter)
    refused: list = field(default_factory=list)
    refuses_early: bool = False
    number: int = 0
    running: list = field(default_factory=list)
    customers: dict = field(default_factory=dict)

    def __post_init__(self):
        self.placement = Placement(random.Random(1))
        self.placement.set_upstream(
            RegisteredUpstream("engine", "assistant", ("10.0.0.1", 80), slots=self.slots)
        )
        self.dispatcher = Dispatcher(self.placement)

    def request(
        self, customer, *, work_tokens=1_000, tier=0, small=False, weight=1.0, request_hash=None
    ):
        """Queue a request and return its number."""
        self.number += 1
        need = SlotRequirements(
            Ticket("host", self.number),
            GROUP,
            0,
            0,
            0,
            self.now_ms + 10_000,
            customer=customer,
            customer_weight=weight,
            work_tokens=work_tokens,
            request_hash=self.number if request_hash is None else request_hash,
        )
        now_ms = self.now_ms
        self.dispatcher.enqueue(
            QueuedRequest(need, tier, tier, now_ms, now_ms + 400, now_ms + self.wait_ms, small)
        )
        self.requested[customer] += 1
        self.customers[self.number] = customer
        return self.number

    def step(self):
        """Free the slots of requests that have ended, grant the free ones and advance."""
        for ended in [each for each in self.running if each <= self.now_ms]:
            self.running.remove(ended)
            self.placement.record_end("engine", 0, held_ms=None, fault=None)
        for offer in self.dispatcher.offers(self.now_ms):
            self.placement.record_start("engine", 0)
            self.running.append(self.now_ms + self.hold_ms)
            self.granted[self.customers[offer.ticket.number]] += 1
        if self.refuses_early:
            self.refused += self.dispatcher.refusals(self.now_ms)
        self.now_ms += STEP_MS

    def refused_of(self):
        """Return the number of early refusals by customer."""
        return Counter(self.customers[each.ticket.number] for each in self.refused)

    def run(self, duration_ms, rates, **values):
        """Let customers send requests at rates per second, evenly spaced."""
        start_ms = self.now_ms
        sent = Counter()
        while self.now_ms < start_ms + duration_ms:
            for customer, per_s in rates.items():
                while sent[customer] < per_s * (self.now_ms - start_ms) / 1_000:
                    sent[customer] += 1
                    self.request(customer, **values.get(customer, {}))
            self.step()


# 16 customers at their usual load leave 0.2 of the 100 requests a second that the engine runs.
USUAL = {f"c{number}": 5 for number in range(16)}


def served(contention, customer):
    return contention.granted[customer] / contention.requested[customer]


@pytest.mark.parametrize(
    ("flood", "times", "small"), [("c0", 5, False), ("c0", 7, True), ("", 7, False)]
)
def test_a_flood_of_one_customer_takes_no_slots_from_the_others(flood, times, small):
    """A flood of five times the usual amount took the slots of 15 customers within their limits.

    Requests without a customer are one customer.
    """
    contention = Contention(slots=8)
    values = dict.fromkeys([*USUAL, flood], {"small": small})
    contention.run(6_000, USUAL | {"c0": 0, flood: 5 * times}, **values)
    assert min(served(contention, customer) for customer in USUAL if customer != "c0") > 0.97
    # The engine runs 90 requests a second. No slot is idle: the flood has what the others leave.
    assert contention.granted.total() > 525
    assert contention.granted[flood] > 75


def test_floods_in_succession_are_each_noticed():
    contention = Contention()
    for flooding in ("c0", "c1", "c2"):
        contention.granted.clear()
        contention.requested.clear()
        contention.run(4_000, USUAL | {flooding: 40})
        others = [each for each in USUAL if each not in ("c0", "c1", "c2")]
        assert min(served(contention, each) for each in others) > 0.97
        # A customer whose flood is over is behind for a half-life or two.
        earlier = [each for each in ("c0", "c1", "c2") if each != flooding]
        assert min(served(contention, each) for each in earlier) > 0.75


def test_a_customer_with_a_few_large_requests_gets_its_share():
    """Shares count work, so that many small requests are not worth more than a few large ones."""
    contention = Contention()
    contention.run(6_000, {"many": 200, "few": 5}, few={"work_tokens": 10_000})
    assert served(contention, "few") > 0.9
    # The work of both is about the same when both want more than they have.
    contention.run(6_000, {"many": 200, "few": 50}, few={"work_tokens": 10_000})
    work = {"many": contention.granted["many"], "few": contention.granted["few"] * 10}
    assert contention.granted["few"] > 60
    assert work["few"] < 2 * work["many"] + 10


def test_a_higher_tier_precedes_the_shares():
    contention = Contention()
    contention.run(3_000, {"high": 70, "low": 70}, low={"tier": 1})
    assert served(contention, "high") > 0.97


def test_a_customer_above_its_share_gets_what_nobody_else_wants():
    contention = Contention()
    contention.run(3_000, {"alone": 90})
    contention.run(300, {"other": 5})
    contention.requested.clear()
    contention.granted.clear()
    contention.run(3_000, {"alone": 90, "other": 5})
    assert served(contention, "alone") > 0.97


def test_the_order_without_contention_is_as_before():
    """One customer that waits alone keeps the order by lateness, whatever it has had."""
    shared, single = Contention(), Contention()
    shared.dispatcher.shares.record_grant("c0", 10**6, 0)
    for contention, names in ((shared, ["c0"]), (single, [""])):
        for number in range(40):
            contention.request(names[0], tier=number % 3)
        contention.order = []
        while len(contention.dispatcher):
            for offer in contention.dispatcher.offers(contention.now_ms):
                contention.order.append(offer.ticket.number)
    assert shared.order == single.order


def test_grants_of_another_dispatcher_count_in_the_order():
    """A flood that is spread over several slot groups would have a share in each of them."""
    contention = Contention(slots=1)
    for total in (0, 10_000):
        contention.dispatcher.shares.add_peer_counts("peer", 1, {"flood": total}, 0)
    flood = contention.request("flood")
    other = contention.request("other")
    third = contention.request("other")
    order = [offer.ticket.number for offer in contention.dispatcher.offers(0)]
    assert order[0] == other
    assert flood not in order[:2]
    assert third in order[:2]


def test_a_successor_is_fair_within_one_half_life():
    """A dispatcher that takes over during a flood has only the later reports of the others."""
    contention = Contention()
    contention.run(3_000, USUAL | {"c0": 40})
    contention.dispatcher.shares.__init__()
    contention.requested.clear()
    contention.granted.clear()
    contention.run(3_000, USUAL | {"c0": 40})
    assert min(served(contention, customer) for customer in USUAL if customer != "c0") > 0.9


LOADS = {
    "flood": USUAL | {"c0": 100},
    "twice the capacity": dict.fromkeys(USUAL, 12),
    "just the capacity": dict.fromkeys(USUAL, 6),
    "usual": USUAL,
}


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("hold_ms", [[50, 50], [100, 100], [900, 900], [100, 60]])
def test_early_refusals_take_no_slot_from_anybody(load, hold_ms):
    """An estimate that is too long refuses requests that would have got a slot."""
    granted = []
    for refuses_early in (False, True):
        contention = Contention(refuses_early=refuses_early)
        for contention.hold_ms in hold_ms:
            contention.run(2_000, LOADS[load])
        contention.run(2_000, {})
        contention.run(2_000, LOADS[load])
        granted.append(contention.granted.total())
    assert granted[1] >= granted[0]


def test_the_flood_is_refused_early_and_first():
    contention = Contention(refuses_early=True)
    contention.run(3_000, USUAL | {"c0": 400})
    assert set(contention.refused_of()) == {"c0"}
    assert contention.refused_of()["c0"] > 500


def test_the_lowest_tier_is_refused_early_and_first():
    """Also those requests are refused that wait already when those of a higher tier arrive."""
    contention = Contention(refuses_early=True)
    contention.run(1_000, {"low": 250}, low={"tier": 2})
    refused = len(contention.refused)
    contention.run(1_000, {"low": 250, "high": 90}, low={"tier": 2})
    assert set(contention.refused_of()) == {"low"}
    assert len(contention.refused) > 2 * refused


@pytest.mark.parametrize("request_hash", [0, None])
def test_requests_that_must_not_be_refused_early_wait(request_hash):
    """One that has run before has shown its caller progress; older builds know no refusal."""
    contention = Contention(refuses_early=True)
    contention.run(1_000, {"c0": 400}, c0={"request_hash": request_hash})
    assert bool(contention.refused) == (request_hash is None)


def test_nothing_is_refused_early_while_nothing_is_known():
    contention = Contention(refuses_early=True, hold_ms=5_000)
    contention.run(3_000, {"c0": 400})
    assert contention.refused == []


def test_nothing_is_refused_early_while_another_upstream_has_a_free_slot():
    contention = Contention(refuses_early=True)
    contention.run(2_000, {"c0": 400})
    for _ in range(600):
        contention.request("c0")
    contention.placement.set_upstream(
        RegisteredUpstream("other", "assistant", ("10.0.0.2", 80), slots=1)
    )
    contention.now_ms += 50
    assert contention.dispatcher.refusals(contention.now_ms) == []


def test_a_refusal_says_when_a_slot_becomes_free():
    """Callers that all returned after the same time would find the same queue again."""
    contention = Contention(refuses_early=True)
    contention.run(2_000, {"c0": 150})
    contention.refused.clear()
    waiting = len(contention.dispatcher)
    for _ in range(300):
        contention.request("c0")
    contention.run(60, {})
    # The engine runs 100 requests a second. Twice those of 700 ms remain.
    times_ms = [each.available_in_ms for each in contention.refused]
    assert len(times_ms) == pytest.approx(300 - 140, abs=20)
    assert times_ms == sorted(times_ms, reverse=True)
    assert times_ms[0] == pytest.approx((waiting + 300) * 10, abs=200)
    assert times_ms[-1] == pytest.approx((waiting + 300 - len(times_ms)) * 10, abs=200)


def offered(contention):
    return [offer.ticket.number for offer in contention.dispatcher.offers(contention.now_ms)]


def occupy(contention):
    """Take all places at the engine, and return a function that frees them."""
    contention.placement.set_peer_load("x", {"engine": (contention.slots + 1, 0)})
    return lambda: contention.placement.set_peer_load("x", {})


@pytest.mark.parametrize(
    ("withdrawn_ms", "customer", "precedes"),
    [
        (None, "c0", True),
        # Its daemon notices the deadline a little earlier.
        (650, "c0", True),
        # Its caller has closed the connection.
        (300, "c0", False),
        # Its customer is above its share, unlike that of the newcomer.
        (None, "c1", False),
    ],
)
def test_a_request_that_returns_after_a_refusal_precedes_newcomers(
    withdrawn_ms, customer, precedes
):
    """It would wait behind all that have come since, and be refused again."""
    contention = Contention()
    free = occupy(contention)
    contention.dispatcher.shares.record_grant("c1", 10_000, 0)
    first = contention.request(customer, request_hash=99)
    if withdrawn_ms is not None:
        contention.dispatcher.withdraw(Ticket("host", first), withdrawn_ms)
    contention.now_ms = 700
    offered(contention)
    newcomer = contention.request("c0")
    contention.now_ms += 100
    returning = contention.request(customer, request_hash=99)
    free()
    assert (offered(contention) == [returning, newcomer]) == precedes


def test_copies_come_after_the_first_attempts_of_their_tier_only():
    contention = Contention()
    free = occupy(contention)
    first = contention.request("c0", request_hash=99)
    copies = [contention.request("c0", request_hash=99) for _ in range(2)]
    # Slot requests are repeated every 500 ms, as they may have been lost.
    contention.dispatcher.enqueue(contention.dispatcher._waiting[Ticket("host", first)])
    contention.dispatcher.shares.record_grant("flood", 10_000, 0)
    flood = contention.request("flood")
    lower = contention.request("c0", tier=1)
    free()
    assert offered(contention) == [first, flood, *copies, lower]


def test_callers_that_send_copies_take_no_slots_from_the_others():
    contention = Contention(refuses_early=True)
    for step in range(300):
        if step % 2 == 0:
            contention.request("honest")
            for _ in range(6):
                contention.request("copying", request_hash=1_000 + step, weight=100.0)
        contention.step()
    assert served(contention, "honest") > 0.95
    # Nor are they starved: each first attempt gets its slot as well.
    assert contention.granted["copying"] > 140


@pytest.mark.parametrize("granted_elsewhere", [True, False])
def test_requests_that_other_groups_grant_shorten_the_expected_wait(granted_elsewhere):
    """Requests queued at several groups were refused as if one group had to serve them all."""
    contention = Contention(slots=1, hold_ms=100, refuses_early=True)
    for max_waiting in [20] * 150 + [60] * 150:
        contention.request("c0")
        contention.step()
        dispatcher = contention.dispatcher
        while len(dispatcher) > max_waiting:
            oldest = next(iter(dispatcher._waiting))
            dispatcher.withdraw(oldest, contention.now_ms, granted_elsewhere=granted_elsewhere)
    assert bool(contention.refused) is not granted_elsewhere


def test_a_copy_of_a_request_that_another_group_has_granted_goes_after_others():
    """Callers that send several copies would displace others at the groups that granted none."""
    contention = Contention(slots=1)
    for _ in range(2):
        contention.request("c0")
    contention.step()
    granted = Ticket("host", contention.request("c0", request_hash=500))
    contention.dispatcher.withdraw(granted, contention.now_ms, granted_elsewhere=True)
    contention.request("c0", request_hash=500)
    other = contention.request("c0")
    contention.now_ms += contention.hold_ms
    contention.placement.record_end("engine", 0, held_ms=None, fault=None)
    offer = next(contention.dispatcher.offers(contention.now_ms))
    assert offer.ticket.number == other


def test_slot_requests_of_one_request_are_no_copies_of_each_other():
    """A dispatcher of two groups would take the second slot request for a copy."""
    contention = Contention(slots=1)
    for _ in range(2):
        contention.request("c0")
    contention.step()
    first = Ticket("host", contention.request("c0", request_hash=500))
    further = Ticket("host", 99)
    queue_further(contention, first, further)
    contention.request("c0")
    for _ in range(2):
        contention.placement.record_end("engine", 0, held_ms=None, fault=None)
    granted = []
    for offer in contention.dispatcher.offers(contention.now_ms):
        contention.placement.record_start("engine", 0)
        granted.append(offer.ticket)
    assert granted == [first, further]


@pytest.mark.parametrize("is_further", [True, False])
def test_only_the_first_group_refuses_a_request_early(is_further):
    """Another group may have a slot for it when its first one has none."""
    contention = Contention(slots=1, hold_ms=100, refuses_early=True)
    for number in range(1_000, 1_200):
        ticket = Ticket("host", contention.request("c0"))
        if is_further:
            queue_further(contention, ticket, ticket, Ticket("host", number))
        contention.step()
    assert bool(contention.refused) is not is_further


def queue_further(contention, queued, further, first_ticket=None):
    """Queue a further slot request for a request, under another ticket or in its place."""
    waiting = contention.dispatcher._waiting[queued]
    need = replace(waiting.item, ticket=further, first_ticket=first_ticket or queued)
    contention.dispatcher.enqueue(replace(waiting, item=need))
