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
