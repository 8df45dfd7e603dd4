"""Guards against more requests at a cold upstream than it bears, from all gateways together."""

import random
from dataclasses import replace

import pytest

from adapter_fleet import STEP_MS, FleetNetwork, ModelUpstream
from adapter_harness import request
from skylarkmoor_policy.coldstarts import ColdStartLimit

HOSTS = [f"host-{number}" for number in range(1, 7)]
# Twenty requests in any second, as the bounds of the settings say.
MAX_PER_S = 20
COLD_MS = 4_000


def set_cold_starts(gateway, *services):
    gateway.placement.cold_starts.overshoot = 1.5
    gateway.placement.cold_starts.slack = 5
    limits = {each: ColdStartLimit(COLD_MS, 10) for each in services}
    gateway.placement.set_cold_starts(limits, gateway.clock.now_ms())


def most_in_a_second(upstream, since_ms=0, until_ms=10**9):
    """Return the largest number of arrivals in a sliding second."""
    times_ms = [each for each, _ in upstream.arrivals if since_ms <= each < until_ms]
    return max(
        (sum(0 <= each - first < 1_000 for each in times_ms) for first in times_ms), default=0
    )


class ColdFleet:
    """Gateways before upstreams of one service, all of which may be cold."""

    def __init__(self, make_harness, seed, path, upstreams=4):
        self.path = path
        self.service = "assistant" if path == "/answer/1" else "orders"
        self.upstreams = [
            ModelUpstream(f"u{number}", self.service, number) for number in range(1, upstreams + 1)
        ]
        self.network = FleetNetwork(make_harness, random.Random(seed), self.upstreams)
        for host in HOSTS:
            self.start(host)

    def start(self, host):
        self.network.start(host)
        set_cold_starts(self.network.members[host].harness.gateway, self.service)

    def read_entry(self, host, upstream, **changes):
        """Let a gateway read an entry of an upstream."""
        gateway = self.network.members[host].harness.gateway
        known = gateway.placement.upstreams[upstream.name].registration
        gateway.set_upstream(replace(known, **changes))

    def run(self, duration_ms, rate_per_s=150):
        callers, due = [], 0.0
        for _ in range(duration_ms // STEP_MS):
            due += rate_per_s * STEP_MS / 1_000
            while due >= 1:
                due -= 1
                callers.append(self.network.ask(self.path))
            self.network.advance()
        return callers


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize("seed", range(3))
def test_hosts_that_read_the_entry_at_different_times_keep_to_the_limit(make_harness, path, seed):
    fleet = ColdFleet(make_harness, seed, path)
    fleet.run(1_000)
    cold = fleet.upstreams[0]
    fleet.read_entry(HOSTS[0], cold, started_wall_ms=2, cold_remaining_ms=COLD_MS)
    since_ms = fleet.network.clock.now_ms()
    fleet.run(250)
    for host in HOSTS[1:]:
        fleet.read_entry(host, cold, started_wall_ms=2, cold_remaining_ms=COLD_MS - 250)
        fleet.run(50)
    fleet.run(2_500)
    in_time = [each for each, _ in cold.arrivals if each >= since_ms + 250]
    assert most_in_a_second(cold, since_ms + 250) <= MAX_PER_S
    assert len(in_time) >= 10
    fleet.run(6_000)
    end_ms = fleet.network.clock.now_ms()
    # One dispatcher issues at most 13 permits in a second to a cold upstream.
    assert most_in_a_second(cold, end_ms - 2_000) > 13


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize("seed", range(3))
def test_dispatchers_that_die_pause_or_act_at_once_keep_to_the_limit(make_harness, path, seed):
    rng = random.Random(seed)
    fleet = ColdFleet(make_harness, seed, path)
    network = fleet.network
    for host in HOSTS:
        for each in fleet.upstreams[:2]:
            fleet.read_entry(host, each, started_wall_ms=2, cold_remaining_ms=30_000)
    for _ in range(8):
        host = rng.choice(sorted(set(network.members) - network.cut))
        match rng.randrange(3):
            case 0 if len(network.members) > 3:
                network.kill(host)
            case 1:
                network.cut = {host}
            case 2:
                network.cut = set()
                for stopped in set(HOSTS) - set(network.members):
                    fleet.start(stopped)
                    for each in fleet.upstreams[:2]:
                        fleet.read_entry(stopped, each, started_wall_ms=2, cold_remaining_ms=30_000)
        fleet.run(1_500)
    assert [most_in_a_second(each) <= MAX_PER_S for each in fleet.upstreams[:2]] == [True, True]


def test_upstreams_are_cold_after_an_evacuation_unless_an_entry_says_that_they_are_warm(harness):
    placement = harness.gateway.placement
    set_cold_starts(harness.gateway, "assistant")
    for name, port in (("e1", 80), ("e2", 81)):
        harness.add_upstream(name, "assistant", port, failure_domain="a")
    for offset, in_force in ((1, True), (2, False)):
        orders = {"a": (1, offset, in_force)}
        placement.evacuations.merge(orders, harness.clock.now_ms())
    assert placement.guarded("assistant") == {"e1", "e2"}
    harness.add_upstream("e2", "assistant", 81, failure_domain="a")
    assert placement.guarded("assistant") == {"e1"}


@pytest.mark.parametrize("cause", ["refused", "broken off", "listed again"])
def test_an_upstream_that_may_have_restarted_is_cold(harness, cause):
    """It may run under its id again before its new entry is read."""
    set_cold_starts(harness.gateway, "orders")
    harness.add_upstream("o1", "orders", 80)
    caller = harness.caller()
    caller.send(request("/order/1"))
    match cause:
        case "refused":
            harness.refuse()
        case "broken off":
            harness.accept().close(reset=True)
        case "listed again":
            harness.gateway.remove_upstream("o1")
            harness.add_upstream("o1", "orders", 80)
    placement = harness.gateway.placement
    assert placement.guarded("orders") == {"o1"}
    harness.advance(COLD_MS + 500)
    placement.expire_notices(harness.clock.now_ms())
    assert placement.guarded("orders") == set()


def test_a_service_without_a_limit_has_no_cold_upstreams(harness):
    harness.add_upstream("o1", "orders", 80, cold_remaining_ms=5_000)
    caller = harness.caller()
    caller.send(request("/order/1"))
    harness.accept().close(reset=True)
    assert harness.gateway.placement.guarded("orders") == set()


def test_the_share_of_a_warm_upstream_grows_step_by_step(harness):
    set_cold_starts(harness.gateway, "assistant")
    harness.add_upstream("e1", "assistant", 80, slots=8, cold_remaining_ms=1_000)
    placement = harness.gateway.placement
    upstream = placement.upstreams["e1"]
    shares = []
    for elapsed_ms in (1_000, 2_000, 3_000):
        now_ms = harness.clock.now_ms() + elapsed_ms
        placement.expire_notices(now_ms)
        upstream.own_load.running = 0
        while placement._can_take(upstream, now_ms):
            upstream.own_load.running += 1
        shares.append(upstream.own_load.running)
    assert shares == [4, 6, 9]
