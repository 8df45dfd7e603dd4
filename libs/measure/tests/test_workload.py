"""Guards against a workload without time order, heavy-tailed lengths or tier-specific bursts."""

import random

from skylarkmoor_core.ids import TierRank
from skylarkmoor_measure.workload import Burst, generate_arrivals


def test_arrivals_are_ordered_and_within_the_run():
    times = [a.at_ms for a in generate_arrivals(random.Random(1), 20.0, 10_000)]
    assert times == sorted(times)
    assert max(times) < 10_000


def test_prompt_lengths_span_a_factor_of_100():
    prompts = [a.prompt_tokens for a in generate_arrivals(random.Random(1), 50.0, 60_000)]
    assert max(prompts) > 100 * min(prompts)


def test_burst_raises_only_the_rate_of_its_tier():
    burst = Burst(0, 60_000, TierRank(2), 3.0)
    without_burst = list(generate_arrivals(random.Random(1), 50.0, 60_000))
    with_burst = list(generate_arrivals(random.Random(1), 50.0, 60_000, (burst,)))

    def count(arrivals, tier):
        return sum(a.route.tier == tier for a in arrivals)

    assert count(with_burst, 2) > 2 * count(without_burst, 2)
    assert count(with_burst, 0) < 1.5 * count(without_burst, 0)
