"""Guards against slot requests without their customer, and shares of one gateway's grants."""

import random

import pytest
from msgspec import structs

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.messages import (
    Envelope,
    GatewayState,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    decode_envelope,
    encode_envelope,
)
from skylarkmoor_gateway.fleet import Fleet
from skylarkmoor_gateway.slotcoordinator import SlotClient
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.dispatcher import EarlyRefusal, SlotRequirements, Ticket
from skylarkmoor_policy.fleetlimits import FleetQuotas, FleetRetryBudget
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.trackedupstream import RegisteredUpstream
from skylarkmoor_policy.urgencyqueue import QueuedRequest

CLOCK = ManualClock(now_ms=10_000)


class Client(SlotClient):
    """A request that records what it is told."""

    def __init__(self, placement):
        self.service = "assistant"
        self.placement = placement
        self.granted = []
        self.refused = []

    def slot_granted(self, choice, now_ms):
        self.granted.append(choice.upstream)
        self.placement.record_start(choice.upstream, 0)

    def slot_refused(self, available_in_ms):
        self.refused.append(available_in_ms)


def make_fleet(host, monkeypatch):
    placement = Placement(random.Random(1))
    placement.set_upstream(RegisteredUpstream("engine", "assistant", ("10.0.0.1", 80), slots=2))
    fleet = Fleet(
        host,
        1,
        CLOCK,
        placement,
        FleetQuotas(),
        FleetRetryBudget(0.2, 10_000, 10),
        CrashCounts(),
        lambda: None,
        lambda: None,
        lambda delay_ms, callback: None,
    )
    fleet.sent = []
    monkeypatch.setattr(fleet._transport, "set_peers", lambda addresses: None)
    monkeypatch.setattr(fleet._transport, "broadcast", lambda message: fleet.sent.append(message))
    monkeypatch.setattr(
        fleet._transport, "send", lambda to, message: fleet.sent.append(message) or True
    )
    return fleet


@pytest.fixture
def fleet(monkeypatch):
    return make_fleet("me", monkeypatch)


def state(**changes):
    return GatewayState("10.0.0.2:7600", False, -1, {}, {}, {}, {}, **changes)


def wait(fleet, customer, *, expedited=False, **values):
    client = Client(fleet._placement)
    need = SlotRequirements(
        Ticket("", 0), SlotGroup("assistant"), 0, 0, 0, 20_000, customer=customer, **values
    )
    now_ms = CLOCK.now_ms()
    waiting = QueuedRequest(need, 0, 0, now_ms, now_ms + 400, now_ms + 700, expedited)
    client.number = fleet.slot_coordinator.wait(client, waiting)
    return client


def transferred(message):
    """Return a message as a peer decodes it."""
    return decode_envelope(encode_envelope(Envelope("peer", 1, message))).message


def sent(fleet, kind):
    return [transferred(each) for each in fleet.sent if isinstance(each, kind)]


def test_a_state_reports_the_work_that_the_dispatcher_has_granted(fleet, monkeypatch):
    """Each dispatcher would know the grants of its own slot group only."""
    wait(fleet, "depots", work_tokens=700)
    fleet.tick()
    report = structs.replace(sent(fleet, GatewayState)[-1], address="10.0.0.2:7600")
    assert report.granted_work == {"depots": 700}
    other = make_fleet("other", monkeypatch)
    other._on_message("me", 1, state())
    for incarnation in (1, 2):
        other._on_message("me", incarnation, report)
    assert other.slot_coordinator.shares.recent_work("depots", CLOCK.now_ms()) == 700


def test_a_slot_request_carries_the_customer_and_the_dispatcher_orders_by_its_share(
    fleet, monkeypatch
):
    monkeypatch.setattr(fleet.slot_coordinator, "dispatcher_of", lambda group: "other")
    wait(fleet, "flood", customer_weight=0.5, work_tokens=900)
    wait(fleet, "depots", customer_weight=0.5, work_tokens=900)
    requests = sent(fleet, SlotRequest)
    assert (requests[0].customer, requests[0].customer_weight) == ("flood", 0.5)
    dispatcher = make_fleet("other", monkeypatch)
    dispatcher.slot_coordinator.shares.record_grant("flood", 5_000, CLOCK.now_ms())
    dispatcher._placement.set_peer_load("x", {"engine": (2, 0)})
    dispatcher.slot_coordinator._offering = True
    for request in requests:
        dispatcher._on_message("me", 1, request)
    dispatcher.slot_coordinator._offering = False
    dispatcher.slot_coordinator.grant_free_slots()
    assert [each.ticket for each in sent(dispatcher, SlotGrant)] == [requests[1].ticket]
    # It was passed over in the last round.
    assert dispatcher.slot_coordinator.log_above_share() == 1


def test_slot_requests_of_older_builds_are_one_customer_with_the_mean_weight(fleet):
    older = SlotRequest(1, "assistant", 0, 0, False, 100, 0, 0, 400, 700, 10, 10_000)
    fleet._on_message("peer", 1, state())
    fleet._on_message("peer", 1, older)
    assert fleet.slot_coordinator.shares.recent_work("", CLOCK.now_ms()) == 20


def test_the_dispatcher_refuses_requests_without_a_chance_everywhere(fleet, monkeypatch):
    fleet._placement.set_peer_load("x", {"engine": (3, 0)})
    client = wait(fleet, "depots", request_hash=6)
    refusals = [
        EarlyRefusal(Ticket("me", client.number, 1), 800),
        EarlyRefusal(Ticket("peer", 4, 7), 900),
    ]
    monkeypatch.setattr(fleet.slot_coordinator._dispatcher, "refusals", lambda now_ms: refusals)
    fleet.slot_coordinator.tick()
    fleet.slot_coordinator.tick()
    assert client.refused == [800]
    assert sent(fleet, SlotRefusal)[0] == SlotRefusal(4, 900, 7)


@pytest.mark.parametrize(
    ("sender", "incarnation", "refused"),
    [("other", 1, [900]), ("third", 1, []), ("other", 2, [])],
)
def test_only_the_refusal_of_the_asked_dispatcher_ends_the_wait(
    fleet, monkeypatch, sender, incarnation, refused
):
    """A refusal may arrive after the request has moved to another dispatcher, or is answered."""
    monkeypatch.setattr(fleet.slot_coordinator, "dispatcher_of", lambda group: "other")
    client = wait(fleet, "depots", request_hash=5)
    for _ in range(2):
        fleet._on_message(sender, 1, SlotRefusal(client.number, 900, incarnation))
    assert client.refused == refused


def test_a_request_that_returns_at_another_gateway_is_recognised(fleet):
    """Callers often come back through another gateway than the one that refused them."""
    engine = fleet._placement.upstreams["engine"]
    fleet._placement.set_peer_load("x", {"engine": (engine.slots + 1, 0)})
    for sender in ("front-1", "front-2"):
        fleet._on_message(sender, 1, state())
    values = (False, 0, 0, 0, 400, 700, 0, 10_000)
    fleet._on_message(
        "front-1", 1, SlotRequest(1, "assistant", 0, 0, *values, request_hash=2**64 - 1)
    )
    CLOCK.advance(700)
    fleet.slot_coordinator.tick()
    for ticket, request_hash in ((5, 8), (6, 2**64 - 1)):
        request = SlotRequest(ticket, "assistant", 0, 0, *values, request_hash=request_hash)
        fleet._on_message("front-2", 1, request)
    fleet._placement.set_peer_load("x", {"engine": (engine.slots, 0)})
    fleet.slot_coordinator.grant_free_slots()
    assert [each.ticket for each in sent(fleet, SlotGrant)] == [6]


def test_the_dispatcher_is_told_of_a_grant_that_is_not_used(fleet, monkeypatch):
    """It counted the slot as taken until the next state, seconds later in a large fleet."""
    reports = []
    monkeypatch.setattr(fleet.slot_coordinator, "dispatcher_of", lambda group: "later one")
    client = wait(fleet, "depots")
    fleet.slot_coordinator.withdraw(client.number)
    monkeypatch.setattr(fleet._transport, "send", lambda *message: reports.append(message))
    fleet._on_message("other", 1, SlotGrant(client.number, "engine", 7, incarnation=1))
    assert client.granted == []
    [(dispatcher, report)] = reports
    assert (dispatcher, report.loads, report.taken) == ("other", {}, 7)
