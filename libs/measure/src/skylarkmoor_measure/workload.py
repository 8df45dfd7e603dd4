"""A seeded workload with the shape of the users' traffic."""

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
    """How the requests of a route are drawn.

    Attributes
    ----------
    weight : float
        Share of the arrivals.
    prompt_median_tokens, output_median_tokens : int
        Medians of log-normal lengths.
    sigma : float
        Spread of the logarithm of the lengths.
    shared_percent : int
        Part of the prompt that is one of `prefixes` shared prefixes.
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
    """A time in which arrivals of one tier are multiplied."""

    start_ms: int
    end_ms: int
    tier: TierRank
    factor: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request with its true output length, which no policy but the upper bound sees."""

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

# A few large customers and some small ones.
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
    """Return the service document that the workload belongs to."""
    return ServiceDocument(
        service=ServiceName("assistant"),
        kind=ServiceKind.ENGINE,
        tiers=tuple(Tier(name=f"tier-{i}", rank=TierRank(i)) for i in range(4)),
        routes=tuple(
            Route(
                name=shape.name,
                tier=f"tier-{shape.tier}",
                max_output_tokens=MAX_OUTPUT_TOKENS,
                deadline_ms=shape.deadline_ms,
            )
            for shape in routes
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
    """Yield arrivals of a Poisson process in order of time.

    Parameters
    ----------
    rng : random.Random
        Source of all randomness.
    requests_per_s : float
        Mean rate outside bursts.
    duration_ms : int
        Length of the run.
    bursts : tuple of Burst
        Times of higher rates.
    routes : tuple of RouteShape
        Kinds of requests.
    """
    peak = max([burst.factor for burst in bursts], default=1.0)
    now_ms = 0.0
    number = 0
    while True:
        now_ms += rng.expovariate(requests_per_s * peak / 1_000)
        if now_ms >= duration_ms:
            return
        shape = rng.choices(routes, [route.weight for route in routes])[0]
        if rng.random() * peak >= _factor(bursts, int(now_ms), shape.tier):
            continue
        number += 1
        yield _draw(rng, number, int(now_ms), shape)


def _factor(bursts: tuple[Burst, ...], now_ms: int, tier: TierRank) -> float:
    """Return the multiple of the base rate in force for `tier`."""
    active = [b.factor for b in bursts if b.tier == tier and b.start_ms <= now_ms < b.end_ms]
    return max(active, default=1.0)


def _draw(rng: random.Random, number: int, at_ms: int, shape: RouteShape) -> Arrival:
    """Return one arrival of the given shape."""
    prompt_tokens = _length(rng, shape.prompt_median_tokens, shape.sigma, MAX_PROMPT_TOKENS)
    output_tokens = _length(rng, shape.output_median_tokens, shape.sigma, MAX_OUTPUT_TOKENS)
    customer = rng.choices([row[0] for row in CUSTOMERS], [row[2] for row in CUSTOMERS])[0]
    prefix = rng.randrange(shape.prefixes)
    # A shared prefix has the same length in each request that starts with it.
    shared_tokens = shape.prompt_median_tokens * shape.shared_percent // 100
    blocks = prompt_tokens // BLOCK_TOKENS
    shared_blocks = min(blocks, shared_tokens // BLOCK_TOKENS)
    hashes = [hash64(shape.name, str(prefix), str(i)) for i in range(shared_blocks)]
    hashes += [hash64(str(number), str(i)) for i in range(shared_blocks, blocks)]
    return Arrival(
        number, at_ms, shape, CustomerId(customer), prompt_tokens, output_tokens, tuple(hashes)
    )


def _length(rng: random.Random, median: int, sigma: float, limit: int) -> int:
    """Return a log-normal length of at least 1 and at most `limit`."""
    return max(1, min(limit, round(math.exp(rng.gauss(math.log(median), sigma)))))
