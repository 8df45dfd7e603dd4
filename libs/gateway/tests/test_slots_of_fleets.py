"""Guards against requests that wait while slots are free, and states that outgrow their links.

All gateways of a fleet run in one process on a simulated clock, with simulated engines and links.
"""

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.ids import FailureDomain, HostId, Incarnation
from skylarkmoor_core.messages import Envelope, GatewayState, StateBundle, encode_envelope
from skylarkmoor_core.settings import Address
from skylarkmoor_gateway import fleet as fleet_module
from skylarkmoor_gateway.slotcoordinator import SlotClient
from skylarkmoor_policy.crashcounts import CrashCounts
from skylarkmoor_policy.dispatcher import SlotRequirements, Ticket
from skylarkmoor_policy.fleetlimits import FleetQuotas, FleetRetryBudget
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup, group_count
from skylarkmoor_policy.trackedupstream import RegisteredUpstream
from skylarkmoor_policy.urgencyqueue import QueuedRequest

SERVICE = "assistant"
DOMAINS = ("north-a", "north-b", "north-c")
SLOTS = 9
SPEEDS = (0.55, 1.0, 2.8)
START_MS = 10_000
# Time until all gateways know each other and the relays have taken over.
SETTLE_MS = 6_000
# Part of the first tokens of each route that has to come within its goal (docs/design.md, Targets).
TARGET = 0.95
# Speed of the links of the smallest hosts, and of two hosts in each failure domain.
SLOW_MBPS, FAST_MBPS = 5.0, 100.0


@dataclass(frozen=True)
class RouteLoad:
    """Requests of a route: their part of all, prompt and output tokens, tier and goal."""

    part: float
    prompt_tokens: int
    output_tokens: int
    tier: int
    goal_ms: int
    is_small: bool = False


ROUTES = {
    "note": RouteLoad(0.22, 6_610, 382, 0, 600),
    "answer": RouteLoad(0.41, 628, 291, 1, 300),
    "tag": RouteLoad(0.37, 1_800, 23, 2, 400, is_small=True),
}


class Transport:
    """Stands in for `Peers`: sends through the simulated links."""

    world = None

    def __init__(self, host, incarnation, on_message):
        self.host, self.incarnation, self.on_message = host, incarnation, on_message
        self.addresses = {}

    def listen(self, address):
        return address

    def set_peers(self, addresses):
        self.addresses = addresses

    def send(self, to, message):
        self.multicast([to], message)
        return True

    def broadcast(self, message):
        self.multicast(self.addresses, message)

    def multicast(self, hosts, message):
        size = len(encode_envelope(Envelope(self.host, self.incarnation, message)))
        for host in hosts:
            if host in self.addresses:
                self.world.post(self, host, message, size)


@dataclass
class Engine:
    """Runs as many requests as it has slots; the others wait in the order of arrival."""

    world: "World"
    speed: float
    running: int = 0
    waiting: list = field(default_factory=list)

    def submit(self, request):
        if self.running == SLOTS:
            self.waiting.append(request)
            return
        self.running += 1
        first_ms = (53 + request.load.prompt_tokens / 140) / self.speed
        self.world.later(first_ms, request.first_token)
        self.world.later(
            first_ms + request.output_tokens * 2.9 / self.speed, lambda: self.end(request)
        )

    def end(self, request):
        self.running -= 1
        if self.waiting:
            self.submit(self.waiting.pop(0))
        request.ended()


class Request(SlotClient):
    """A stream that waits for a slot, and runs at the engine that it is granted."""

    def __init__(self, world, host, route):
        self.world, self.host, self.route = world, host, route
        self.service = SERVICE
        self.load = ROUTES[route]
        spread = math.exp(world.rng.gauss(-0.5, 1.0))
        self.output_tokens = round(self.load.output_tokens * min(10.0, spread))
        self.arrived_ms = world.now_ms
        self.upstream = self.granted_ms = self.first_ms = None

    def start(self):
        now_ms = round(self.world.now_ms)
        need = SlotRequirements(
            Ticket(HostId(""), 0),
            SlotGroup(SERVICE),
            self.load.prompt_tokens,
            0,
            self.output_tokens,
            now_ms + 10_000,
            request_hash=self.world.rng.getrandbits(64),
        )
        latest_start_ms = now_ms + round(self.load.goal_ms * 0.6)
        self.world.fleets[self.host].slot_coordinator.wait(
            self,
            QueuedRequest(
                need, 0, self.load.tier, now_ms, latest_start_ms, now_ms + 840, self.load.is_small
            ),
        )

    def slot_granted(self, choice, now_ms):
        self.upstream, self.granted_ms = choice.upstream, self.world.now_ms
        self.world.placements[self.host].record_start(self.upstream, self.load.prompt_tokens)
        self.world.later(3, lambda: self.world.engines[self.upstream].submit(self))

    def wait_timed_out(self):
        pass

    def first_token(self):
        self.first_ms = self.world.now_ms
        placement = self.world.placements[self.host]
        elapsed_ms = round(self.first_ms - self.granted_ms)
        placement.record_first_token(self.upstream, self.load.prompt_tokens, elapsed_ms, 0)
        self.world.fleets[self.host].load_changed(self.upstream)

    def ended(self):
        placement = self.world.placements[self.host]
        held_ms = round(self.world.now_ms - self.granted_ms)
        placement.record_end(self.upstream, 0, held_ms=held_ms, fault=False)
        stream_ms = round(self.world.now_ms - self.first_ms)
        placement.record_stream(self.upstream, self.output_tokens // 10, stream_ms, None)
        self.world.fleets[self.host].load_changed(self.upstream)

    def is_on_time(self):
        return self.first_ms is not None and self.first_ms - self.arrived_ms <= self.load.goal_ms


class World:
    """A fleet of gateways, its engines, and requests that arrive at random gateways."""

    def __init__(self, monkeypatch, hosts, engines, *, has_links=False):
        monkeypatch.setattr(fleet_module, "Peers", Transport)
        monkeypatch.setattr(Transport, "world", self)
        self.rng = random.Random(1)
        self.clock = ManualClock(now_ms=START_MS)
        self.now_ms = float(START_MS)
        self.events = []
        self.scheduled = 0
        self.has_links = has_links
        self.links_mbps = {}
        self.link_free_ms = Counter()
        # When the newest state was sent that a gateway has received of a peer, by both.
        self.states_sent_ms = {}
        self.requests = []
        names = [f"i-{self.rng.getrandbits(40):010x}" for _ in range(engines)]
        self.engines = {name: Engine(self, SPEEDS[i % len(SPEEDS)]) for i, name in enumerate(names)}
        self.placements, self.fleets = {}, {}
        for i in range(hosts):
            self._add_host(HostId(f"entry-north-{i}"), i)
        for host, fleet in self.fleets.items():
            for i, peer in enumerate(self.fleets):
                if peer != host:
                    fleet.add_peer(peer, _address(i))
            self.later(self.rng.uniform(0, 25), lambda fleet=fleet: self._tick(fleet))
            self.later(self.rng.uniform(0, 500), lambda host=host: self._refresh(host))

    def _add_host(self, host, number):
        is_fast = number < 2 * len(DOMAINS)
        self.links_mbps[host] = FAST_MBPS if is_fast else SLOW_MBPS
        placement = self.placements[host] = Placement(random.Random(number))
        for i, engine in enumerate(self.engines):
            placement.set_upstream(
                RegisteredUpstream(engine, SERVICE, ("10.1.0.1", 80 + i), slots=SLOTS)
            )
        self.fleets[host] = fleet_module.Fleet(
            host,
            Incarnation(1),
            self.clock,
            placement,
            FleetQuotas(),
            FleetRetryBudget(0.2, 10_000, 10),
            CrashCounts(),
            lambda: None,
            lambda: None,
            self.later,
            FailureDomain(DOMAINS[number % len(DOMAINS)]),
            link_mbps=self.links_mbps[host],
        )
        self.fleets[host].listen(_address(number))

    def later(self, delay_ms, call):
        self.scheduled += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.scheduled, call))

    def post(self, sender, to, message, size):
        """Deliver a message after its bytes and those before it have left the sender's link."""
        sent_ms = self.now_ms
        if self.has_links:
            sent_ms = max(sent_ms, self.link_free_ms[sender.host])
            sent_ms += size * 8 / self.links_mbps[sender.host] / 1_000
            self.link_free_ms[sender.host] = sent_ms
        delay_ms = sent_ms - self.now_ms + self.rng.uniform(1, 4)
        self.later(delay_ms, lambda: self._deliver(sender, to, message))

    def _deliver(self, sender, to, message):
        match message:
            case GatewayState():
                self.states_sent_ms[to, sender.host] = message.sent_ms
            case StateBundle(states=states):
                for each in states:
                    key = (to, each.host)
                    sent_ms = max(self.states_sent_ms.get(key, 0), each.state.sent_ms)
                    self.states_sent_ms[key] = sent_ms
        self.fleets[to]._on_message(sender.host, sender.incarnation, message)

    def _tick(self, fleet):
        fleet.tick()
        fleet.slot_coordinator.tick()
        self.later(25, lambda: self._tick(fleet))

    def _refresh(self, host):
        self.placements[host].refresh(round(self.now_ms))
        self.later(500, lambda: self._refresh(host))

    def run(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.events)
            self.clock.advance(max(0, int(self.now_ms) - self.clock.now_ms()))
            call()
        self.now_ms = until_ms

    def load(self, duration_ms, per_s):
        """Let requests arrive at a rate, in random order and at random times."""
        until_ms = self.now_ms + duration_ms
        hosts = list(self.fleets)
        weights = [load.part for load in ROUTES.values()]
        while self.now_ms < until_ms:
            route = self.rng.choices(list(ROUTES), weights)[0]
            request = Request(self, self.rng.choice(hosts), route)
            self.requests.append(request)
            request.start()
            self.run(self.rng.expovariate(per_s / 1_000))

    def on_time(self):
        """Return the part of the requests of each route whose first token came in time."""
        parts = {}
        for route in ROUTES:
            requests = [each for each in self.requests if each.route == route]
            parts[route] = sum(each.is_on_time() for each in requests) / len(requests)
        return parts

    def oldest_state_ms(self):
        """Return the age of the oldest state that any gateway has of a peer."""
        return max(
            self.clock.now_ms() - self.states_sent_ms[host, peer]
            for host, fleet in self.fleets.items()
            for peer in fleet._peer_states
        )


def _address(number):
    return Address(f"10.0.0.{number}", 7600)


@pytest.mark.parametrize(("hosts", "engines", "per_s"), [(139, 30, 260), (33, 40, 380)])
def test_no_route_misses_its_goal_while_another_group_has_free_slots(
    monkeypatch, hosts, engines, per_s
):
    """Requests waited for one slot group, which cost the route that comes last its goal.

    A third of the slots are free on average; bursts of 2.5 s take nearly all of them.
    """
    world = World(monkeypatch, hosts, engines)
    assert group_count(engines) > 1
    world.run(SETTLE_MS)
    world.load(3_000, per_s)
    world.load(2_500, 2.2 * per_s)
    world.load(3_500, per_s)
    world.run(1_000)
    assert min(world.on_time().values()) >= TARGET


def test_states_of_a_large_fleet_arrive_in_time_on_its_links(monkeypatch):
    """Relays with slow links sent states ever later, until gateways took each other for silent."""
    world = World(monkeypatch, 139, 30, has_links=True)
    world.run(SETTLE_MS)
    # 12 ms for each peer and two bundles of a relay (docs/platform.md, States).
    max_age_ms = 12 * 138 + 2 * 500
    for _ in range(8):
        world.load(1_000, 300)
        assert world.oldest_state_ms() <= max_age_ms
