"""Helpers for costs by tier, the highest tier first."""

from collections.abc import Sequence

from skylarkmoor_core.messages import Demand

__all__ = ["demanded_costs", "fit_tiers", "suffix_sums"]


def fit_tiers(costs: Sequence[int], tiers: int) -> tuple[int, ...]:
    """Pad `costs` with zeros to `tiers` tiers, or add surplus tiers to the lowest one."""
    if len(costs) <= tiers:
        return (*costs, *(0,) * (tiers - len(costs)))
    return (*costs[: tiers - 1], sum(costs[tiers - 1 :]))


def demanded_costs(demand: Demand, tiers: int) -> tuple[int, ...]:
    """Return the sum of running and waiting cost by tier."""
    pairs = zip(fit_tiers(demand.running, tiers), fit_tiers(demand.waiting, tiers), strict=True)
    return tuple(running + waiting for running, waiting in pairs)


def suffix_sums(costs: Sequence[int]) -> list[int]:
    """Return for each tier the total cost of this tier and all lower ones."""
    sums = list(costs)
    for tier in range(len(sums) - 2, -1, -1):
        sums[tier] += sums[tier + 1]
    return sums
