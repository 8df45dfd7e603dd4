"""Guards against stale peers and loads, slow dispatcher failover and exceeded customer limits."""

import random

import pytest
from msgspec import structs

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.hashing import rendezvous_order
from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_core.messages import (
    ClockAnswer,
    ClockQuestion,
    ConfigurationConfirmed,
    CrashedRequest,
    CrashEvidence,
    CrashReport,
    GatewayState,
    SlotGrant,
    SlotLoads,
    SlotRequest,
)
from skylarkmoor_core.settings import Address
from skylarkmoor_gateway.fleet import Fleet
from skylarkmoor_gateway.limitcoordinator import Admitted
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.fleetlimits import PEER_EXPIRY_MS, FleetQuotas, FleetRetryBudget
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.routetable import CustomerPolicy
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.trackedupstream import RegisteredUpstream

CUSTOMER = CustomerPolicy("depots", ("k",), units_per_s=100, burst_units=100, limits_tokens=True)


@pytest.fixture
def fleet(monkeypatch):
    clock = ManualClock(now_ms=10_000)
    placement = Placement(random.Random(1))
    placement.set_upstream(
        RegisteredUpstream(
            "engine", "assistant", ("10.0.0.1", 80), slots=2, version="v1", started_wall_ms=1
        )
    )
    asked = []
    fleet_under_test = Fleet(
        "me",
        1,
        clock,
        placement,
        FleetQuotas(),
        FleetRetryBudget(0.2, 10_000, 10),
        CrashCounts(),
        lambda: asked.append("configuration"),
        lambda: asked.append("upstreams"),
        lambda delay_ms, callback: None,
    )
    fleet_under_test.asked = asked
    fleet_under_test.clock = clock
    monkeypatch.setattr(fleet_under_test._transport, "set_peers", lambda addresses: None)
    monkeypatch.setattr(fleet_under_test._transport, "broadcast", lambda message: None)
    return fleet_under_test


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


def receive_state(fleet, sender="peer", incarnation=1, **changes):
    fleet._on_message(sender, incarnation, state(**changes))


def test_unknown_sender_is_added_as_peer(fleet):
    receive_state(fleet)
    assert fleet.active_peer_count() == 1
    assert fleet.live_hosts() == ["me", "peer"]


def test_load_of_a_silent_peer_is_cleared(fleet):
    receive_state(fleet, loads={"engine": (2, 500)})
    assert fleet._placement.upstreams["engine"].running() == 2
    fleet.clock.advance(1_300)
    fleet.tick()
    assert fleet._placement.upstreams["engine"].running() == 0
    assert fleet.active_peer_count() == 0


def test_silent_dispatcher_is_replaced_before_it_times_out_as_peer(fleet):
    """Requests would wait for a failed dispatcher for the whole peer timeout, 1 s or longer."""
    receive_state(fleet)
    fleet.clock.advance(600)
    assert fleet.live_hosts() == ["me"]
    assert fleet.active_peer_count() == 1


def test_large_fleet_replaces_a_dispatcher_that_misses_its_short_report_interval(fleet):
    """With 60 peers the interval is 720 ms; requests waited 2.9 s for a failed dispatcher."""
    peers = [f"peer-{number}" for number in range(60)]
    for peer in peers:
        receive_state(fleet, sender=peer)
    first, second, third = rendezvous_order("assistant", [*peers, "me"])[:3]
    assert fleet.slot_coordinator.dispatcher_of(SlotGroup("assistant")) == first
    fleet.clock.advance(1_300)
    receive_state(fleet, sender=second)
    assert first in fleet.live_hosts()
    assert fleet.slot_coordinator.dispatcher_of(SlotGroup("assistant")) == second
    fleet.clock.advance(1_300)
    assert fleet.slot_coordinator.dispatcher_of(SlotGroup("assistant")) == third


@pytest.mark.parametrize(("rank", "expected"), [(0, 4), (1, 4), (2, 2)])
def test_eligible_dispatchers_of_a_large_fleet_report_more_often(
    fleet, monkeypatch, rank, expected
):
    """A dispatcher that reported at the regular interval was considered silent."""
    names = [f"peer-{number}" for number in range(10_000)]
    above = [name for name in names if rendezvous_order("assistant", [name, "me"])[0] == name]
    below = [name for name in names if name not in set(above)]
    peers = above[:rank] + below[: 60 - rank]
    sent = []
    monkeypatch.setattr(fleet._transport, "broadcast", sent.append)
    for peer in peers:
        receive_state(fleet, sender=peer)
    for _ in range(48):
        fleet.clock.advance(25)
        fleet.tick()
    assert len(sent) == expected


def test_load_change_is_reported_only_to_the_dispatcher(fleet, monkeypatch):
    """Broadcasting the full state on each load change overloaded dispatchers of large fleets."""
    receive_state(fleet)
    sent, callbacks = [], []
    monkeypatch.setattr(fleet._transport, "send", lambda to, message: sent.append((to, message)))
    monkeypatch.setattr(fleet.slot_coordinator, "dispatcher_of", lambda group: "peer")
    fleet._later = lambda delay_ms, callback: callbacks.append(callback)
    fleet._placement.record_start("engine", 300)
    fleet.load_changed("engine")
    fleet.load_changed("engine")
    for callback in callbacks:
        callback()
    assert sent == [("peer", SlotLoads("assistant", 0, 1, {"engine": (1, 300)}))]


def test_load_report_of_a_peer_is_counted(fleet):
    receive_state(fleet)
    message = SlotLoads("assistant", 0, 1, {"engine": (1, 300)})
    fleet._on_message("peer", 1, message)
    assert fleet._placement.upstreams["engine"].running() == 1


def test_load_report_of_a_removed_peer_is_ignored(fleet):
    """Nothing would ever clear them, so the engine would look busy indefinitely."""
    receive_state(fleet)
    receive_state(fleet, leaving=True)
    fleet.clock.advance(1_300)
    fleet.tick()
    fleet._on_message("peer", 1, SlotLoads("assistant", 0, 1, {"engine": (1, 300)}))
    assert fleet._placement.upstreams["engine"].running() == 0


def test_the_share_of_a_silent_peer_is_not_granted_until_the_peer_is_removed(fleet):
    """A silent peer may still admit requests, so that together they would exceed the limit."""
    receive_state(fleet, shares_limits=True)
    fleet.tick()
    assert fleet._quotas.admit(CUSTOMER, 50, fleet.clock.now_ms()) is None
    fleet.clock.advance(1_300)
    fleet.tick()
    assert fleet.active_peer_count() == 0
    assert fleet._quotas.admit(CUSTOMER, 51, fleet.clock.now_ms()) is not None
    assert fleet._quotas.admit(CUSTOMER, 50, fleet.clock.now_ms()) is None
    fleet.clock.advance(12_000)
    fleet.tick()
    assert fleet._quotas.admit(CUSTOMER, 51, fleet.clock.now_ms()) is not None
    fleet.clock.advance(500)
    assert fleet._quotas.admit(CUSTOMER, 100, fleet.clock.now_ms()) is None


def test_no_share_is_held_before_the_fleet_is_known(fleet):
    """Each gateway that starts would take itself for the only holder of all limits."""
    fleet.await_peer_list()
    decisions = []
    assert fleet.limit_coordinator.request(CUSTOMER, 10, decisions.append) is not None
    assert decisions == []
    fleet.peers_listed()
    fleet.clock.advance(25)
    fleet.tick()
    assert decisions == [Admitted("depots", 10, (("me", 10),))]


def test_a_peer_of_an_older_build_holds_no_share_and_its_units_are_deducted(fleet):
    """It admits on its own and answers no requests for units."""
    receive_state(fleet)
    receive_state(fleet, admitted={"depots": 60})
    fleet.tick()
    assert fleet.limit_coordinator.shares.members == {"me"}
    fleet._quotas.set_customers([CUSTOMER], fleet.clock.now_ms())
    assert fleet._quotas.admit(CUSTOMER, 41, fleet.clock.now_ms()) is not None
    assert fleet._quotas.admit(CUSTOMER, 40, fleet.clock.now_ms()) is None


def test_units_of_a_peer_that_holds_shares_are_not_deducted_again(fleet):
    receive_state(fleet, shares_limits=True)
    receive_state(fleet, shares_limits=True, admitted={"depots": 60})
    fleet.tick()
    assert fleet.limit_coordinator.shares.members == {"me", "peer"}
    assert fleet._quotas.admit(CUSTOMER, 50, fleet.clock.now_ms()) is None


def test_a_relay_of_an_older_build_does_not_take_a_peer_out_of_the_holders(fleet):
    """Older builds pass states on without the fields that they do not know."""
    receive_state(fleet, shares_limits=True, sequence=1)
    receive_state(fleet, shares_limits=False, sequence=2)
    fleet.tick()
    assert fleet.limit_coordinator.shares.members == {"me", "peer"}


def test_load_of_a_leaving_peer_is_counted_until_it_is_removed(fleet):
    """Its streams continue for seconds, and engines would look less loaded than they are."""
    receive_state(fleet, loads={"engine": (1, 0)})
    receive_state(fleet, loads={"engine": (1, 0)}, leaving=True)
    assert fleet.live_hosts() == ["me"]
    assert fleet.active_peer_count() == 0
    assert fleet._placement.upstreams["engine"].running() == 1
    fleet.clock.advance(1_300)
    fleet.tick()
    assert fleet._placement.upstreams["engine"].running() == 0
    assert fleet._peer_states == {}


def test_last_counts_of_a_leaving_peer_are_added(fleet):
    fleet._quotas.admit(CUSTOMER, 10, fleet.clock.now_ms())
    receive_state(fleet, admitted={"depots": 10})
    receive_state(fleet, admitted={"depots": 60}, leaving=True)
    assert fleet._quotas.admit(CUSTOMER, 60, fleet.clock.now_ms()) is not None


def test_leaving_state_of_an_unknown_peer_is_ignored(fleet):
    """A late report would add a peer again that has already left."""
    receive_state(fleet, leaving=True)
    assert fleet._peer_states == {}


def test_restarted_peer_is_live_again(fleet):
    receive_state(fleet)
    receive_state(fleet, leaving=True)
    receive_state(fleet, incarnation=2)
    assert fleet.live_hosts() == ["me", "peer"]


def test_newer_offsets_of_a_peer_trigger_a_read(fleet):
    fleet.configuration = LogPosition(0, 4)
    fleet.upstreams_read = LogPosition(0, 9)
    receive_state(fleet, configuration=4, upstreams=9)
    assert fleet.asked == []
    receive_state(fleet, configuration=5, upstreams=10)
    assert fleet.asked == ["configuration", "upstreams"]


def test_offsets_of_an_earlier_era_trigger_no_read(fleet):
    """After a restore every state of a peer that had not read it made all others read."""
    fleet.configuration = LogPosition(2, 4)
    fleet.upstreams_read = LogPosition(2, 9)
    receive_state(fleet, configuration=50, configuration_era=1, upstreams=90, upstreams_era=1)
    assert fleet.asked == []
    receive_state(fleet, configuration=1, configuration_era=3, upstreams=2, upstreams_era=3)
    assert fleet.asked == ["configuration", "upstreams"]


def test_state_names_the_eras_of_its_offsets(fleet):
    fleet.configuration = LogPosition(2, 4)
    fleet.upstreams_changed = LogPosition(3, 9)
    sent = fleet._state()
    assert (sent.configuration, sent.configuration_era) == (4, 2)
    assert (sent.upstreams, sent.upstreams_era) == (9, 3)


def test_peer_with_an_invalid_address_is_ignored(fleet):
    receive_state(fleet, address="nowhere")
    assert fleet.active_peer_count() == 0


def test_leaving_gateway_is_no_dispatcher_candidate(fleet):
    """Its peers already use another dispatcher, so the same slots would be granted twice."""
    receive_state(fleet)
    fleet.draining = True
    assert fleet.live_hosts() == ["peer"]


def test_own_host_is_not_added_as_peer(fleet):
    fleet.add_peer("me", Address("10.0.0.1", 7600))
    receive_state(fleet, sender="me")
    assert fleet.active_peer_count() == 0


def crash_report(part=9, age_ms=0):
    request = CrashedRequest("r1", True, (part,))
    return CrashEvidence((CrashReport("engine", 1, age_ms, (request,)),))


@pytest.fixture
def evidence_sent(fleet, monkeypatch):
    """Return what the gateway sends: receivers, None for all, with the message."""
    sent = []
    monkeypatch.setattr(fleet._transport, "send", lambda to, message: sent.append((to, message)))
    monkeypatch.setattr(
        fleet._transport,
        "broadcast",
        lambda message: sent.append((None, message)) if type(message) is CrashEvidence else None,
    )
    fleet._later = lambda delay_ms, callback: callback()
    return sent


def test_a_crash_is_reported_at_once_and_repeated_for_a_minute(fleet, evidence_sent):
    """A report that is lost, or that finds a peer cut off, costs that peer a crash of its own."""
    fleet._crash_evidence.record_crash("engine", 1, [CrashedRequest("r1", True, (9,))], 10_000)
    fleet.send_crash_evidence()
    assert [to for to, _ in evidence_sent] == [None]
    fleet.clock.advance(900)
    fleet.tick()
    assert len(evidence_sent) == 1
    fleet.clock.advance(100)
    fleet.tick()
    assert evidence_sent[1][1].crashes[0].age_ms == 1_000
    fleet.clock.advance(60_000)
    fleet.tick()
    assert len(evidence_sent) == 2


def test_the_report_of_a_peer_blocks_the_part(fleet, evidence_sent):
    fleet._on_message("peer", 1, crash_report(age_ms=40))
    assert fleet._crash_evidence.blocked_ms([9], 10_000) == 9_960
    assert evidence_sent == []


def test_a_peer_that_blames_a_sound_part_is_told_of_its_answers(fleet, evidence_sent):
    fleet._crash_evidence.record_start([9], 9_000)
    fleet._on_message("peer", 1, crash_report())
    ((to, answer),) = evidence_sent
    assert (to, answer.starts_age_ms) == ("peer", {9: 1_000})


def test_a_peer_that_has_started_again_is_told_of_all_crashes(fleet, evidence_sent):
    fleet._on_message("first", 1, crash_report())
    receive_state(fleet, sender="second", incarnation=1)
    receive_state(fleet, sender="second", incarnation=1)
    receive_state(fleet, sender="second", incarnation=2)
    assert [(to, len(message.crashes)) for to, message in evidence_sent] == [("second", 1)] * 2


def test_an_older_list_does_not_change_what_is_known_of_peers(fleet):
    """An expired peer reduced the limits of customers again, and a heard one was disconnected."""
    receive_state(fleet)
    fleet.add_listed_peer("peer", Address("10.0.0.9", 7600))
    assert str(fleet._peer_states["peer"].address) == "10.0.0.2:7600"
    fleet.add_listed_peer("gone", Address("10.0.0.3", 7600))
    fleet.clock.advance(PEER_EXPIRY_MS + 1)
    fleet._check_peers(fleet.clock.now_ms())
    fleet.add_listed_peer("gone", Address("10.0.0.3", 7600))
    assert "gone" not in fleet._peer_states
    fleet.add_listed_peer("gone", Address("10.0.0.4", 7600))
    assert "gone" in fleet._peer_states


def test_slot_requests_and_grants_of_a_replaced_process_are_dropped(fleet, monkeypatch):
    """Its host got grants for them, which the next process used for its own requests."""
    sent = []
    monkeypatch.setattr(fleet._transport, "send", lambda to, message: sent.append(message))
    receive_state(fleet)
    slot_request = SlotRequest(1, "assistant", 0, 0, False, 100, 0, 0, 400, 2_000, 10, 10_000)
    for ticket in range(1, 6):
        fleet._on_message("peer", 1, structs.replace(slot_request, ticket=ticket))
    assert len([each for each in sent if isinstance(each, SlotGrant)]) == 3
    assert fleet.slot_coordinator.queued() == 2
    assert fleet._placement.upstreams["engine"].running() == 3
    receive_state(fleet, incarnation=2)
    assert fleet.slot_coordinator.queued() == 0
    assert fleet._placement.upstreams["engine"].running() == 0


@pytest.mark.parametrize("through", ["state", "loads"])
def test_grants_to_a_peer_count_while_it_names_those_of_an_earlier_dispatcher(
    fleet, monkeypatch, through
):
    """The slots of the first grants after a start were granted once more."""
    monkeypatch.setattr(fleet._transport, "send", lambda to, message: None)
    receive_state(fleet)
    fleet._on_message(
        "peer", 1, SlotRequest(1, "assistant", 0, 0, False, 100, 0, 0, 400, 2_000, 10, 10_000)
    )
    assert fleet._placement.upstreams["engine"].running() == 1
    if through == "state":
        receive_state(fleet, taken={"me": 500})
    else:
        fleet._on_message("peer", 1, SlotLoads("assistant", 0, 1, {}, taken=500))
    assert fleet._placement.upstreams["engine"].running() == 1


def test_peers_that_a_gateway_hears_of_at_its_start_do_not_use_up_the_limits(fleet):
    """Each one that was not heard yet took a part of all buckets, which then had to be refilled."""
    fleet._quotas.set_customers([CUSTOMER], fleet.clock.now_ms())
    for number in range(8):
        fleet.add_peer(f"peer-{number}", Address("10.0.0.2", 7600 + number))
    for number in range(8):
        receive_state(fleet, sender=f"peer-{number}", address=f"10.0.0.2:{7600 + number}")
    fleet.clock.advance(300)
    fleet.tick()
    assert fleet._quotas.admit(CUSTOMER, 100, fleet.clock.now_ms()) is None


def test_the_first_units_of_a_customer_at_a_known_peer_count(fleet):
    """Each peer gave away the first ones, since they were taken for old ones."""
    fleet._quotas.set_customers([CUSTOMER], fleet.clock.now_ms())
    receive_state(fleet)
    fleet._check_peers(fleet.clock.now_ms())
    receive_state(fleet, admitted={"depots": 90})
    assert fleet._quotas.admit(CUSTOMER, 11, fleet.clock.now_ms()) is not None
    assert fleet._quotas.admit(CUSTOMER, 10, fleet.clock.now_ms()) is None


@pytest.mark.parametrize(
    ("peers", "shares_limits", "is_relayed"),
    [(31, True, False), (32, True, True), (32, False, False)],
)
def test_relays_pass_states_on_in_a_large_fleet_of_one_build(
    fleet, monkeypatch, peers, shares_limits, is_relayed
):
    """Relays of older builds do not pass on which peers hold shares of the limits."""
    monkeypatch.setattr(fleet._transport, "multicast", lambda hosts, message: None)
    fleet._failure_domain = "a"
    for number in range(peers):
        receive_state(
            fleet, sender=f"peer-{number}", failure_domain="a", shares_limits=shares_limits
        )
    fleet.tick()
    assert fleet._relaying is is_relayed


def test_the_first_message_of_a_peer_that_was_held_up_confirms_nothing(fleet):
    """A read of 3.5 s ago looked 10 ms old, and valid requests got 404 or 401 (CONFIG)."""
    peer_ms, held_up_ms = 3_000, 3_500
    fleet.configuration = LogPosition(1, 7)
    fleet._on_message("peer", 1, ConfigurationConfirmed(1, 7, peer_ms - 10, peer_ms))
    now_ms = fleet.clock.now_ms()
    age_ms = fleet.configuration_age.age_ms(now_ms)
    assert age_ms is None or age_ms >= held_up_ms
    assert not fleet.configuration_age.is_current(now_ms)


def test_a_confirmation_counts_as_old_as_it_may_be(fleet, monkeypatch):
    sent = []
    monkeypatch.setattr(fleet._transport, "send", lambda to, message: sent.append((to, message)))
    fleet.configuration = LogPosition(1, 7)
    peer_ms = 3_000
    fleet._on_message("peer", 1, ConfigurationConfirmed(1, 7, peer_ms - 10, peer_ms))
    asked_ms = fleet.clock.now_ms()
    assert sent == [("peer", ClockQuestion(asked_ms))]
    fleet.clock.advance(20)
    fleet._on_message("peer", 1, ClockAnswer(asked_ms, peer_ms + 3_510))
    # The first message was sent 3510 ms before the answer, and its read began 10 ms earlier.
    assert fleet.configuration_age.age_ms(asked_ms) == 3_520
    fleet._on_message("peer", 1, ConfigurationConfirmed(1, 7, peer_ms + 3_505, peer_ms + 3_515))
    assert fleet.configuration_age.age_ms(fleet.clock.now_ms()) == 25
    assert fleet.configuration_age.is_current(fleet.clock.now_ms())
    assert fleet.configuration_confirmed_by == "peer"


def test_a_peer_of_an_older_build_is_not_asked_for_its_clock(fleet, monkeypatch):
    """It logs each question as undecodable, one for each gateway and confirmation."""
    sent = []
    monkeypatch.setattr(fleet._transport, "send", lambda to, message: sent.append((to, message)))
    fleet.configuration = LogPosition(1, 7)
    receive_state(fleet, shares_limits=False)
    fleet._on_message("peer", 1, ConfigurationConfirmed(1, 7, 2_990, 3_000))
    assert sent == []
    assert fleet.configuration_age.age_ms(fleet.clock.now_ms()) is None


def test_a_gateway_tells_its_clock(fleet, monkeypatch):
    sent = []
    monkeypatch.setattr(fleet._transport, "send", lambda to, message: sent.append((to, message)))
    fleet._on_message("peer", 1, ClockQuestion(77))
    assert sent == [("peer", ClockAnswer(77, fleet.clock.now_ms()))]


def test_a_peer_of_a_fleet_of_hundreds_is_silent_before_it_is_removed(fleet, monkeypatch):
    """Peers were removed after 12 s, when they had missed three states of 4 s only (QUOTA)."""
    monkeypatch.setattr(fleet._transport, "multicast", lambda hosts, message: None)
    fleet._failure_domain = "a"
    peers = [f"peer-{number}" for number in range(330)]
    for peer in peers:
        receive_state(fleet, sender=peer, failure_domain="a", shares_limits=True)
    fleet.clock.advance(4 * fleet.interval_ms())
    fleet.tick()
    assert fleet.limit_coordinator.shares.members == {"me", *peers}
    assert fleet.active_peer_count() == 330
    fleet.clock.advance(1_200)
    fleet.tick()
    assert fleet.limit_coordinator.shares.members == {"me", *peers}
    assert fleet.active_peer_count() == 0
    fleet.clock.advance(1_200)
    fleet.tick()
    assert fleet.limit_coordinator.shares.members == {"me"}
