"""Guards against worse service at gateways that lose their paths to the upstreams (RECOVER)."""

import os
import random

import pytest

from adapter_fleet import STEP_MS, CutKind, FleetNetwork, ModelUpstream

HOSTS = [f"host-{number}" for number in range(1, 7)]
SEEDS = range(int(os.environ.get("SKYLARKMOOR_TEST_SEEDS", "2")))
# First tries count from this time after the beginning of a cut.
CONTACT_MS = 3_000
CUT_MS = 9_000
REQUESTS_PER_S = 40
# The least part of the first tries at cut hosts that has to be served, of that at the others.
LEAST_SERVED_RATIO = 2 / 3


def all_upstreams():
    return [
        *(ModelUpstream(f"e{number}", "assistant", number) for number in range(1, 6)),
        *(ModelUpstream(f"o{number}", "orders", number) for number in range(11, 14)),
    ]


class CutFleet:
    """A fleet some of whose gateways lose paths to upstreams."""

    def __init__(self, make_harness, seed):
        self.rng = random.Random(seed)
        self.upstreams = all_upstreams()
        self.network = FleetNetwork(make_harness, self.rng, self.upstreams)
        # Time, host, upstream and connection of each first try.
        self.tries = []
        for host in HOSTS:
            self.network.start(host)

    def run(self, duration_ms):
        due = 0.0
        for _ in range(duration_ms // STEP_MS):
            due += REQUESTS_PER_S * STEP_MS / 1_000
            while due >= 1:
                due -= 1
                host = self.rng.choice(sorted(self.network.members))
                path = self.rng.choice(["/answer/1", "/order/1", "/stock/1"])
                caller = self.network.ask(path, host)
                self.tries.append((self.network.clock.now_ms(), host, caller))
            self.network.advance()

    def lose(self, hosts, kind, upstreams=None):
        for host in hosts:
            for upstream in upstreams or self.upstreams:
                self.network.lose_path(host, upstream, kind)

    def regain(self):
        self.network.lost_paths.clear()

    def orders_that_arrived(self):
        return [name for u in self.upstreams if u.service == "orders" for name in u.names]

    def connections(self):
        return sum(
            member.harness.next_connection + member.harness.pending_connections()
            for member in self.network.members.values()
        )

    def served_fraction(self, hosts, from_ms, to_ms):
        answers = [
            caller.transport.value()
            for asked_ms, host, caller in self.tries
            if host in hosts and from_ms <= asked_ms < to_ms
        ]
        assert len(answers) >= 20
        return sum(b" 200 " in answer[:20] for answer in answers) / len(answers)


@pytest.mark.parametrize("kind", CutKind, ids=lambda kind: kind.name)
@pytest.mark.parametrize("cut", [1, 4, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_callers_of_hosts_without_paths_are_served_like_others(make_harness, kind, cut, seed):
    """Cut hosts answered 6 of 142 first tries, the others 112 of 116."""
    fleet = CutFleet(make_harness, seed)
    fleet.run(3_000)
    cut_hosts = fleet.rng.sample(HOSTS, cut)
    others = set(HOSTS) - set(cut_hosts)
    began_ms = fleet.network.clock.now_ms()
    fleet.lose(cut_hosts, kind)
    fleet.run(CUT_MS)
    fleet.regain()
    fleet.run(2_000)
    window = (began_ms + CONTACT_MS, began_ms + CUT_MS)
    served = fleet.served_fraction(cut_hosts, *window)
    assert served >= LEAST_SERVED_RATIO * fleet.served_fraction(others, *window)


@pytest.mark.parametrize("kind", CutKind, ids=lambda kind: kind.name)
def test_a_cut_host_does_not_spoil_what_others_know_of_the_upstreams(make_harness, kind):
    """Its failed connections backed off the upstreams for the whole fleet."""
    fleet = CutFleet(make_harness, 3)
    fleet.run(3_000)
    fleet.lose(HOSTS[:4], kind)
    fleet.run(6_000)
    now_ms = fleet.network.clock.now_ms()
    for host in HOSTS[4:]:
        placement = fleet.network.members[host].harness.gateway.placement
        assert [
            u.upstream for u in placement.upstreams.values() if u.backoff_until_ms > now_ms
        ] == []
        assert max(u.fault_rate for u in placement.upstreams.values()) < 0.2


def test_requests_go_directly_again_when_the_paths_are_back(make_harness):
    fleet = CutFleet(make_harness, 4)
    fleet.run(2_000)
    fleet.lose(HOSTS[:3], CutKind.SILENT)
    fleet.run(4_000)
    members = fleet.network.members
    assert any(members[host].tunnels for host in HOSTS[:3])
    fleet.regain()
    fleet.run(2_000)
    for host in HOSTS:
        gateway = members[host].harness.gateway
        assert gateway.paths.reachability.unreachable() == ()
    counts = {host: len(members[host].tunnels) for host in HOSTS}
    fleet.run(2_000)
    assert all(len(members[host].tunnels) <= counts[host] for host in HOSTS)
    began_ms = fleet.network.clock.now_ms()
    fleet.run(2_000)
    fleet.run(1_000)
    assert fleet.served_fraction(HOSTS, began_ms, began_ms + 2_000) == 1


@pytest.mark.parametrize("kind", CutKind, ids=lambda kind: kind.name)
def test_no_storm_of_connections_when_no_gateway_reaches_a_service(make_harness, kind):
    """Gateways must not pass requests on to each other that none of them can send."""
    fleet = CutFleet(make_harness, 5)
    fleet.run(3_000)
    orders = [each for each in fleet.upstreams if each.service == "orders"]
    fleet.lose(HOSTS, kind, orders)
    fleet.run(2_000)
    before, requests = fleet.connections(), len(fleet.tries)
    fleet.run(4_000)
    # A request is sent four times at most, and paths are tried again once a second.
    probes = 4 * len(HOSTS) * len(orders)
    assert fleet.connections() - before <= 4 * (len(fleet.tries) - requests) + probes
    fleet.regain()
    fleet.run(2_000)
    began_ms = fleet.network.clock.now_ms()
    fleet.run(2_000)
    fleet.run(1_000)
    assert fleet.served_fraction(HOSTS, began_ms, began_ms + 2_000) >= 0.95


@pytest.mark.parametrize("seed", SEEDS)
def test_no_order_is_sent_twice_while_paths_and_gateways_come_and_go(make_harness, seed):
    """Cuts of all kinds that move and overlap, partly one service or a few upstreams, and kills."""
    fleet = CutFleet(make_harness, 100 + seed)
    rng = random.Random(seed)
    fleet.run(2_000)
    for _ in range(8):
        hosts = rng.sample(sorted(fleet.network.members), rng.randint(1, 4))
        upstreams = rng.sample(fleet.upstreams, rng.randint(2, len(fleet.upstreams)))
        fleet.lose(hosts, rng.choice(list(CutKind)), upstreams)
        fleet.run(rng.randrange(300, 2_000, STEP_MS))
        victim = rng.choice(HOSTS)
        if rng.random() < 0.5 and victim in fleet.network.members:
            fleet.network.kill(victim)
            fleet.run(500)
            fleet.network.start(victim)
        if rng.random() < 0.5:
            fleet.regain()
            fleet.run(rng.randrange(300, 2_000, STEP_MS))
    names = fleet.orders_that_arrived()
    paths = {f"n{number}": caller for number, (_, _, caller) in enumerate(fleet.tries, 1)}
    orders = [name for name in names if paths[name].asked_path == "/order/1"]
    assert len(orders) >= 50
    assert len(set(orders)) == len(orders)


@pytest.mark.parametrize("kind", CutKind, ids=lambda kind: kind.name)
def test_callers_are_served_when_their_gateway_reaches_a_few_upstreams_only(make_harness, kind):
    fleet = CutFleet(make_harness, 6)
    fleet.run(3_000)
    lost = [each for each in fleet.upstreams if each.name not in ("e1", "o11")]
    fleet.lose(HOSTS[:3], kind, lost)
    fleet.run(3_000)
    began_ms = fleet.network.clock.now_ms()
    fleet.run(4_000)
    fleet.run(1_000)
    window = (began_ms, began_ms + 4_000)
    served = fleet.served_fraction(HOSTS[:3], *window)
    assert served >= LEAST_SERVED_RATIO * fleet.served_fraction(HOSTS[3:], *window)


def test_a_caller_that_leaves_ends_its_request_at_the_upstream_also_through_a_peer(make_harness):
    fleet = CutFleet(make_harness, 7)
    fleet.run(2_000)
    fleet.lose(HOSTS[:1], CutKind.RESET)
    fleet.run(1_000)
    for upstream in fleet.upstreams:
        upstream.run_ms = 5_000
    caller = fleet.network.ask("/answer/1", HOSTS[0])
    name = f"n{fleet.network._requests}"
    fleet.run(200)
    (upstream,) = [each for each in fleet.upstreams if name in each.names]
    before = sum(not each.transport.disconnecting for _, each in upstream.running)
    caller.disconnect()
    for _ in range(8):
        fleet.network.advance()
    after = sum(not each.transport.disconnecting for _, each in upstream.running)
    assert after == before - 1


@pytest.mark.parametrize("kind", [CutKind.SILENT, CutKind.RESET], ids=lambda kind: kind.name)
def test_streams_do_not_look_complete_when_the_relay_of_their_gateway_dies(make_harness, kind):
    """All streams of a gateway through that relay ended at once, as complete (ORDER)."""
    fleet = CutFleet(make_harness, 8)
    fleet.run(2_000)
    fleet.lose(HOSTS[:1], kind)
    fleet.run(2_000)
    for upstream in fleet.upstreams:
        upstream.has_open_streams, upstream.slots = True, 40
    callers = [fleet.network.ask("/answer/1", HOSTS[0]) for _ in range(8)]
    for _ in range(8):
        fleet.network.advance()
    began = [each for each in callers if b"data: a" in each.transport.value()]
    assert len(began) >= 5
    for host in {relay for _, relay, _ in fleet.network.members[HOSTS[0]].tunnels}:
        fleet.network.kill(host)
    fleet.network.advance()
    assert [each for each in began if not each.transport.aborted] == []
