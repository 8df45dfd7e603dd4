"""Guards the workload's shape: order, bursts and lengths a hundredfold apart."""

import random

from skylarkmoor_core.ids import TierRank
from skylarkmoor_measure.workload import Burst, generate_arrivals


def test_arrivals_come_in_order_and_inside_the_run():
    times = [a.at_ms for a in generate_arrivals(random.Random(1), 20.0, 10_000)]
    assert times == sorted(times)
    assert max(times) < 10_000


def test_lengths_differ_a_hundredfold():
    prompts = [a.prompt_tokens for a in generate_arrivals(random.Random(1), 50.0, 60_000)]
    assert max(prompts) > 100 * min(prompts)


def test_burst_multiplies_only_its_tier():
    burst = Burst(0, 60_000, TierRank(2), 3.0)
    quiet = list(generate_arrivals(random.Random(1), 50.0, 60_000))
    loud = list(generate_arrivals(random.Random(1), 50.0, 60_000, (burst,)))

    def count(arrivals, tier):
        return sum(a.route.tier == tier for a in arrivals)

    assert count(loud, 2) > 2 * count(quiet, 2)
    assert count(loud, 0) < 1.5 * count(quiet, 0)
