"""Arithmetic on costs by tier, the highest tier first."""

from collections.abc import Sequence

from skylarkmoor_core.messages import Demand

__all__ = ["fit_tiers", "needs", "suffix_sums"]


def fit_tiers(costs: Sequence[int], tiers: int) -> tuple[int, ...]:
    """Return `costs` for exactly `tiers` tiers; further tiers count as the lowest."""
    if len(costs) <= tiers:
        return (*costs, *(0,) * (tiers - len(costs)))
    return (*costs[: tiers - 1], sum(costs[tiers - 1 :]))


def needs(demand: Demand, tiers: int) -> tuple[int, ...]:
    """Return by tier the cost that runs or waits."""
    pairs = zip(fit_tiers(demand.running, tiers), fit_tiers(demand.waiting, tiers), strict=True)
    return tuple(running + waiting for running, waiting in pairs)


def suffix_sums(costs: Sequence[int]) -> list[int]:
    """Return for each tier the cost of this tier and all lower ones."""
    sums = list(costs)
    for tier in range(len(sums) - 2, -1, -1):
        sums[tier] += sums[tier + 1]
    return sums
