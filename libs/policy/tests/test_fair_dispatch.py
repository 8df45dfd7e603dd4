"""Guards against customers that lose their slots to the flood of another one, and idle slots."""

import random
from collections import Counter
from dataclasses import dataclass, field

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
    number: int = 0
    running: list = field(default_factory=list)
    customers: dict = field(default_factory=dict)

    def __post_init__(self):
        self.placement = Placement(random.Random(1))
        self.placement.set_upstream(
            RegisteredUpstream("engine", "assistant", ("10.0.0.1", 80), slots=self.slots)
        )
        self.dispatcher = Dispatcher(self.placement)

    def request(self, customer, *, work_tokens=1_000, tier=0, small=False, weight=1.0, **values):
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
            **values,
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
        self.now_ms += STEP_MS

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


@pytest.mark.parametrize("times", [5, 7])
def test_a_flood_of_one_customer_takes_no_slots_from_the_others(times):
    """A flood of five times the usual amount took the slots of 15 customers within their limits."""
    contention = Contention(slots=8)
    contention.run(6_000, USUAL | {"c0": 5 * times})
    assert min(served(contention, customer) for customer in USUAL if customer != "c0") > 0.97
    # The engine runs 90 requests a second. No slot is idle: the flood has what the others leave.
    assert contention.granted.total() > 525
    assert contention.granted["c0"] > 75


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


def test_a_flood_of_small_requests_takes_no_slots_from_other_small_ones():
    contention = Contention()
    small = {customer: {"small": True} for customer in USUAL}
    contention.run(6_000, USUAL | {"c0": 40}, **small)
    assert min(served(contention, customer) for customer in USUAL if customer != "c0") > 0.97


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


def test_requests_without_a_customer_are_one_customer():
    contention = Contention()
    contention.run(6_000, {"": 200, "c1": 20})
    assert served(contention, "c1") > 0.97


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
