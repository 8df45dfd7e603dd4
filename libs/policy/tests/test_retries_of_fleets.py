"""Guards against fleets that exceed the retry budget, as gateways hear late of each other.

Each gateway of a simulated fleet reports its counts at the interval of its states; in a large fleet
relays pass these on with a delay.
"""

import heapq
import itertools
import random

import pytest

from skylarkmoor_policy.fleetlimits import FleetRetryBudget, PeerCounters

RATIO, WINDOW_MS = 0.2, 10_000
DURATION_MS = 20_000
FAILING_FROM_MS, FAILING_TO_MS = 8_000, 14_000
NETWORK_DELAY_MS = 5
RELAY_BUNDLE_MS = 500
# Longest delay of states that the gateways reckon with.
STATE_DELAY_MS = 50
# Gateways, interval of their states, whether relays pass these on, requests a second, and slack.
FLEETS = {
    "9": (9, 108, False, 40, 58),
    "33": (33, 396, True, 150, 100),
    "91": (91, 1_092, True, 400, 200),
    "195": (195, 2_340, True, 440, 430),
}


class RetryFleet:
    """Gateways that share a retry budget, and the requests and retries that they have sent."""

    def __init__(self, fleet, seed):
        self.hosts, self.interval_ms, self.is_relayed, self.requests_per_s, self.slack = fleet
        self.rng = random.Random(seed)
        self.budgets = [FleetRetryBudget(RATIO, WINDOW_MS, self.slack) for _ in range(self.hosts)]
        self.counters = [
            (PeerCounters(complete=True), PeerCounters(complete=True)) for _ in range(self.hosts)
        ]
        self.requests, self.retries = [], []
        # Before a time, only the requests of hosts with a lower number fail.
        self.first_failing, self.first_until_ms = self.hosts, 0
        self.events = []
        self.numbers = itertools.count()
        report_delay_ms = self.interval_ms + STATE_DELAY_MS + 2 * RELAY_BUNDLE_MS * self.is_relayed
        for host, budget in enumerate(self.budgets):
            budget.set_fleet_state(self.hosts, True, report_delay_ms)
            first_ms = self.rng.randrange(self.interval_ms)
            for at_ms in range(first_ms, DURATION_MS, self.interval_ms):
                self.schedule(at_ms, self.report, host)

    def schedule(self, at_ms, action, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, arguments))

    def report(self, now_ms, host):
        counts = dict(self.budgets[host].requests), dict(self.budgets[host].retries)
        for peer in range(self.hosts):
            delay_ms = NETWORK_DELAY_MS
            if self.is_relayed:
                delay_ms += sum(self.rng.randrange(RELAY_BUNDLE_MS) for _ in range(2))
            if peer != host:
                self.schedule(now_ms + delay_ms, self.receive, peer, host, counts)

    def receive(self, now_ms, host, peer, counts):
        requests, retries = (
            counter.increments(peer, 1, values).get("orders", 0)
            for counter, values in zip(self.counters[host], counts, strict=True)
        )
        self.budgets[host].add_peer_counts("orders", requests, retries, now_ms)

    def ask(self, now_ms, host, failing_share):
        self.budgets[host].count_request("orders", now_ms)
        self.requests.append(now_ms)
        is_failing = FAILING_FROM_MS <= now_ms < FAILING_TO_MS
        if now_ms < self.first_until_ms and host >= self.first_failing:
            is_failing = False
        fails = is_failing and self.rng.random() < failing_share
        if fails and self.budgets[host].try_acquire("orders", now_ms):
            self.retries.append(now_ms)

    def run(self, failing_share):
        """Let a share of all first attempts fail for some seconds."""
        at_ms = 0.0
        while at_ms < DURATION_MS:
            at_ms += self.rng.expovariate(self.requests_per_s) * 1_000
            host = self.rng.randrange(self.hosts)
            self.schedule(int(at_ms), self.ask, host, failing_share)
        while self.events:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            if now_ms < DURATION_MS:
                action(now_ms, *arguments)
        return self

    def worst_use(self):
        """Return the largest part of the budget that was used in a window.

        The requests count in that window, or in the ones that end half or a whole window earlier,
        whichever has most.
        """
        uses = []
        for at_ms in self.retries:
            requests = max(
                _count(self.requests, at_ms - earlier_ms)
                for earlier_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            uses.append(_count(self.retries, at_ms) / (RATIO * requests + self.slack))
        return max(uses)


def _count(times_ms, end_ms):
    """Return how many times are in the window that ends at a time."""
    return sum(end_ms - WINDOW_MS < each <= end_ms for each in times_ms)


@pytest.mark.parametrize("failing_share", [0.3, 0.5, 1.0])
@pytest.mark.parametrize("fleet", FLEETS.values(), ids=FLEETS)
def test_retries_of_a_fleet_stay_within_the_budget(fleet, failing_share):
    """Each gateway spent the budget of the fleet until it heard of the others (BUDGET)."""
    assert RetryFleet(fleet, 1).run(failing_share).worst_use() <= 1


@pytest.mark.parametrize("seed", range(2, 7))
@pytest.mark.parametrize("fleet", [FLEETS["9"], FLEETS["33"]], ids=["9", "33"])
def test_retries_stay_within_the_budget_for_other_seeds(fleet, seed):
    assert RetryFleet(fleet, seed).run(1.0).worst_use() <= 1


@pytest.mark.parametrize("fleet", FLEETS.values(), ids=FLEETS)
def test_retries_stay_within_the_budget_if_a_few_gateways_fail_first(fleet):
    """These few may have used the shared part of the budget when the others begin to fail."""
    retry_fleet = RetryFleet(fleet, 1)
    retry_fleet.first_failing = max(1, retry_fleet.hosts // 10)
    retry_fleet.first_until_ms = FAILING_FROM_MS + 3_000
    assert retry_fleet.run(1.0).worst_use() <= 1


@pytest.mark.parametrize("fleet", [FLEETS["9"], FLEETS["33"]], ids=["9", "33"])
def test_a_fleet_whose_requests_fail_uses_most_of_its_retry_budget(fleet):
    assert RetryFleet(fleet, 1).run(1.0).worst_use() >= 0.8
