"""Seeded synthetic workload modelled on the traffic of the users."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from skylarkmoor_core.document import (
    Customer,
    Route,
    ServiceDocument,
    ServiceKind,
    Tier,
    VersionMove,
)
from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import CustomerId, RouteName, ServiceName, TierRank, VersionId

__all__ = ["Arrival", "Burst", "RouteShape", "generate_arrivals", "make_document"]

BLOCK_TOKENS = 16
MAX_PROMPT_TOKENS = 6_000
MAX_OUTPUT_TOKENS = 800


@dataclass(frozen=True, slots=True)
class RouteShape:
    """Distribution of the requests of a route.

    Attributes
    ----------
    weight : float
        Relative share of the arrivals.
    prompt_median_tokens, output_median_tokens : int
        Medians of the log-normal prompt and output lengths.
    sigma : float
        Standard deviation of the logarithm of the lengths.
    shared_percent : int
        Length of a shared prefix, in percent of the median prompt.
    prefixes : int
        Number of distinct shared prefixes.
    """

    name: RouteName
    tier: TierRank
    weight: float
    prompt_median_tokens: int
    output_median_tokens: int
    sigma: float
    deadline_ms: int
    shared_percent: int
    prefixes: int


@dataclass(frozen=True, slots=True)
class Burst:
    """An interval in which the arrival rate of one tier is multiplied by `factor`."""

    start_ms: int
    end_ms: int
    tier: TierRank
    factor: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request with its true output length, which only the upper-bound policy sees."""

    number: int
    at_ms: int
    route: RouteShape
    customer: CustomerId
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]


ROUTES = (
    RouteShape(RouteName("summary"), TierRank(0), 0.20, 400, 60, 0.8, 40_000, 60, 4),
    RouteShape(RouteName("briefing"), TierRank(1), 0.10, 1_500, 250, 0.9, 90_000, 60, 12),
    RouteShape(RouteName("question"), TierRank(2), 0.45, 120, 60, 0.9, 40_000, 50, 3),
    RouteShape(RouteName("sorting"), TierRank(3), 0.25, 200, 15, 0.7, 60_000, 50, 2),
)

# Name, scheduling share and weight in the arrivals: three large customers and two small ones.
CUSTOMERS = (
    ("depots", 5, 40),
    ("growers", 5, 30),
    ("public", 3, 20),
    ("desk", 1, 6),
    ("visitors", 1, 4),
)


def make_document(
    routes: tuple[RouteShape, ...] = ROUTES, move: VersionMove | None = None
) -> ServiceDocument:
    """Return the service document with the tiers, routes and customers of the workload."""
    return ServiceDocument(
        service=ServiceName("assistant"),
        kind=ServiceKind.ENGINE,
        tiers=tuple(Tier(name=f"tier-{i}", rank=TierRank(i)) for i in range(4)),
        routes=tuple(
            Route(
                name=route_shape.name,
                tier=f"tier-{route_shape.tier}",
                max_output_tokens=MAX_OUTPUT_TOKENS,
                deadline_ms=route_shape.deadline_ms,
            )
            for route_shape in routes
        ),
        customers=tuple(
            Customer(name=CustomerId(name), share=share, requests_per_s=10_000, max_waiting=10_000)
            for name, share, _ in CUSTOMERS
        ),
        version=VersionId("v1"),
        move=move,
    )


def generate_arrivals(
    rng: random.Random,
    requests_per_s: float,
    duration_ms: int,
    bursts: tuple[Burst, ...] = (),
    routes: tuple[RouteShape, ...] = ROUTES,
) -> Iterator[Arrival]:
    """Yield arrivals of a Poisson process in time order.

    Parameters
    ----------
    rng : random.Random
        Source of all randomness.
    requests_per_s : float
        Mean arrival rate outside bursts.
    duration_ms : int
        Arrivals are generated before this time.
    bursts : tuple of Burst
        Intervals in which the rate of a tier is multiplied.
    routes : tuple of RouteShape
        Routes from which the requests are drawn by weight.
    """
    peak_factor = max([burst.factor for burst in bursts], default=1.0)
    now_ms = 0.0
    number = 0
    while True:
        now_ms += rng.expovariate(requests_per_s * peak_factor / 1_000)
        if now_ms >= duration_ms:
            return
        route_shape = rng.choices(routes, [route.weight for route in routes])[0]
        if rng.random() * peak_factor >= _rate_factor(bursts, int(now_ms), route_shape.tier):
            continue
        number += 1
        yield _draw_arrival(rng, number, int(now_ms), route_shape)


def _rate_factor(bursts: tuple[Burst, ...], now_ms: int, tier: TierRank) -> float:
    """Return the largest rate factor of the bursts active for `tier`, 1 without a burst."""
    active_factors = [
        b.factor for b in bursts if b.tier == tier and b.start_ms <= now_ms < b.end_ms
    ]
    return max(active_factors, default=1.0)


def _draw_arrival(rng: random.Random, number: int, at_ms: int, route_shape: RouteShape) -> Arrival:
    """Draw one arrival from the distribution of its route."""
    prompt_tokens = _draw_length(
        rng, route_shape.prompt_median_tokens, route_shape.sigma, MAX_PROMPT_TOKENS
    )
    output_tokens = _draw_length(
        rng, route_shape.output_median_tokens, route_shape.sigma, MAX_OUTPUT_TOKENS
    )
    customer = rng.choices([row[0] for row in CUSTOMERS], [row[2] for row in CUSTOMERS])[0]
    prefix = rng.randrange(route_shape.prefixes)
    # All requests with the same shared prefix share the same number of its blocks.
    shared_tokens = route_shape.prompt_median_tokens * route_shape.shared_percent // 100
    prompt_blocks = prompt_tokens // BLOCK_TOKENS
    shared_blocks = min(prompt_blocks, shared_tokens // BLOCK_TOKENS)
    block_hashes = [hash64(route_shape.name, str(prefix), str(i)) for i in range(shared_blocks)]
    block_hashes += [hash64(str(number), str(i)) for i in range(shared_blocks, prompt_blocks)]
    return Arrival(
        number,
        at_ms,
        route_shape,
        CustomerId(customer),
        prompt_tokens,
        output_tokens,
        tuple(block_hashes),
    )


def _draw_length(rng: random.Random, median: int, sigma: float, limit: int) -> int:
    """Draw a log-normal length, clamped to the range from 1 to `limit`."""
    return max(1, min(limit, round(math.exp(rng.gauss(math.log(median), sigma)))))
