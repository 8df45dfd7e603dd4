"""Guards what gateways know of each other when some are silent, gone or started again."""

import random

import pytest

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.messages import GatewayState, SlotLoads
from skylarkmoor_core.settings import Address
from skylarkmoor_gateway.fleet import Fleet
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.fleetcounts import FleetQuotas, FleetRetries
from skylarkmoor_policy.placedupstream import ListedUpstream
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.routetable import ApiCustomer
from skylarkmoor_policy.slotgroups import SlotGroup

CUSTOMER = ApiCustomer("depots", ("k",), units_per_s=100, burst_units=100, counts_tokens=True)


@pytest.fixture
def fleet(monkeypatch):
    clock = ManualClock(now_ms=10_000)
    placement = Placement(random.Random(1))
    placement.set_upstream(
        ListedUpstream(
            "engine", "assistant", ("10.0.0.1", 80), slots=2, version="v1", started_wall_ms=1
        )
    )
    asked = []
    made = Fleet(
        "me",
        1,
        clock,
        placement,
        FleetQuotas(),
        FleetRetries(0.2, 10_000, 10),
        CrashCounts(),
        lambda: asked.append("configuration"),
        lambda: asked.append("upstreams"),
        lambda delay_ms, call: None,
    )
    made.asked = asked
    made.clock = clock
    monkeypatch.setattr(made._peers, "set_peers", lambda addresses: None)
    monkeypatch.setattr(made._peers, "broadcast", lambda message: None)
    return made


def state(**changes):
    values = {
        "address": "10.0.0.2:7600",
        "leaving": False,
        "configuration": -1,
        "loads": {},
        "admitted": {},
        "requests": {},
        "repeats": {},
    }
    return GatewayState(**(values | changes))


def hear(fleet, sender="peer", incarnation=1, **changes):
    fleet._on_message(sender, incarnation, state(**changes))


def test_an_unknown_sender_becomes_a_peer(fleet):
    hear(fleet)
    assert fleet.heard() == 1
    assert fleet.fresh_hosts() == ["me", "peer"]


def test_the_load_of_a_silent_peer_is_dropped(fleet):
    hear(fleet, loads={"engine": (2, 500)})
    assert fleet._placement.upstreams["engine"].running() == 2
    fleet.clock.advance(1_300)
    fleet.tick()
    assert fleet._placement.upstreams["engine"].running() == 0
    assert fleet.heard() == 0


def test_a_silent_dispatcher_is_replaced_before_it_counts_as_lost(fleet):
    hear(fleet)
    fleet.clock.advance(600)
    assert fleet.fresh_hosts() == ["me"]
    assert fleet.heard() == 1


def test_a_large_fleet_replaces_a_silent_dispatcher_before_its_next_state_is_due(fleet):
    """With 60 peers states come 720 ms apart; requests waited 2.9 s for a dead dispatcher."""
    peers = [f"peer-{number}" for number in range(60)]
    for peer in peers:
        hear(fleet, sender=peer)
    first, second, third = rendezvous_order("assistant", [*peers, "me"])[:3]
    assert fleet.dispatching.owner(SlotGroup("assistant")) == first
    fleet.clock.advance(1_300)
    hear(fleet, sender=second)
    assert first in fleet.fresh_hosts()
    assert fleet.dispatching.owner(SlotGroup("assistant")) == second
    fleet.clock.advance(1_300)
    assert fleet.dispatching.owner(SlotGroup("assistant")) == third


@pytest.mark.parametrize(("rank", "expected"), [(0, 4), (1, 4), (2, 2)])
def test_possible_dispatchers_of_a_large_fleet_send_their_states_more_often(
    fleet, monkeypatch, rank, expected
):
    """A dispatcher that sent as rarely as the others was taken to be silent."""
    names = [f"peer-{number}" for number in range(10_000)]
    above = [name for name in names if rendezvous_order("assistant", [name, "me"])[0] == name]
    below = [name for name in names if name not in set(above)]
    peers = above[:rank] + below[: 60 - rank]
    sent = []
    monkeypatch.setattr(fleet._peers, "broadcast", sent.append)
    for peer in peers:
        hear(fleet, sender=peer)
    for _ in range(48):
        fleet.clock.advance(25)
        fleet.tick()
    assert len(sent) == expected


def test_only_the_dispatcher_of_an_engine_is_told_its_load_at_once(fleet, monkeypatch):
    """Whole states at each change of the load overran the dispatcher of a large fleet."""
    hear(fleet)
    sent, calls = [], []
    monkeypatch.setattr(fleet._peers, "send", lambda to, message: sent.append((to, message)))
    monkeypatch.setattr(fleet.dispatching, "owner", lambda group: "peer")
    fleet._later = lambda delay_ms, call: calls.append(call)
    fleet._placement.started("engine", 300)
    fleet.load_changed("engine")
    fleet.load_changed("engine")
    for call in calls:
        call()
    assert sent == [("peer", SlotLoads("assistant", 0, 1, {"engine": (1, 300)}))]


def test_loads_told_to_a_dispatcher_count(fleet):
    hear(fleet)
    message = SlotLoads("assistant", 0, 1, {"engine": (1, 300)})
    fleet._on_message("peer", 1, message)
    assert fleet._placement.upstreams["engine"].running() == 1


def test_loads_of_a_daemon_that_was_dropped_do_not_count(fleet):
    """Nothing would ever take them off again, and the engine looked busy for good."""
    hear(fleet)
    hear(fleet, leaving=True)
    fleet.clock.advance(1_300)
    fleet.tick()
    fleet._on_message("peer", 1, SlotLoads("assistant", 0, 1, {"engine": (1, 300)}))
    assert fleet._placement.upstreams["engine"].running() == 0


def test_limits_shrink_while_a_peer_is_silent_and_return_when_it_is_gone(fleet):
    hear(fleet)
    fleet._quotas.admit(CUSTOMER, 20, fleet.clock.now_ms())
    fleet.clock.advance(1_300)
    fleet.tick()
    fleet._quotas.admit(CUSTOMER, 100, fleet.clock.now_ms())
    fleet.clock.advance(1_000)
    assert fleet._quotas.admit(CUSTOMER, 60, fleet.clock.now_ms()) is not None
    fleet.clock.advance(12_000)
    fleet.tick()
    assert fleet._quotas.admit(CUSTOMER, 100, fleet.clock.now_ms()) is None
    fleet.clock.advance(1_000)
    assert fleet._quotas.admit(CUSTOMER, 60, fleet.clock.now_ms()) is None


def test_the_load_of_a_leaving_peer_counts_until_it_has_ended(fleet):
    """Its streams go on for seconds; engines would look emptier than they are."""
    hear(fleet, loads={"engine": (1, 0)})
    hear(fleet, loads={"engine": (1, 0)}, leaving=True)
    assert fleet.fresh_hosts() == ["me"]
    assert fleet.heard() == 0
    assert fleet._placement.upstreams["engine"].running() == 1
    fleet.clock.advance(1_300)
    fleet.tick()
    assert fleet._placement.upstreams["engine"].running() == 0
    assert fleet._known == {}


def test_the_last_counts_of_a_leaving_peer_are_taken(fleet):
    fleet._quotas.admit(CUSTOMER, 10, fleet.clock.now_ms())
    hear(fleet, admitted={"depots": 10})
    hear(fleet, admitted={"depots": 60}, leaving=True)
    assert fleet._quotas.admit(CUSTOMER, 60, fleet.clock.now_ms()) is not None


def test_an_unknown_peer_that_leaves_is_ignored(fleet):
    hear(fleet, leaving=True)
    assert fleet._known == {}


def test_a_peer_that_comes_back_takes_part_again(fleet):
    hear(fleet)
    hear(fleet, leaving=True)
    hear(fleet, incarnation=2)
    assert fleet.fresh_hosts() == ["me", "peer"]


def test_newer_records_of_a_peer_are_read_at_once(fleet):
    fleet.configuration = 4
    fleet.upstreams_read = 9
    hear(fleet, configuration=4, upstreams=9)
    assert fleet.asked == []
    hear(fleet, configuration=5, upstreams=10)
    assert fleet.asked == ["configuration", "upstreams"]


def test_a_peer_without_a_usable_address_is_ignored(fleet):
    hear(fleet, address="nowhere")
    assert fleet.heard() == 0


def test_a_daemon_that_leaves_dispatches_for_nobody_else(fleet):
    hear(fleet)
    fleet.leaving = True
    assert fleet.fresh_hosts() == ["peer"]


def test_the_own_address_is_no_peer(fleet):
    fleet.add("me", Address("10.0.0.1", 7600))
    hear(fleet, sender="me")
    assert fleet.heard() == 0
