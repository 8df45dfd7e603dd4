"""Guards against gateways that together exceed the limit that an upstream names (LIMIT)."""

import os
import random

import pytest

import limit_windows
from adapter_fleet import STEP_MS, FleetNetwork, ModelUpstream

HOSTS = [f"host-{number}" for number in range(1, 7)]
SEEDS = range(int(os.environ.get("SKYLARKMOOR_TEST_SEEDS", "6")))
DURATION_MS = 24_000


def excess(upstream):
    return limit_windows.excess([time_ms for time_ms, _ in upstream.arrivals], upstream.limits)


def make_network(make_harness, seed, upstreams, hosts=HOSTS):
    network = FleetNetwork(make_harness, random.Random(seed), upstreams)
    for host in hosts:
        network.start(host)
    return network


def run(network, path, duration_ms, rate_per_s):
    """Send requests at a rate for some time."""
    due = 0.0
    for _ in range(duration_ms // STEP_MS):
        due += rate_per_s * STEP_MS / 1_000
        while due >= 1:
            due -= 1
            network.ask(path)
        network.advance()


def limited_upstreams(path):
    service = "assistant" if path == "/answer/1" else "orders"
    return [ModelUpstream(f"u{number}", service, number) for number in range(1, 4)]


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize("limit_per_s", [0, 1.2, 4])
def test_a_calm_fleet_uses_the_limit_and_keeps_to_it(make_harness, path, limit_per_s):
    upstreams = limited_upstreams(path)
    network = make_network(make_harness, 1, upstreams)
    run(network, path, 1_000, 30)
    upstreams[0].set_limit(network.clock.now_ms(), limit_per_s)
    first = len(upstreams[0].arrivals)
    run(network, path, 20_000, 30)
    assert excess(upstreams[0]) == 0
    # The other two upstreams have room for all requests.
    used = (len(upstreams[0].arrivals) - first) / 20
    assert used >= max(0.1, 0.5 * limit_per_s)


def test_an_ended_limit_is_noticed(make_harness):
    """Without a request now and then, nothing would tell that a limit of 0 has ended."""
    upstreams = limited_upstreams("/order/1")
    network = make_network(make_harness, 2, upstreams)
    upstreams[0].set_limit(network.clock.now_ms(), 0)
    run(network, "/order/1", 4_000, 30)
    upstreams[0].set_limit(network.clock.now_ms(), None)
    run(network, "/order/1", 6_000, 30)
    before = len(upstreams[0].arrivals)
    run(network, "/order/1", 2_000, 30)
    assert len(upstreams[0].arrivals) - before >= 10


def test_no_request_is_refused_that_another_upstream_can_serve(make_harness):
    upstreams = limited_upstreams("/order/1")
    network = make_network(make_harness, 3, upstreams)
    upstreams[0].set_limit(network.clock.now_ms(), 0.5)
    callers = []
    for _ in range(200):
        callers.append(network.ask("/order/1"))
        network.advance()
    for _ in range(40):
        network.advance()
    assert {each.received()[:12] for each in callers} == {b"HTTP/1.1 200"}


def test_a_gateway_that_was_paused_does_not_take_old_answers_for_the_latest(make_harness):
    """Its peers took over from it that there was no limit, and eight requests came at once."""
    upstreams = limited_upstreams("/answer/1")
    for upstream in upstreams:
        upstream.run_ms = 300
    network = make_network(make_harness, 4, upstreams)
    run(network, "/answer/1", 1_000, 30)
    for _ in range(9):
        network.ask("/answer/1", "host-6")
    for _ in range(6):
        network.advance()
    network.members["host-6"].paused = True
    upstreams[0].set_limit(network.clock.now_ms(), 0)
    run(network, "/answer/1", 4_000, 60)
    network.resume("host-6")
    before = len(upstreams[0].arrivals)
    run(network, "/answer/1", 500, 60)
    assert len(upstreams[0].arrivals) - before <= 1


def disturb(network, rng):
    """Kill, restart, pause, cut off or add a gateway, or end one of these disturbances."""
    running = sorted(network.members)
    paused = [host for host in running if network.members[host].paused]
    stopped = sorted({*HOSTS, "host-7"} - set(running))
    match rng.randrange(6):
        case 0 if len(running) > 2:
            network.kill(rng.choice(running))
        case 1 if stopped:
            network.start(rng.choice(stopped))
        case 2 if len(running) - len(paused) > 2:
            network.members[rng.choice(running)].paused = True
        case 3 if paused:
            network.resume(rng.choice(paused))
        case 4 if len(network.cut) < 2:
            network.cut.add(rng.choice(running))
        case 5:
            network.cut.clear()


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_disturbed_fleet_keeps_to_the_limits(make_harness, path, seed):
    rng = random.Random(seed)
    upstreams = limited_upstreams(path)
    network = make_network(make_harness, seed, upstreams)
    run(network, path, 1_000, 30)
    for upstream in upstreams[: 1 + seed % 3]:
        upstream.set_limit(network.clock.now_ms(), rng.choice((0, 0.4, 1.2, 2.1, 6, 12)))
    while network.clock.now_ms() < DURATION_MS:
        run(network, path, rng.choice((500, 1_000, 2_000)), rng.choice((5, 30, 80)))
        disturb(network, rng)
        if rng.random() < 0.2:
            changed = rng.choice(upstreams)
            changed.set_limit(network.clock.now_ms(), rng.choice((None, 0, 1, 3, 9)))
    assert {each.name: excess(each) for each in upstreams} == {"u1": 0, "u2": 0, "u3": 0}
