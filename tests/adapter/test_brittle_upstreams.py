"""Guards against more refusals than an upstream says that it bears (LIMIT)."""

import os
import random

import pytest

from adapter_fleet import STEP_MS, FleetNetwork, ModelUpstream

HOSTS = [f"host-{number}" for number in range(1, 7)]
SEEDS = range(int(os.environ.get("SKYLARKMOOR_TEST_SEEDS", "2")))
# From this time after the first answer that says so on, the bound has to be kept.
CONTACT_MS = 3_000
# Two upstreams serve 20 requests a second, or one of them 10.
REQUESTS_PER_S = 30
# Before the bound has to be kept. An upstream with a long queue answers nobody in time, so that
# nobody could know that it is brittle.
FIRST_REQUESTS_PER_S = 16
RUN_MS = 400
SLOTS = 4


class BrittleFleet:
    """A fleet before upstreams that bear few refusals, with more requests than they serve."""

    def __init__(self, make_harness, path, brittle_per_s, *, seed=1, hosts=HOSTS, upstreams=2):
        service = "assistant" if path == "/answer/1" else "orders"
        self.path = path
        self.upstreams = [
            ModelUpstream(f"u{number}", service, number, run_ms=RUN_MS, slots=SLOTS, room=20)
            for number in range(1, upstreams + 1)
        ]
        self.network = FleetNetwork(make_harness, random.Random(seed), self.upstreams)
        for host in hosts:
            self.network.start(host)
        self.run(1_000, FIRST_REQUESTS_PER_S)
        for upstream in self.upstreams:
            upstream.brittle_per_s = brittle_per_s
        self.run(CONTACT_MS, FIRST_REQUESTS_PER_S)

    def run(self, duration_ms, requests_per_s=REQUESTS_PER_S):
        due = 0.0
        for _ in range(duration_ms // STEP_MS):
            due += requests_per_s * STEP_MS / 1_000
            while due >= 1:
                due -= 1
                self.network.ask(self.path)
            self.network.advance()

    def set_room(self, room):
        for upstream in self.upstreams:
            upstream.room = room

    def now_ms(self):
        return self.network.clock.now_ms()


def most_refusals_in_a_second(upstream, since_ms):
    times_ms = [each for each in upstream.refused_ms if each >= since_ms]
    return max(
        (sum(start_ms <= each < start_ms + 1_000 for each in times_ms) for start_ms in times_ms),
        default=0,
    )


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize(("room", "brittle_per_s"), [(0, 1), (1, 2), (3, 4)])
@pytest.mark.parametrize("hosts", [1, 6])
def test_a_brittle_upstream_is_not_made_to_refuse_more_than_it_bears(
    make_harness, path, room, brittle_per_s, hosts
):
    """A worker with room for 0, 1 or 3 refused 34 to 40 requests in each second."""
    fleet = BrittleFleet(make_harness, path, brittle_per_s, hosts=HOSTS[:hosts])
    since_ms = fleet.now_ms()
    fleet.set_room(room)
    fleet.run(12_000)
    for upstream in fleet.upstreams:
        assert most_refusals_in_a_second(upstream, since_ms) <= brittle_per_s
        # Most of its slots are in use.
        served = sum(since_ms <= time_ms for time_ms, _ in upstream.arrivals)
        assert served >= 0.6 * 12_000 / RUN_MS * SLOTS


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
def test_a_brittle_upstream_with_fewer_slots_than_listed_is_not_made_to_refuse_more(
    make_harness, path
):
    fleet = BrittleFleet(make_harness, path, 4)
    for upstream in fleet.upstreams:
        upstream.slots = 2
    fleet.set_room(0)
    fleet.run(1_000)
    since_ms = fleet.now_ms()
    fleet.run(10_000)
    for upstream in fleet.upstreams:
        assert most_refusals_in_a_second(upstream, since_ms) <= 4


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize("seed", SEEDS)
def test_refusals_stay_few_while_gateways_are_killed_and_started(make_harness, path, seed):
    fleet = BrittleFleet(make_harness, path, 4, seed=seed)
    rng = random.Random(seed)
    since_ms = fleet.now_ms()
    fleet.set_room(2)
    for _ in range(4):
        host = rng.choice(HOSTS)
        fleet.network.kill(host)
        fleet.run(1_500)
        fleet.network.start(host)
        fleet.run(1_500)
    for upstream in fleet.upstreams:
        assert most_refusals_in_a_second(upstream, since_ms) <= 4


def test_an_upstream_that_is_no_longer_brittle_gets_as_many_requests_as_before(make_harness):
    fleet = BrittleFleet(make_harness, "/order/1", 2)
    fleet.set_room(0)
    fleet.run(4_000)
    for upstream in fleet.upstreams:
        upstream.brittle_per_s = None
    fleet.set_room(20)
    fleet.run(2_000)
    before = sum(len(upstream.arrivals) for upstream in fleet.upstreams)
    fleet.run(2_000)
    arrived = sum(len(upstream.arrivals) for upstream in fleet.upstreams) - before
    assert arrived >= 0.9 * 2 * REQUESTS_PER_S
