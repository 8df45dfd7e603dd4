"""Benchmark scenarios of load and faults, and the policies compared in them."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from skylarkmoor_core.ids import HostId, TierRank
from skylarkmoor_measure.baselines import (
    Decider,
    LeastReported,
    RandomTwo,
    RoundRobin,
    TrueLengthQueue,
)
from skylarkmoor_measure.engines import EngineSpeed, FakeEngine
from skylarkmoor_measure.report import RunFigures, figures_of
from skylarkmoor_measure.session import START_MS, Fault, FaultKind, Session, upstream_name
from skylarkmoor_measure.workload import Arrival, Burst, generate_arrivals, make_document
from skylarkmoor_policy.scheduler import Scheduler

__all__ = [
    "POLICIES",
    "SCENARIOS",
    "Scenario",
    "capacity_requests_per_s",
    "run_policy",
    "run_scenario",
]

DAEMONS = 4
# Only requests that arrive in this interval count. The engines fill up before it. The load
# continues after it, so that a policy gains nothing by deferring work.
WINDOW_MS = (20_000, 120_000)
ARRIVALS_MS = 160_000
# Beyond the deadline of the last counted request.
RUN_MS = 215_000
CAPACITY_RUN_MS = 60_000

# Three hardware generations. With full prefill chunks they keep the time between tokens within
# 70 ms up to a batch of 35, 23 and 10, but all of them admit larger batches.
SPEEDS = (
    EngineSpeed(60_000, 15, 1.0, 20, 64, 120_000),
    EngineSpeed(40_000, 20, 1.2, 22, 48, 80_000),
    EngineSpeed(20_000, 28, 1.6, 25, 32, 50_000),
)
ENGINES = 6


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load as a fraction of capacity, with bursts and engine faults."""

    name: str
    load_ratio: float
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()


SCENARIOS = (
    Scenario("normal load, ratio 0.7", 0.7),
    Scenario("overload, ratio 1.5", 1.5),
    Scenario(
        "faults at ratio 0.9",
        0.9,
        bursts=(Burst(40_000, 55_000, TierRank(2), 3.0),),
        faults=(
            Fault(FaultKind.KILL, 0, 20_000, 30_000),
            Fault(FaultKind.SLOW, 1, 35_000, 60_000, 3.0),
            Fault(FaultKind.KILL, 3, 50_000, 58_000),
            Fault(FaultKind.KILL, 4, 70_000, 85_000),
            Fault(FaultKind.KILL, 2, 90_000, 95_000),
        ),
    ),
)

POLICIES = (
    "round robin",
    "least reported",
    "random of two",
    "skylarkmoor",
    "upper bound",
)


def make_engines() -> list[FakeEngine]:
    """Return idle engines, cycling through the three hardware generations."""
    return [FakeEngine(upstream_name(i), SPEEDS[i % len(SPEEDS)]) for i in range(ENGINES)]


def run_policy(
    policy: str, seed: int, arrivals: Sequence[Arrival], faults: Sequence[Fault], duration_ms: int
) -> Session:
    """Run a session of one policy and return it."""
    engines = make_engines()
    sessions: list[Session] = []
    deciders = _make_deciders(
        policy, seed, engines, lambda request: sessions[0].output_tokens(request)
    )
    session = Session(seed, engines, deciders, arrivals, faults, duration_ms)
    sessions.append(session)
    session.run()
    return session


def _make_deciders(
    policy: str, seed: int, engines: Sequence[FakeEngine], output_tokens: Callable[..., int]
) -> list[Decider]:
    rngs = [random.Random(f"{seed} daemon {i}") for i in range(DAEMONS)]
    match policy:
        case "round robin":
            return [RoundRobin(rng) for rng in rngs]
        case "least reported":
            return [LeastReported(rng) for rng in rngs]
        case "random of two":
            return [RandomTwo(rng) for rng in rngs]
        case "skylarkmoor":
            document = make_document()
            return [Scheduler(HostId(f"host-{i}"), document, rng) for i, rng in enumerate(rngs)]
        case "upper bound":
            return [TrueLengthQueue(engines, output_tokens)]
        case "first come":
            return [TrueLengthQueue(engines, output_tokens, fifo=True)]
        case _:
            raise ValueError(f"unknown scheduling policy {policy!r}")


def capacity_requests_per_s(seed: int) -> float:
    """Return the completion rate of the upper-bound policy under heavy overload.

    Notes
    -----
    Requests start in arrival order and their deadlines lie beyond the end of the run, so the mix
    of completed requests equals that of the arrivals.
    """
    rng = random.Random(f"{seed} capacity")
    arrivals = [_extend_deadline(a) for a in generate_arrivals(rng, 100.0, CAPACITY_RUN_MS)]
    session = run_policy("first come", seed, arrivals, (), CAPACITY_RUN_MS)
    half_ms = START_MS + CAPACITY_RUN_MS / 2
    ends_ms = [log.completed_ms for log in session.logs.values() if log.completed_ms is not None]
    # The engines fill up in the first half, which is excluded.
    return 2_000 * sum(end_ms >= half_ms for end_ms in ends_ms) / CAPACITY_RUN_MS


def _extend_deadline(arrival: Arrival) -> Arrival:
    return replace(arrival, route=replace(arrival.route, deadline_ms=10 * CAPACITY_RUN_MS))


def run_scenario(
    scenario: Scenario, seed: int, policies: Sequence[str] = POLICIES
) -> list[RunFigures]:
    """Run each policy through one scenario with the same arrivals and return its figures."""
    rate = scenario.load_ratio * capacity_requests_per_s(seed)
    rng = random.Random(f"{seed} {scenario.name}")
    arrivals = list(generate_arrivals(rng, rate, ARRIVALS_MS, scenario.bursts))
    runs = []
    for policy in policies:
        session = run_policy(policy, seed, arrivals, scenario.faults, RUN_MS)
        runs.append(figures_of(policy, session, WINDOW_MS))
    return runs
