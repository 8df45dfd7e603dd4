"""Guards against floods of one customer that exceed its limit, as replicas hear of each other late.

Each gateway of a simulated fleet keeps its replica of the customer's bucket, and reports its counts
at the interval of its states; in a large fleet relays pass these on with a delay. The customer's
requests arrive at random times, at all gateways alike or at one after the other.
"""

import heapq
import itertools
import random

import pytest

from skylarkmoor_policy.fleetlimits import FleetQuotas, PeerCounters
from skylarkmoor_policy.routetable import CustomerPolicy

UNITS_PER_S = 94_968
REQUEST_UNITS = 10_000
WINDOW_MS = 8_000
OVERSHOOT, SLACK_UNITS = 0.1, 140_000
ALLOWED_UNITS = (UNITS_PER_S * WINDOW_MS / 1_000 + UNITS_PER_S) * (1 + OVERSHOOT) + SLACK_UNITS
CUSTOMER = CustomerPolicy(
    "depots", ("k",), units_per_s=UNITS_PER_S, burst_units=UNITS_PER_S, limits_tokens=True
)
DURATION_MS = 24_000
NETWORK_DELAY_MS = 5
RELAY_BUNDLE_MS = 500
HOP_MS = 700
# Number of gateways, interval of their states, and whether relays pass these on.
SMALL_FLEET = (9, 108, False)
LARGE_FLEET = (33, 396, True)
LARGER_FLEETS = {"91": (91, 1_092, True), "195": (195, 2_340, True)}
CUT_FRACTION = 0.3
CUT_FROM_MS, CUT_TO_MS = 4_000, 12_000


class QuotaFleet:
    """Replicas of one customer's bucket, and what the customer was admitted."""

    def __init__(self, fleet, seed):
        self.hosts, self.interval_ms, self.is_relayed = fleet
        self.rng = random.Random(seed)
        self.quotas = [FleetQuotas(WINDOW_MS, OVERSHOOT, SLACK_UNITS) for _ in range(self.hosts)]
        self.counters = [PeerCounters(complete=True) for _ in range(self.hosts)]
        self.newest = {}
        self.admitted = []
        self.refused = 0
        self.events = []
        # Hosts that exchange no reports with the others while the cut lasts.
        self.cut = set()
        self.numbers = itertools.count()
        for quotas in self.quotas:
            quotas.set_customers([CUSTOMER], 0)
            quotas.set_relayed(self.is_relayed)
        for host in range(self.hosts):
            first_ms = self.rng.randrange(self.interval_ms)
            for at_ms in range(first_ms - self.interval_ms, DURATION_MS, self.interval_ms):
                self.schedule(at_ms, self.report, host)

    def schedule(self, at_ms, action, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, arguments))

    def report(self, now_ms, host):
        counts = dict(self.quotas[host].admitted)
        for peer in range(self.hosts):
            delay_ms = NETWORK_DELAY_MS
            if self.is_relayed:
                delay_ms += sum(self.rng.randrange(RELAY_BUNDLE_MS) for _ in range(2))
            self.schedule(now_ms + delay_ms, self.receive, peer, host, now_ms, counts)

    def receive(self, now_ms, host, peer, sent_ms, counts):
        if host == peer or self.newest.get((host, peer), -1_000) > sent_ms:
            return
        is_cut = CUT_FROM_MS <= now_ms < CUT_TO_MS
        if is_cut and (host in self.cut) != (peer in self.cut):
            return
        self.newest[host, peer] = sent_ms
        for name, units in self.counters[host].increments(peer, 1, counts).items():
            self.quotas[host].deduct_peer_units(name, units, now_ms)

    def ask(self, now_ms, host):
        if self.quotas[host].admit(CUSTOMER, REQUEST_UNITS, now_ms) is None:
            self.admitted.append(now_ms)
        else:
            self.refused += 1

    def run(self, times_limit, pattern):
        """Let the customer ask for a multiple of its limit."""
        at_ms = 0.0
        while at_ms < DURATION_MS:
            at_ms += self.rng.expovariate(times_limit * UNITS_PER_S / REQUEST_UNITS) * 1_000
            is_even = pattern == "even"
            host = self.rng.randrange(self.hosts) if is_even else int(at_ms) // HOP_MS % self.hosts
            self.schedule(int(at_ms), self.ask, host)
        while self.events:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            if now_ms < DURATION_MS:
                action(now_ms, *arguments)
        return self

    def most_units_in_a_window(self):
        return REQUEST_UNITS * max(
            sum(at_ms - WINDOW_MS < each <= at_ms for each in self.admitted)
            for at_ms in self.admitted
        )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("pattern", ["even", "hop"])
@pytest.mark.parametrize("times_limit", [1.5, 3, 6])
@pytest.mark.parametrize("fleet", [SMALL_FLEET, LARGE_FLEET], ids=["small", "large"])
def test_a_flood_gets_no_more_than_the_limit_in_any_window(fleet, times_limit, pattern, seed):
    """A customer got 1,188,573 units in 8 s where 1,012,182 were allowed (QUOTA)."""
    units = QuotaFleet(fleet, seed).run(times_limit, pattern).most_units_in_a_window()
    assert units <= ALLOWED_UNITS


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("pattern", ["even", "hop"])
@pytest.mark.parametrize("fleet", [SMALL_FLEET, LARGE_FLEET], ids=["small", "large"])
def test_a_customer_within_its_limit_is_not_refused(fleet, pattern, seed):
    assert QuotaFleet(fleet, seed).run(0.8, pattern).refused == 0


@pytest.mark.parametrize("pattern", ["even", "hop"])
def test_a_flood_gets_what_its_limit_allows(pattern):
    fleet = QuotaFleet(LARGE_FLEET, 1).run(3, pattern)
    owed = UNITS_PER_S * DURATION_MS / 1_000
    assert len(fleet.admitted) * REQUEST_UNITS >= owed


@pytest.mark.parametrize("times_limit", [7.5, 12])
@pytest.mark.parametrize("fleet", LARGER_FLEETS.values(), ids=LARGER_FLEETS)
def test_a_flood_of_hundreds_of_gateways_gets_no_more_than_the_limit(fleet, times_limit):
    """Each gateway spent the whole limit until it heard of the others (QUOTA)."""
    units = QuotaFleet(fleet, 1).run(times_limit, "even").most_units_in_a_window()
    assert units <= ALLOWED_UNITS


@pytest.mark.parametrize(
    "fleet",
    [SMALL_FLEET, LARGE_FLEET, LARGER_FLEETS["195"]],
    ids=["small", "large", "195"],
)
def test_both_sides_of_a_cut_together_get_no_more_than_the_limit(fleet):
    """Each side spent the whole limit until it noticed that the other one was silent (QUOTA)."""
    cut_fleet = QuotaFleet(fleet, 1)
    cut_fleet.cut = set(range(round(cut_fleet.hosts * CUT_FRACTION)))
    units = cut_fleet.run(3, "even").most_units_in_a_window()
    assert units <= ALLOWED_UNITS
