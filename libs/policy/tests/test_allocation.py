"""Guards capacity allocation against unfairness, overcommitment and starvation."""

import random

import pytest

from skylarkmoor_policy.allocation import HostDemand, allocate

UNIT = 10


def _random_demands(rng: random.Random) -> dict[str, HostDemand]:
    def costs() -> tuple[int, ...]:
        return tuple(rng.choice([0, 0, 10, 30, 100]) for _ in range(3))

    hosts = [f"h{i}" for i in range(rng.randint(1, 5))]
    return {host: HostDemand(costs(), costs(), (UNIT,) * 3) for host in hosts}


def _wanted(demands, tier: int) -> int:
    return sum(each.running[tier] + each.waiting[tier] for each in demands.values())


@pytest.mark.parametrize("seed", range(60))
def test_allocation_fits_the_capacity_and_keeps_tier_order(seed):
    rng = random.Random(seed)
    demands = _random_demands(rng)
    capacity = rng.choice([0, 50, 200, 1_000])
    allowed = allocate(capacity, demands, UNIT)
    totals = [sum(costs[tier] for costs in allowed.values()) for tier in range(3)]
    assert sum(totals) <= capacity, f"seed {seed}"
    for tier in range(2):
        if totals[tier] < _wanted(demands, tier) - UNIT:
            assert sum(totals[tier + 1 :]) == 0, f"seed {seed}"


@pytest.mark.parametrize("seed", range(40))
def test_waiting_daemons_of_a_tier_get_equal_shares(seed):
    rng = random.Random(seed)
    waiting = {f"h{i}": rng.randrange(0, 200, UNIT) for i in range(4)}
    demands = {host: HostDemand((0,), (cost,), (UNIT,)) for host, cost in waiting.items()}
    allowed = allocate(300, demands, UNIT)
    unsatisfied = [allowed[host][0] for host, cost in waiting.items() if allowed[host][0] < cost]
    if unsatisfied:
        assert max(costs[0] for costs in allowed.values()) <= min(unsatisfied) + UNIT, (
            f"seed {seed}"
        )


def test_higher_tier_displaces_lower_tier_of_another_daemon():
    demands = {
        "a": HostDemand((0, 0), (60, 0), (UNIT, UNIT)),
        "b": HostDemand((0, 100), (0, 50), (UNIT, UNIT)),
    }
    assert allocate(100, demands, UNIT) == {"a": (60, 0), "b": (0, 40)}


def test_reduction_takes_whole_requests_from_the_daemon_that_runs_most():
    demands = {
        "a": HostDemand((0, 0), (5, 0), (5, UNIT)),
        "b": HostDemand((0, 60), (0, 0), (UNIT, UNIT)),
        "c": HostDemand((0, 40), (0, 0), (UNIT, UNIT)),
    }
    assert allocate(100, demands, UNIT) == {"a": (5, 0), "b": (0, 50), "c": (0, 40)}


def test_large_request_is_not_starved_by_small_ones():
    demands = {
        "a": HostDemand((0,), (80,), (80,)),
        "b": HostDemand((50,), (50,), (UNIT,)),
    }
    assert allocate(100, demands, UNIT) == {"a": (50,), "b": (50,)}


def test_lower_tier_keeps_running_if_a_higher_tier_request_does_not_fit():
    demands = {
        "a": HostDemand((60, 0), (80, 0), (80, UNIT)),
        "b": HostDemand((0, 40), (0, 20), (UNIT, UNIT)),
    }
    assert allocate(100, demands, UNIT) == {"a": (60, 0), "b": (0, 40)}


def test_idle_daemons_share_the_spare_capacity():
    idle = HostDemand((0, 0), (0, 0), (1, 1))
    assert allocate(100, {"a": idle, "b": idle}, UNIT) == {"a": (0, 50), "b": (0, 50)}
