"""Guards against large fleets whose states cost too much, get lost in relays or arrive too late.

All gateways of a fleet run in one process on a simulated clock and network.
"""

import random
from collections import Counter

import pytest

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation
from skylarkmoor_core.messages import Envelope, SlotLoads, decode_envelope, encode_envelope
from skylarkmoor_core.settings import Address
from skylarkmoor_gateway import fleet as fleet_module
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.fleetlimits import FleetQuotas, FleetRetryBudget
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.trackedupstream import RegisteredUpstream

STEP_MS = 25
DOMAINS = ("nadi", "suva", "lautoka")
# Time until all gateways know all others and the relays have taken over.
SETTLE_MS = 6_000


class Transport:
    """Stands in for `Peers`: delivers through the simulated network."""

    def __init__(self, host, incarnation, on_message):
        self.host, self.incarnation, self.on_message = host, incarnation, on_message
        self.network = None
        self.addresses = {}

    def listen(self, address):
        return address

    def set_peers(self, addresses):
        self.addresses = addresses

    def send(self, to, message):
        self.multicast([to], message)

    def broadcast(self, message):
        self.multicast(self.addresses, message)

    def multicast(self, hosts, message):
        data = encode_envelope(Envelope(self.host, self.incarnation, message))
        for host in hosts:
            if host in self.addresses:
                self.network.post(self.host, host, data)


class Network:
    """Gateways that exchange messages with a delay of one step, and the faults between them."""

    def __init__(self, monkeypatch, count):
        monkeypatch.setattr(fleet_module, "Peers", Transport)
        self.clock = ManualClock(now_ms=10_000)
        self.sent, self.bytes_sent = Counter(), Counter()
        self.stopped, self.cut = set(), set()
        self.in_flight = []
        self.fleets = {}
        # Requests of other gateways that each gateway has learnt of.
        self.learnt = Counter()
        domains = {HostId(f"host-{i}"): DOMAINS[i % len(DOMAINS)] for i in range(count)}
        for i, (host, domain) in enumerate(domains.items()):
            self.fleets[host] = self._make_fleet(host, domain, i)
        for i, fleet in enumerate(self.fleets.values()):
            for j, peer in enumerate(self.fleets):
                if i != j:
                    fleet.add_peer(peer, _address(j))

    def _make_fleet(self, host, domain, number):
        placement = Placement(random.Random(number))
        for i in range(20):
            placement.set_upstream(
                RegisteredUpstream(f"engine-{i}", "assistant", ("10.1.0.1", 80 + i), slots=4)
            )
        made = fleet_module.Fleet(
            host,
            Incarnation(1),
            self.clock,
            placement,
            FleetQuotas(),
            FleetRetryBudget(0.2, 10_000, 10),
            CrashCounts(),
            lambda: None,
            lambda: None,
            lambda delay_ms, callback: None,
            FailureDomain(domain),
        )
        made._transport.network = self
        made._retries.count_request("assistant", self.clock.now_ms())

        def learn(service, requests, retries, now_ms):
            self.learnt[host] += requests

        made._retries.add_peer_counts = learn
        made.listen(_address(number))
        return made

    def post(self, sender, to, data):
        self.sent[sender] += 1
        self.bytes_sent[sender] += len(data)
        if (sender, to) not in self.cut:
            self.in_flight.append((to, data))

    def run(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            arriving, self.in_flight = self.in_flight, []
            for to, data in arriving:
                if to not in self.stopped:
                    envelope = decode_envelope(data)
                    self.fleets[to]._on_message(
                        envelope.sender, envelope.incarnation, envelope.message
                    )
            for host, fleet in self.fleets.items():
                if host not in self.stopped:
                    fleet.tick()

    def relays(self, domain):
        member = next(host for host, fleet in self.fleets.items() if self.domain(host) == domain)
        return list(self.fleets[member]._relay.own_relays())

    def domain(self, host):
        return self.fleets[host]._failure_domain

    def count_requests(self, hosts):
        """Count a request on each of some hosts."""
        self.learnt.clear()
        self.counted = set(hosts)
        for host in self.counted:
            self.fleets[host]._retries.count_request("assistant", self.clock.now_ms())

    def knowing(self):
        """Return the running hosts that know of all requests counted last."""
        return {
            host
            for host in self.fleets
            if host not in self.stopped and self.learnt[host] == len(self.counted - {host})
        }


def _address(number):
    return Address(f"10.0.{number // 250}.{number % 250 + 1}", 7600)


@pytest.fixture
def network(monkeypatch):
    made = Network(monkeypatch, 48)
    made.run(SETTLE_MS)
    return made


def interval_ms(network):
    return fleet_module._INTERVAL_PER_PEER_MS * (len(network.fleets) - 1)


# A state waits for its sender's interval and for one bundle in each of two failure domains.
KNOWN_WITHIN_MS = 12 * 47 + 2 * 500 + 100


@pytest.mark.parametrize("size", [36, 144])
def test_messages_sent_by_a_gateway_do_not_grow_with_the_fleet(monkeypatch, size):
    """At 83 states a second to and from peers, background work cost more than the requests."""
    network = Network(monkeypatch, size)
    network.run(SETTLE_MS)
    network.sent.clear()
    network.run(4_000)
    relays = {relay for domain in DOMAINS for relay in network.relays(domain)}
    sent_per_s = {host: network.sent[host] / 4 for host in network.fleets}
    assert max(sent_per_s[host] for host in network.fleets if host not in relays) <= 8
    # A relay sends two bundles a second to each member and to the relays of the other domains.
    per_relay = 2 * (size / len(DOMAINS) + 2 * (len(DOMAINS) - 1)) + 8
    assert max(sent_per_s.values()) <= per_relay


def test_every_gateway_learns_of_a_request_in_time(network):
    network.count_requests(network.fleets)
    network.run(KNOWN_WITHIN_MS)
    assert network.knowing() == set(network.fleets)


def test_all_gateways_count_as_live_through_the_relays(network):
    """A state that waits in relays must not make its sender look silent."""
    for _ in range(20):
        network.run(500)
        assert {len(fleet.live_hosts()) for fleet in network.fleets.values()} == {48}


@pytest.mark.parametrize("relays", [slice(0, 1), slice(1, 2), slice(0, 2)])
def test_states_still_arrive_when_relays_are_lost(network, relays):
    """Without a substitute for its relays a failure domain would fall silent."""
    network.stopped.update(network.relays("nadi")[relays])
    running = set(network.fleets) - network.stopped
    # The longest time until a member notices that its states are not passed on.
    network.run(interval_ms(network) + 1_500 + 500)
    network.count_requests(running)
    network.run(KNOWN_WITHIN_MS + 500)
    assert network.knowing() == running
    assert {len(network.fleets[host].live_hosts()) for host in running} <= {
        48,
        len(running),
    }


def test_member_that_its_relays_do_not_hear_sends_to_all(network):
    """A connection that has gone silent one way hides a host that hears everything itself."""
    relays = network.relays("nadi")
    member = next(
        host
        for host in network.fleets
        if network.domain(host) == "nadi" and host not in network.relays("nadi")
    )
    network.cut.update((member, relay) for relay in relays)
    network.run(interval_ms(network) + 1_500 + 500)
    network.count_requests({member})
    network.run(KNOWN_WITHIN_MS)
    assert network.knowing() == set(network.fleets) - set(relays)


def test_frozen_relay_that_wakes_passes_on_nothing_outdated(network):
    """A relay that was frozen holds states that are older than those its peers have received."""
    first = network.relays("nadi")[0]
    network.stopped.add(first)
    network.run(5_000)
    host = next(host for host in network.fleets if host != first)
    network.count_requests({host})
    network.run(KNOWN_WITHIN_MS + 500)
    assert network.knowing() == set(network.fleets) - {first}
    network.stopped.remove(first)
    network.run(KNOWN_WITHIN_MS)
    assert network.knowing() == set(network.fleets)
    network.count_requests({host})
    network.run(KNOWN_WITHIN_MS)
    assert network.knowing() == set(network.fleets)


def test_peers_of_an_older_build_get_states_directly(network):
    """During an update some gateways know nothing of relays and would hear of nobody."""
    old = next(iter(network.fleets.values()))
    old._failure_domain = FailureDomain("")
    network.run(2_000)
    network.sent.clear()
    network.run(2_000)
    assert min(network.sent.values()) >= 47


def test_relayed_state_does_not_undo_a_newer_load_report(network):
    """The dispatcher would grant a slot again that its gateway has just reported as taken."""
    dispatcher, sender = list(network.fleets)[:2]
    fleet, peer = network.fleets[dispatcher], network.fleets[sender]
    upstream = next(iter(fleet._placement.upstreams.values()))
    group = fleet._placement.group_of(upstream.upstream)
    outdated = peer._state()
    report = SlotLoads(
        group.service, group.number, group.count, {upstream.upstream: (3, 900)}, 0, 1_000
    )
    fleet._on_message(sender, Incarnation(1), report)
    assert upstream.running() == 3
    for sequence, running in ((1_000, 3), (1_001, 0)):
        state = fleet_module.structs.replace(
            outdated, failure_domain=peer._failure_domain, sequence=sequence
        )
        fleet._on_message(sender, Incarnation(1), state)
        assert upstream.running() == running
